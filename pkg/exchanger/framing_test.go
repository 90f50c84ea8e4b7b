package exchanger

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
)

// An upstream may also break off an answer in its body and send the bytes of another one, which fill the body that was announced. In a
// body longer than the buffer of a connection, only what follows in the buffer tells.
func TestBodyCutByAnotherAnswerIsNoAnswer(t *testing.T) {
	const other = "HTTP/1.1 500 Fault\r\nRequest-Id: r1\r\nProof: p-r1\r\nContent-Length: 3\r\n\r\nxyz"
	for _, form := range answerForms {
		if form.isToHead || form.endsByClose || form.isInvalid || form.body != wholeBody {
			continue
		}
		for _, end := range []error{io.EOF, syscall.ECONNRESET, nil} {
			t.Run(fmt.Sprint(form.name, ", ", end), func(t *testing.T) {
				t.Parallel()
				length := len(form.answer) - form.endBytes
				for cut := form.bodyStart(); cut < length; cut++ {
					result, _ := exchangeWith(t, newScriptedConn(end, false, form.answer[:cut]+other), form.isToHead)
					if result.Response != nil {
						t.Errorf("cut at %d of %d: got status %d, body %.80q; want an error", cut, length, result.Status(), result.Response.Body())
					}
					result.Release()
				}
			})
		}
	}
}

// Bytes after a complete answer belong to no request, and do not invalidate the answer.
func TestSurplusAfterWholeAnswerIsIgnored(t *testing.T) {
	surplus := []string{"x", "\r\n", "HTTP/1.1 500 Fault\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 2", "\x00\x01", strings.Repeat("y", 2*readBufferBytes)}
	for _, form := range answerForms {
		if form.isInvalid || form.endsByClose {
			continue
		}
		for _, bytes := range surplus {
			for _, end := range []error{io.EOF, syscall.ECONNRESET, nil} {
				result, hasEnded := exchangeWith(t, newScriptedConn(end, false, form.answer+bytes), form.isToHead)
				if !hasEnded || result.Status() != form.status || string(result.Response.Body()) != form.body {
					t.Errorf("%s, followed by %.20q and %v: got status %d, error %v; want the answer", form.name, bytes, end, result.Status(), result.Err)
				}
				result.Release()
			}
		}
	}
}

// The framing of these answers is ambiguous or invalid. They must be rejected, or read as the upstream meant them.
func TestAmbiguousFraming(t *testing.T) {
	const chunks = "10\r\n" + wholeBody + "\r\n0\r\n\r\n"
	cases := []struct {
		version string
		lines   string
		body    string
		isRead  bool
	}{
		{"1.1", "Content-Length: 16\r\nContent-Length: 16\r\n", wholeBody, false},
		{"1.1", "Content-Length: 3\r\nContent-Length: 16\r\n", wholeBody, false},
		{"1.1", "Content-Length: 16, 16\r\n", wholeBody, false},
		{"1.1", "Content-Length: +16\r\n", wholeBody, false},
		{"1.1", "Content-Length: -1\r\n", wholeBody, false},
		{"1.1", "Content-Length: 0x10\r\n", wholeBody, false},
		{"1.1", "Content-Length: 1 6\r\n", wholeBody, false},
		{"1.1", "Content-Length: 99999999999999999999\r\n", wholeBody, false},
		{"1.1", "Content-Length:\r\n", wholeBody, false},
		{"1.1", "Content-Length : 16\r\n", wholeBody, false},
		{"1.1", "Content-Length:\r\n 16\r\n", wholeBody, false},
		{"1.1", "Note: a\r\n Content-Length: 3\r\nContent-Length: 16\r\n", wholeBody, false},
		{"1.1", "content-length: 16\r\n", wholeBody, true},
		{"1.1", "Transfer-Encoding: gzip\r\n", wholeBody, false},
		{"1.1", "Transfer-Encoding: identity\r\n", wholeBody, false},
		{"1.1", "Transfer-Encoding: gzip, chunked\r\n", chunks, false},
		{"1.1", "Transfer-Encoding: chunked, chunked\r\n", chunks, false},
		{"1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", chunks, false},
		{"1.1", "Transfer-Encoding : chunked\r\n", chunks, false},
		{"1.1", "Note: a\r\n Transfer-Encoding: chunked\r\n", chunks, false},
		{"1.1", "Transfer-Encoding:\r\n chunked\r\n", chunks, false},
		{"1.1", "transfer-encoding: CHUNKED\r\n", chunks, true},
		{"1.1", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", chunks, true},
		{"1.0", "Transfer-Encoding: chunked\r\n", chunks, false},
		{"1.0", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", chunks, false},
		{"1.0", "Content-Length: 16\r\nTransfer-Encoding: chunked\r\n", wholeBody, false},
		{"2", "Content-Length: 16\r\n", wholeBody, false},
		{"1.2", "Content-Length: 16\r\n", wholeBody, true},
		{"1.2", "Transfer-Encoding: chunked\r\n", chunks, false},
		{"1.0", "Note: no Transfer-Encoding\r\nContent-Length: 16\r\n", wholeBody, true},
		{"1.1", "Connection: upgrade\r\nUpgrade: x\r\nContent-Length: 16\r\n", wholeBody, true},
		{"1.1", "Connection: keep-alive\r\n", wholeBody, true},
		{"1.1", "NoColon\r\nContent-Length: 16\r\n", wholeBody, false},
		{"1.1", ": none\r\nContent-Length: 16\r\n", wholeBody, false},
	}
	for _, c := range cases {
		for _, end := range []error{io.EOF, syscall.ECONNRESET} {
			answer := fmt.Sprintf("HTTP/%s 200 OK\r\nRequest-Id: r1\r\nProof: p-r1\r\n%s\r\n%s", c.version, c.lines, c.body)
			result, _ := exchangeWith(t, newScriptedConn(end, false, answer), false)
			isRead := c.isRead && (errors.Is(end, io.EOF) || c.lines != "Connection: keep-alive\r\n")
			if got := result.Response != nil; got != isRead || got && string(result.Response.Body()) != wholeBody {
				t.Errorf("HTTP/%s, %q and %v: got an answer %v with body %q (error %v), want one %v", c.version, c.lines, end, got, bodyOf(result), result.Err, isRead)
			}
			result.Release()
		}
	}
}

func bodyOf(result Result) []byte {
	if result.Response == nil {
		return nil
	}
	return result.Response.Body()
}

// The memory for bodies is used up, or the body exceeds its limit, after some of it has been read.
func TestBodyBeyondLimitIsNoAnswer(t *testing.T) {
	body := strings.Repeat("x", 3*bufferBytes)
	answers := []string{
		fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n" + body,
	}
	for _, answer := range answers {
		for limit := 0; limit <= 4*len(body); limit += bufferBytes / 4 {
			for _, isQuota := range []bool{true, false} {
				pool := poolOf(newScriptedConn(io.EOF, false, answer))
				if isQuota {
					pool.config.Quota = NewQuota(int64(limit), nil)
				} else {
					pool.config.MaxResponseBytes = limit
				}
				result := runExchange(t, pool, newRequest("r1"))
				if result.Response != nil && string(bodyOf(result)) != body || !isQuota && (result.Response != nil) != (limit >= len(body)) {
					t.Errorf("%.60q with limit %d, of the memory %v: got %d bytes, error %v", answer, limit, isQuota, len(bodyOf(result)), result.Err)
				}
				result.Release()
				if reserved := pool.config.Quota.Reserved(); reserved != 0 {
					t.Errorf("%d bytes reserved after Release, want 0", reserved)
				}
				pool.Close()
			}
		}
	}
}
