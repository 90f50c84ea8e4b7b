package exchanger

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const wholeBody = "0123456789abcdef"

// scriptedConn is a connection whose upstream answers the requests with the given answers, one each. The last one ends the connection
// with the given error, or leaves it open and silent if there is none.
type scriptedConn struct {
	net.Conn
	end    error
	isSlow bool
	// requests has an element for each request written, answers the answers that have not been read yet.
	requests chan struct{}
	answers  []string
	current  *strings.Reader
	// drained is closed when the last answer has been read.
	drained   chan struct{}
	drainOnce sync.Once
	closed    chan struct{}
	closeOnce sync.Once
}

// newScriptedConn returns a connection that delivers its bytes one by one if isSlow is set.
func newScriptedConn(end error, isSlow bool, answers ...string) *scriptedConn {
	return &scriptedConn{
		end: end, isSlow: isSlow, requests: make(chan struct{}, len(answers)), answers: answers, current: strings.NewReader(""),
		drained: make(chan struct{}), closed: make(chan struct{}),
	}
}

func (c *scriptedConn) Write(data []byte) (int, error) {
	select {
	case c.requests <- struct{}{}:
		return len(data), nil
	default:
		return 0, net.ErrClosed
	}
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	for c.current.Len() == 0 {
		if len(c.answers) == 0 {
			return 0, c.endOfAnswers()
		}
		select {
		case <-c.requests:
			c.current.Reset(c.answers[0])
			c.answers = c.answers[1:]
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	if c.isSlow {
		p = p[:1]
	}
	return c.current.Read(p)
}

func (c *scriptedConn) endOfAnswers() error {
	c.drainOnce.Do(func() { close(c.drained) })
	if c.end != nil {
		return c.end
	}
	<-c.closed
	return net.ErrClosed
}

func (c *scriptedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// poolOf returns a pool whose first connection is the given one. Others are refused.
func poolOf(c *scriptedConn) *Pool {
	var once sync.Once
	dial := func(string, time.Duration) (raw net.Conn, err error) {
		err = syscall.ECONNREFUSED
		once.Do(func() { raw, err = c, nil })
		return raw, err
	}
	return New(&Config{Headers: testHeaders, MaxResponseBytes: 1 << 20, Dial: dial, Quota: NewQuota(1<<20, nil)}, "leaf:1", "leaf-1", 1)
}

// answerForm is a form of an answer to request r1.
type answerForm struct {
	name   string
	answer string
	status int
	body   string
	// endBytes is how much follows the last byte that the body depends on: the trailer of a chunked answer.
	endBytes int
	// isToHead is set if the request is a HEAD request.
	isToHead bool
	// endsByClose is set if the close of the connection ends the body.
	endsByClose bool
	// isInvalid is set if the answer is not accepted even as a whole.
	isInvalid bool
}

var answerForms = []answerForm{
	{name: "Content-Length", status: 200, body: wholeBody, answer: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p-r1\r\nDate: Fri, 04 Dec 2026 10:00:00 GMT\r\n" +
		"Content-Type: text/plain\r\nContent-Length: 16\r\n\r\n" + wholeBody},
	{name: "Content-Length first", status: 200, body: wholeBody, answer: "HTTP/1.1 200 OK\r\nContent-Length: 16\r\nServer: leaf\r\nSet-Cookie: a=b\r\nProof: p-r1\r\nRequest-Id: r1\r\n\r\n" + wholeBody},
	{name: "encoded", status: 200, body: wholeBody, answer: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p-r1\r\nContent-Encoding: gzip\r\nContent-Length: 16\r\n\r\n" + wholeBody},
	{name: "close after the body", status: 200, body: wholeBody, answer: "HTTP/1.1 200 OK\r\nConnection: close\r\nRequest-Id: r1\r\nProof: p-r1\r\nContent-Length: 16\r\n\r\n" + wholeBody},
	{name: "no body", status: 200, answer: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p-r1\r\nContent-Length: 0\r\n\r\n"},
	{name: "no reason", status: 200, body: wholeBody, answer: "HTTP/1.1 200\r\nRequest-Id: r1\r\nProof: p-r1\r\nContent-Length: 16\r\n\r\n" + wholeBody},
	{name: "bare line feeds", isInvalid: true, answer: "HTTP/1.1 200 OK\nRequest-Id: r1\nProof: p-r1\nContent-Length: 16\n\n" + wholeBody},
	{name: "folded head", status: 200, body: wholeBody, isInvalid: true, answer: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p-r1\r\nNote: a\r\n b\r\nContent-Length: 16\r\n\r\n" + wholeBody},
	{name: "blanks in values", status: 200, body: wholeBody, answer: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p-r1\r\nNote: \t a  b\t\r\nContent-Length:\t16 \r\n\r\n" + wholeBody},
	{name: "HTTP/1.0", status: 200, body: wholeBody, answer: "HTTP/1.0 200 OK\r\nRequest-Id: r1\r\nProof: p-r1\r\nContent-Length: 16\r\n\r\n" + wholeBody},
	{name: "chunked", status: 200, body: wholeBody, endBytes: len("\r\n"), answer: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p-r1\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"6;x=1\r\n012345\r\na\r\n6789abcdef\r\n0\r\n\r\n"},
	{name: "chunked with a Content-Length", status: 200, body: wholeBody, endBytes: len("\r\n"), answer: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p-r1\r\nContent-Length: 3\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n10\r\n" + wholeBody + "\r\n0\r\n\r\n"},
	{name: "chunked with a trailer", status: 200, body: wholeBody, endBytes: len("Sum: 1\r\nTail: 2\r\n\r\n"), answer: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p-r1\r\n" +
		"Trailer: Sum, Tail\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + wholeBody + "\r\n00\r\nSum: 1\r\nTail: 2\r\n\r\n"},
	{name: "until the connection closes", status: 200, body: wholeBody, endsByClose: true, answer: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p-r1\r\n\r\n" + wholeBody},
	{name: "until the connection closes, HTTP/1.0", status: 200, body: wholeBody, endsByClose: true, answer: "HTTP/1.0 200 OK\r\nProof: p-r1\r\nRequest-Id: r1\r\n\r\n" + wholeBody},
	{name: "after interim responses", status: 200, body: wholeBody, answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p-r1\r\nContent-Length: 16\r\n\r\n" + wholeBody},
	{name: "after the answer to another request", status: 200, body: wholeBody, answer: "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nProof: p-r0\r\nContent-Length: 3\r\n\r\nxyz" +
		"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p-r1\r\nContent-Length: 16\r\n\r\n" + wholeBody},
	{name: "204", status: 204, answer: "HTTP/1.1 204 No Content\r\nRequest-Id: r1\r\nProof: p-r1\r\n\r\n"},
	{name: "304", status: 304, answer: "HTTP/1.1 304 Not Modified\r\nRequest-Id: r1\r\nProof: p-r1\r\nContent-Length: 16\r\n\r\n"},
	{name: "HEAD", status: 200, isToHead: true, answer: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p-r1\r\nContent-Length: 16\r\n\r\n"},
	{name: "HEAD, chunked", status: 200, isToHead: true, answer: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p-r1\r\nTransfer-Encoding: chunked\r\n\r\n"},
	{name: "failure", status: 500, body: wholeBody, answer: "HTTP/1.1 500 Fault\r\nRequest-Id: r1\r\nProof: p-r1\r\nContent-Length: 16\r\n\r\n" + wholeBody},
	{name: "longer than a buffer", status: 200, body: strings.Repeat("x", maxPreallocBytes+1), answer: fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p-r1\r\nContent-Length: %d\r\n\r\n%s",
		maxPreallocBytes+1, strings.Repeat("x", maxPreallocBytes+1))},
}

// bodyStart returns where the body begins, or the chunks of it.
func (f answerForm) bodyStart() int {
	const headEnd = "\r\n\r\n"
	if strings.HasPrefix(f.name, "chunked") {
		return strings.Index(f.answer, headEnd) + len(headEnd)
	}
	return strings.LastIndex(f.answer, headEnd) + len(headEnd)
}

// cutsOf returns the positions to cut an answer at: each byte, and in a long body some.
func cutsOf(answer string) []int {
	const dense = 300
	var cuts []int
	for cut := 0; cut <= len(answer); cut++ {
		if cut < dense || cut >= len(answer)-2 || cut%bufferBytes == 0 || cut == firstBufferBytes {
			cuts = append(cuts, cut)
		}
	}
	return cuts
}

// Operators saw leafs stop in the middle of the head of an answer and close. The callers got a status 200 with an empty or short
// body. An answer that is cut at any byte must not be taken for a whole one.
func TestCutAnswerIsNoAnswer(t *testing.T) {
	ends := []struct {
		name   string
		err    error
		isSlow bool
	}{{"closed", io.EOF, false}, {"closed, byte by byte", io.EOF, true}, {"reset", syscall.ECONNRESET, false}, {"silent", nil, false}}
	for _, form := range answerForms {
		for _, end := range ends {
			t.Run(form.name+", "+end.name, func(t *testing.T) {
				t.Parallel()
				for _, cut := range cutsOf(form.answer) {
					result, hasEnded := exchangeWith(t, newScriptedConn(end.err, end.isSlow, form.answer[:cut]), form.isToHead)
					checkCutAnswer(t, form, cut, end.err, result, hasEnded)
					result.Release()
				}
			})
		}
	}
}

// exchangeWith sends request r1 on a connection. It reports false if the exchange has not ended when the upstream is silent.
func exchangeWith(t *testing.T, raw *scriptedConn, isToHead bool) (result Result, hasEnded bool) {
	t.Helper()
	pool := poolOf(raw)
	defer pool.Close()
	request := newRequest("r1")
	request.HasNoResponseBody, request.IsNonIdempotent = isToHead, true
	results := make(chan Result, 1)
	exchange := pool.Start(request, func(result Result) { results <- result })
	silent := raw.drained
	if raw.end != nil {
		silent = nil
	}
	select {
	case result = <-results:
		return result, true
	case <-silent:
	case <-time.After(5 * time.Second):
		t.Fatal("the exchange did not end within 5 s")
	}
	select {
	case result = <-results:
		return result, true
	default:
		exchange.Abandon(true)
		return Result{}, false
	}
}

func checkCutAnswer(t *testing.T, form answerForm, cut int, end error, result Result, hasEnded bool) {
	t.Helper()
	body := form.body
	isWhole := !form.isInvalid && cut >= len(form.answer)-form.endBytes
	// The body is whole, and the rest of the trailer may be refused.
	mayFail := isWhole && cut < len(form.answer)
	if headBytes := len(form.answer) - len(form.body); form.endsByClose {
		if isWhole = errors.Is(end, io.EOF) && cut >= headBytes; isWhole {
			body = form.body[:cut-headBytes]
		}
	}
	last := form.answer[max(0, cut-20):cut]
	if result.Response == nil {
		if isWhole && !mayFail || hasEnded && !result.Progress.MayHaveArrived() || hasEnded != (end != nil) && !form.isInvalid {
			t.Errorf("cut at %d, after %q: got error %v, ended %v, sent %v; want an answer %v", cut, last, result.Err, hasEnded, result.Progress.MayHaveArrived(), isWhole)
		}
		return
	}
	proof := string(result.Response.Header.Peek("Proof"))
	if !isWhole || result.Status() != form.status || string(result.Response.Body()) != body || proof != "p-r1" {
		t.Errorf("cut at %d, after %q: got status %d with %d bytes %.40q and proof %q, want an answer %v", cut, last, result.Status(), len(result.Response.Body()), result.Response.Body(), proof, isWhole)
	}
}

// An upstream may break off an answer in its head and send the bytes of another one on the same connection. What comes out of both
// belongs to no request.
func TestAnswerCutByAnotherIsNoAnswer(t *testing.T) {
	others := []struct {
		name   string
		answer string
	}{
		{"failure", "HTTP/1.1 500 Fault\r\nRequest-Id: r1\r\nProof: p-r1\r\nContent-Length: 3\r\n\r\nxyz"},
		{"success", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p-r1\r\nContent-Length: 3\r\n\r\nxyz"},
		{"answer to another request", "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nProof: p-r0\r\nContent-Length: 3\r\n\r\nxyz"},
		{"answer without a length", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p-r1\r\n\r\nxyz"},
		{"HTTP/1.0", "HTTP/1.0 500 Fault\r\nRequest-Id: r1\r\nProof: p-r1\r\n\r\nxyz"},
		{"no reason", "HTTP/1.1 500\r\nRequest-Id: r1\r\nProof: p-r1\r\nContent-Length: 3\r\n\r\nxyz"},
		{"interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 500 Fault\r\nRequest-Id: r1\r\nProof: p-r1\r\nContent-Length: 3\r\n\r\nxyz"},
		{"chunked", "HTTP/1.1 500 Fault\r\nRequest-Id: r1\r\nProof: p-r1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n"},
		{"fields that are cut", "HTTP/1.1 500 Fault\r\nRequest-Id: r1\r\nProof: p-r1\r\nContent-Type: text/plain\r\nContent-Encoding: x\r\nServer: leaf\r\nSet-Cookie: a=b\r\n" +
			"Trailer: Sum\r\nConnection: close\r\nContent-Length: 3\r\n\r\nxyz"},
	}
	for _, form := range answerForms {
		for _, other := range others {
			t.Run(form.name+", "+other.name, func(t *testing.T) {
				t.Parallel()
				for cut := 1; cut < form.bodyStart(); cut++ {
					if strings.HasSuffix(form.answer[:cut], "\r\n\r\n") || strings.HasSuffix(form.answer[:cut], "\r\n\r\nxyz") {
						// The bytes before the cut are whole interim responses, or an answer to another request.
						continue
					}
					result, _ := exchangeWith(t, newScriptedConn(io.EOF, false, form.answer[:cut]+other.answer), form.isToHead)
					if result.Response != nil {
						t.Errorf("cut after %q: got status %d, reason %q, body %q; want an error", form.answer[max(0, cut-20):cut], result.Status(),
							result.Response.Header.StatusMessage(), result.Response.Body())
					}
					result.Release()
				}
			})
		}
	}
}

// An upstream that resets a connection beyond its limit has not run the request, which is sent again on another connection without
// counting as an attempt. One that has begun to answer has run it.
func TestRequestOfCutAnswerIsNotSentAgain(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p-r1\r\nContent-Length: 16\r\n\r\n" + wholeBody
	for _, end := range []error{io.EOF, syscall.ECONNRESET} {
		for cut := range len(answer) {
			var dials atomic.Int64
			dial := func(string, time.Duration) (net.Conn, error) {
				if dials.Add(1) == 1 {
					return newScriptedConn(end, false, answer[:cut]), nil
				}
				return newScriptedConn(io.EOF, false, answer), nil
			}
			pool := New(&Config{Headers: testHeaders, MaxResponseBytes: 1 << 20, Dial: dial}, "leaf:1", "leaf-1", 1)
			result := runExchange(t, pool, newRequest("r1"))
			pool.Close()
			wantsSecond := cut == 0 && errors.Is(end, syscall.ECONNRESET)
			if got := result.Response != nil; got != wantsSecond || (dials.Load() > 1) != wantsSecond {
				t.Errorf("cut at %d by %v: got an answer %v (error %v) over %d connections, want an answer %v", cut, end, got, result.Err, dials.Load(), wantsSecond)
			}
			result.Release()
		}
	}
}

// The connection was sound for the first request, so that the answer to the second one is read from a buffer in use.
func TestCutAnswerAfterSoundOne(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nProof: p-r0\r\nContent-Length: 3\r\n\r\nxyz"
	for _, form := range answerForms {
		for _, end := range []error{io.EOF, syscall.ECONNRESET} {
			t.Run(fmt.Sprint(form.name, ", ", end), func(t *testing.T) {
				t.Parallel()
				for _, cut := range cutsOf(form.answer) {
					pool := poolOf(newScriptedConn(end, false, first, form.answer[:cut]))
					if result := runExchange(t, pool, newRequest("r0")); string(result.Response.Body()) != "xyz" {
						t.Fatalf("got status %d, error %v for the first request, want its answer", result.Status(), result.Err)
					}
					request := newRequest("r1")
					request.HasNoResponseBody = form.isToHead
					result := runExchange(t, pool, request)
					checkCutAnswer(t, form, cut, end, result, true)
					result.Release()
					pool.Close()
				}
			})
		}
	}
}
