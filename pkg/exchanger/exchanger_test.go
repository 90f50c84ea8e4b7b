package exchanger

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// upstream answers each request of each connection by a script.
type upstream struct {
	listener net.Listener
	conns    atomic.Int64
	closed   atomic.Int64
	serve    func(conn net.Conn, request *http.Request, id string)
}

var testHeaders = &Headers{RequestID: "Request-Id", TimeLeft: "Time-Left-Ms", Expect: "Expect-Leaf", NotRun: "Not-Run", Proof: "Proof"}

func newUpstream(t *testing.T, serve func(conn net.Conn, request *http.Request, id string)) *upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{listener: listener, serve: serve}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			go u.run(conn)
		}
	}()
	return u
}

func (u *upstream) run(conn net.Conn) {
	defer u.closed.Add(1)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		u.serve(conn, request, request.Header.Get("Request-Id"))
	}
}

func (u *upstream) pool(limit int) *Pool {
	config := &Config{
		Headers: testHeaders, MaxAnswer: 1 << 20,
		Dial: func(address string, timeout time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", address, timeout)
		},
	}
	return New(config, u.listener.Addr().String(), "leaf-1", limit)
}

func request(id string) *Request {
	head := fmt.Sprintf("GET /a/b%%2Fc?q=1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n", id)
	return &Request{ID: id, Head: []byte(head), Deadline: time.Now().Add(5 * time.Second)}
}

func exchange(t *testing.T, pool *Pool, r *Request) Result {
	t.Helper()
	results := make(chan Result, 1)
	pool.Start(r, func(result Result) { results <- result })
	select {
	case result := <-results:
		return result
	case <-time.After(5 * time.Second):
		t.Fatal("no end of the exchange")
		return Result{}
	}
}

func ok(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nProof: p-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

func TestAnswers(t *testing.T) {
	cases := []struct {
		name   string
		serve  func(conn net.Conn, request *http.Request, id string)
		status int
		body   string
		sent   bool
	}{
		{"whole", func(c net.Conn, _ *http.Request, id string) { ok(c, id, "abc") }, 200, "abc", true},
		{"chunked", func(c net.Conn, _ *http.Request, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", id)
		}, 200, "abc", true},
		{"after an interim answer", func(c net.Conn, _ *http.Request, id string) {
			_, _ = fmt.Fprint(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
			ok(c, id, "abc")
		}, 200, "abc", true},
		{"without a length", func(c net.Conn, _ *http.Request, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\nabc", id)
			_ = c.Close()
		}, 200, "abc", true},
		{"without a length, reset", func(c net.Conn, _ *http.Request, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\nabc", id)
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}, 0, "", true},
		{"truncated", func(c net.Conn, _ *http.Request, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 9\r\n\r\nabc", id)
			_ = c.Close()
		}, 0, "", true},
		{"no answer at all", func(c net.Conn, _ *http.Request, _ string) { _, _ = io.WriteString(c, "\x00\x01nonsense\r\n\r\n") }, 0, "", true},
		{"of an earlier request, then its own", func(c net.Conn, _ *http.Request, id string) {
			ok(c, "earlier", "xyz")
			ok(c, id, "abc")
		}, 200, "abc", true},
		{"behind an unfinished head", func(c net.Conn, _ *http.Request, id string) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nDate: Fri")
			_, _ = fmt.Fprintf(c, "HTTP/1.1 500 Fault\r\nRequest-Id: %s\r\nContent-Length: 3\r\n\r\nabc", id)
		}, 0, "", true},
		{"behind an unfinished header name", func(c net.Conn, _ *http.Request, id string) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nDa")
			_, _ = fmt.Fprintf(c, "HTTP/1.1 500 Fault\r\nRequest-Id: %s\r\nContent-Length: 3\r\n\r\nabc", id)
		}, 0, "", true},
		{"behind an unfinished status line", func(c net.Conn, _ *http.Request, id string) {
			_, _ = io.WriteString(c, "HTTP/1.1 200")
			_, _ = fmt.Fprintf(c, "HTTP/1.1 500 Fault\r\nRequest-Id: %s\r\nContent-Length: 3\r\n\r\nabc", id)
		}, 0, "", true},
		{"of earlier requests without end", func(c net.Conn, _ *http.Request, _ string) {
			for range 100 {
				ok(c, "earlier", "xyz")
			}
		}, 0, "", true},
		{"interim answers without end", func(c net.Conn, _ *http.Request, _ string) {
			for range 100 {
				_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
			}
		}, 0, "", true},
		{"without an id", func(c net.Conn, _ *http.Request, _ string) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc")
		}, 0, "", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pool := newUpstream(t, c.serve).pool(1)
			defer pool.Close()
			result := exchange(t, pool, request("r1"))
			defer result.Release()
			if result.Status() != c.status || result.Sent != c.sent {
				t.Fatalf("status %d, sent %v (%v), want %d and %v", result.Status(), result.Sent, result.Err, c.status, c.sent)
			}
			if result.Answer != nil && string(result.Answer.Body()) != c.body {
				t.Errorf("body %q, want %q", result.Answer.Body(), c.body)
			}
		})
	}
}

