package exchanger

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// endless writes until the connection is closed.
func endless(c net.Conn, piece string) {
	for {
		if _, err := io.WriteString(c, piece); err != nil {
			return
		}
	}
}

// Servers in trouble send bytes that are no answer, without end: each attempt ends by itself, and holds no more than it may.
func TestAnswersWithoutEnd(t *testing.T) {
	head := func(c net.Conn, id, lines string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\n", id, lines)
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 4096, strings.Repeat("x", 4096))
	cases := []struct {
		name  string
		serve func(c net.Conn, id string)
		cause error
	}{
		{"chunks", func(c net.Conn, id string) {
			head(c, id, "Transfer-Encoding: chunked\r\n")
			endless(c, chunk)
		}, ErrTooLong},
		{"a body without a length", func(c net.Conn, id string) {
			head(c, id, "")
			endless(c, chunk)
		}, ErrTooLong},
		{"a length beyond the limit", func(c net.Conn, id string) {
			head(c, id, "Content-Length: 1000000000\r\n")
			endless(c, chunk)
		}, ErrTooLong},
		{"chunks of nothing but extensions", func(c net.Conn, id string) {
			head(c, id, "Transfer-Encoding: chunked\r\n")
			endless(c, "1;"+strings.Repeat("e", 1000)+"\r\nx\r\n")
		}, nil},
		{"a trailer", func(c net.Conn, id string) {
			head(c, id, "Transfer-Encoding: chunked\r\n")
			_, _ = io.WriteString(c, "0\r\n")
			endless(c, "Extra: "+strings.Repeat("x", 100)+"\r\n")
		}, nil},
		{"header lines", func(c net.Conn, _ string) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			endless(c, "Extra: "+strings.Repeat("x", 100)+"\r\n")
		}, nil},
		{"one header line", func(c net.Conn, _ string) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nExtra: ")
			endless(c, strings.Repeat("x", 100))
		}, nil},
		{"interim answers", func(c net.Conn, _ string) { endless(c, "HTTP/1.1 100 Continue\r\n\r\n") }, ErrInterim},
		{"answers to another request", func(c net.Conn, _ string) {
			endless(c, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nx")
		}, ErrForeignAnswer},
		{"zeros", func(c net.Conn, _ string) { endless(c, strings.Repeat("\x00", 512)) }, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ended := make(chan bool, 1)
			u := newUpstream(t, func(conn net.Conn, _ *http.Request, id string) {
				c.serve(conn, id)
				ended <- true
			})
			pool := u.pool(1)
			defer pool.Close()
			meter := NewMeter(256<<10, nil)
			pool.config.MaxAnswer, pool.config.Meter = 128<<10, meter
			result := exchange(t, pool, request("r1"))
			defer result.Release()
			if result.Answer != nil || !result.Sent || c.cause != nil && !errors.Is(result.Err, c.cause) {
				t.Fatalf("answer %v, sent %v, error %v; want no answer, sent, and %v", result.Answer, result.Sent, result.Err, c.cause)
			}
			if held := meter.Held(); held != 0 {
				t.Errorf("%d bytes are held after the end", held)
			}
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				t.Error("the connection is still open")
			}
		})
	}
}

func TestBodiesOfAllLengths(t *testing.T) {
	forms := []struct {
		name  string
		write func(c net.Conn, id string, body []byte)
	}{
		{"with a length", func(c net.Conn, id string, body []byte) { ok(c, id, string(body)) }},
		{"in chunks", func(c net.Conn, id string, body []byte) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
			for len(body) > 0 {
				n := min(len(body), 5000)
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", n, body[:n])
				body = body[n:]
			}
			_, _ = io.WriteString(c, "0\r\nTrailing: yes\r\n\r\n")
		}},
		{"to the end of the connection", func(c net.Conn, id string, body []byte) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n%s", id, body)
			_ = c.Close()
		}},
	}
	for _, form := range forms {
		for _, length := range []int{0, 1, firstPieceBytes, firstPieceBytes + 1, wholeBytes + 1, 300_000} {
			t.Run(fmt.Sprint(form.name, " ", length), func(t *testing.T) {
				want := make([]byte, length)
				for i := range want {
					want[i] = byte(i % 251)
				}
				u := newUpstream(t, func(c net.Conn, _ *http.Request, id string) { form.write(c, id, want) })
				pool := u.pool(1)
				defer pool.Close()
				pool.config.Meter = NewMeter(1<<20, nil)
				result := exchange(t, pool, request("r1"))
				if result.Answer == nil || string(result.Answer.Body()) != string(want) {
					t.Fatalf("error %v; the body of %d bytes did not come whole", result.Err, length)
				}
				result.Release()
				if held := pool.config.Meter.Held(); held != 0 {
					t.Errorf("%d bytes are held after the release", held)
				}
			})
		}
	}
}

// Long answers at once fill the memory for answers; short ones still find room.
func TestMeterRefusesWhatDoesNotFit(t *testing.T) {
	whole := NewMeter(100, nil)
	first, second := NewMeter(80, whole), NewMeter(80, whole)
	steps := []struct {
		name  string
		meter *Meter
		bytes int64
		want  bool
	}{
		{"within both", first, 60, true},
		{"beyond the query", first, 30, false},
		{"beyond the whole", second, 50, false},
		{"what is left of the whole", second, 40, true},
		{"nothing is left", first, 1, false},
	}
	for _, step := range steps {
		if got := step.meter.Take(step.bytes); got != step.want {
			t.Errorf("%s: %v, want %v", step.name, got, step.want)
		}
	}
	first.Return(60)
	second.Return(40)
	if whole.Held() != 0 {
		t.Errorf("%d bytes are held after all were returned", whole.Held())
	}
}