func TestRequestReachesTheUpstreamUnchanged(t *testing.T) {
	seen := make(chan *http.Request, 1)
	u := newUpstream(t, func(c net.Conn, r *http.Request, id string) {
		seen <- r
		ok(c, id, "")
	})
	pool := u.pool(1)
	defer pool.Close()
	exchange(t, pool, request("r1")).Release()
	r := <-seen
	if r.RequestURI != "/a/b%2Fc?q=1" || r.Header.Get("Expect-Leaf") != "leaf-1" {
		t.Errorf("target %q, expected leaf %q", r.RequestURI, r.Header.Get("Expect-Leaf"))
	}
	if left := r.Header.Get("Time-Left-Ms"); !strings.HasPrefix(left, "49") && left != "5000" {
		t.Errorf("time left %q ms, want nearly 5000", left)
	}
}

func TestConnectionIsUsedAgainOnlyWhenClean(t *testing.T) {
	cases := []struct {
		name  string
		serve func(conn net.Conn, request *http.Request, id string)
		conns int64
	}{
		{"clean", func(c net.Conn, _ *http.Request, id string) { ok(c, id, "abc") }, 1},
		{"extra bytes after the answer", func(c net.Conn, _ *http.Request, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n", id)
		}, 2},
		{"an answer to another request before", func(c net.Conn, _ *http.Request, id string) {
			ok(c, "other", "x")
			ok(c, id, "abc")
		}, 2},
		{"connection: close", func(c net.Conn, _ *http.Request, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", id)
		}, 2},
		{"idle time is over at once", func(c net.Conn, _ *http.Request, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n", id)
		}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newUpstream(t, c.serve)
			pool := u.pool(2)
			defer pool.Close()
			for i := range 2 {
				exchange(t, pool, request(fmt.Sprint("r", i))).Release()
				time.Sleep(30 * time.Millisecond)
			}
			if got := u.conns.Load(); got != c.conns {
				t.Errorf("%d connections, want %d", got, c.conns)
			}
		})
	}
}

func TestUnreachableWasNotSent(t *testing.T) {
	u := newUpstream(t, nil)
	_ = u.listener.Close()
	result := exchange(t, u.pool(1), request("r1"))
	if result.Sent || result.Err == nil {
		t.Errorf("sent %v, error %v", result.Sent, result.Err)
	}
}

func TestAbandonedRequestClosesItsConnection(t *testing.T) {
	begun := make(chan bool, 1)
	u := newUpstream(t, func(net.Conn, *http.Request, string) { begun <- true })
	pool := u.pool(1)
	ticket := pool.Start(request("r1"), func(Result) { t.Error("an abandoned request reported its end") })
	<-begun
	ticket.Abandon(true)
	for range 100 {
		if u.closed.Load() == 1 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the upstream still has the connection after a second")
}

func TestWaitingRequestsShareConnections(t *testing.T) {
	u := newUpstream(t, func(c net.Conn, _ *http.Request, id string) {
		time.Sleep(5 * time.Millisecond)
		ok(c, id, id)
	})
	pool := u.pool(2)
	defer pool.Close()
	const requests = 20
	results := make(chan string, requests)
	for i := range requests {
		id := fmt.Sprint("r", i)
		pool.Start(request(id), func(result Result) {
			results <- string(result.Answer.Body()) + "=" + id
			result.Release()
		})
	}
	for range requests {
		if body, id, _ := strings.Cut(<-results, "="); body != id {
			t.Errorf("request %s got the answer of %s", id, body)
		}
	}
	if got := u.conns.Load(); got > 2 {
		t.Errorf("%d connections, more than 2", got)
	}
}

func TestFlushFailsWhatWaits(t *testing.T) {
	block := make(chan bool)
	u := newUpstream(t, func(c net.Conn, _ *http.Request, id string) {
		<-block
		ok(c, id, "")
	})
	pool := u.pool(1)
	first := make(chan Result, 1)
	pool.Start(request("r1"), func(result Result) { first <- result })
	time.Sleep(30 * time.Millisecond)
	second := make(chan Result, 1)
	pool.Start(request("r2"), func(result Result) { second <- result })
	pool.Flush()
	if result := <-second; result.Sent || result.Err == nil {
		t.Errorf("the waiting request: sent %v, error %v", result.Sent, result.Err)
	}
	close(block)
	if result := <-first; result.Status() != http.StatusOK {
		t.Errorf("the running request ended with %d, %v", result.Status(), result.Err)
	}
}

// An upstream that rejects a long body early must not get the rest of it as the next request.
func TestEarlyAnswerToALongBodyEndsTheConnection(t *testing.T) {
	u := newUpstream(t, nil)
	u.serve = func(c net.Conn, _ *http.Request, id string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 413 Too Large\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		time.Sleep(100 * time.Millisecond)
	}
	pool := u.pool(1)
	defer pool.Close()
	body := make([]byte, 8<<20)
	head := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nContent-Length: %d\r\n", len(body))
	long := &Request{ID: "r1", Head: []byte(head), Body: body, Deadline: time.Now().Add(5 * time.Second)}
	result := exchange(t, pool, long)
	if result.Status() != http.StatusRequestEntityTooLarge {
		t.Fatalf("status %d, %v", result.Status(), result.Err)
	}
	result.Release()
	if running, _ := pool.Load(); running != 0 {
		t.Errorf("%d connections are still in use", running)
	}
}

func TestSpareConnectionsCloseAndKeptOnesStay(t *testing.T) {
	u := newUpstream(t, func(c net.Conn, _ *http.Request, id string) {
		time.Sleep(20 * time.Millisecond)
		ok(c, id, "")
	})
	pool := u.pool(3)
	defer pool.Close()
	pool.SetLimit(3, 1, 50*time.Millisecond)
	ends := make(chan bool, 6)
	for i := range 6 {
		pool.Start(request(fmt.Sprint("r", i)), func(result Result) {
			result.Release()
			ends <- true
		})
	}
	for range 6 {
		<-ends
	}
	opened := u.conns.Load()
	for range 100 {
		if u.closed.Load() == opened-1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if left := opened - u.closed.Load(); left != 1 {
		t.Errorf("%d of %d connections are left after they were idle, want 1", left, opened)
	}
}

// closedConn is a connection that the upstream closed, which its reader has not noticed yet.
type closedConn struct {
	net.Conn
	closed chan bool
	once   sync.Once
}

func (c *closedConn) Write([]byte) (int, error) { return 0, syscall.EPIPE }

func (c *closedConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, net.ErrClosed
}

func (c *closedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

func (c *closedConn) SetWriteDeadline(time.Time) error { return nil }

// All instances start again, and leafs close connections beyond their limit: a request of which no byte went out has not
// run, also one that must not run twice.
func TestRequestThatWasNotWrittenGoesOutAgain(t *testing.T) {
	cases := []struct {
		name   string
		once   bool
		closed int64
		want   bool
	}{
		{"the next connection is sound", false, 1, true},
		{"a request that must not run twice", true, 1, true},
		{"no connection is sound", true, 100, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newUpstream(t, func(c net.Conn, _ *http.Request, id string) { ok(c, id, "") })
			var dials atomic.Int64
			config := &Config{
				Headers: testHeaders, MaxAnswer: 1 << 20,
				Dial: func(address string, timeout time.Duration) (net.Conn, error) {
					if dials.Add(1) <= c.closed {
						return &closedConn{closed: make(chan bool)}, nil
					}
					return net.DialTimeout("tcp", address, timeout)
				},
			}
			pool := New(config, u.listener.Addr().String(), "leaf-1", 1)
			defer pool.Close()
			r := request("r1")
			r.Once = c.once
			ended := make(chan Result, 1)
			pool.Start(r, func(result Result) { ended <- result })
			result := <-ended
			defer result.Release()
			if got := result.Answer != nil; got != c.want {
				t.Errorf("answered: %v (%v), want %v", got, result.Err, c.want)
			}
			if !c.want && result.Sent {
				t.Error("a request of which no byte was written counts as sent")
			}
		})
	}
}

// An upstream that takes two connections resets every further one; instances that are gone may still hold some.
func TestConnectionsBeyondTheUpstreamsLimitAreNotMissed(t *testing.T) {
	var resets atomic.Int64
	u := newUpstream(t, nil)
	u.serve = func(c net.Conn, _ *http.Request, id string) {
		if u.conns.Load()-u.closed.Load() > 2 {
			resets.Add(1)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			return
		}
		time.Sleep(5 * time.Millisecond)
		ok(c, id, "")
	}
	pool := u.pool(10)
	defer pool.Close()
	const requests = 30
	ends := make(chan int, requests)
	for i := range requests {
		pool.Start(request(fmt.Sprint("r", i)), func(result Result) {
			ends <- result.Status()
			result.Release()
		})
	}
	failed := 0
	for range requests {
		if status := <-ends; status != http.StatusOK {
			failed++
		}
	}
	if failed > 0 || resets.Load() == 0 {
		t.Errorf("%d of %d requests failed after %d resets", failed, requests, resets.Load())
	}
}
