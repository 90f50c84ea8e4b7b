package leaf

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// TestMain serves one request outside any synctest bubble, because the first request makes fasthttp start a goroutine that
// never ends.
func TestMain(m *testing.M) {
	listener := fasthttputil.NewInmemoryListener()
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusOK) }}
	go func() { _ = server.Serve(listener) }()
	client := New("leaf", 1, WithDial(func(string, time.Duration) (net.Conn, error) { return listener.Dial() }))
	_, _ = client.Holdings()
	client.Close()
	_ = server.Shutdown()
	os.Exit(m.Run())
}

type testServer struct {
	listener *fasthttputil.InmemoryListener
	server   *fasthttp.Server
	mu       sync.Mutex
	dials    int
}

func newTestServer(handler fasthttp.RequestHandler) *testServer {
	f := &testServer{listener: fasthttputil.NewInmemoryListener(), server: &fasthttp.Server{Handler: handler, NoDefaultDate: true}}
	go func() { _ = f.server.Serve(f.listener) }()
	return f
}

func (f *testServer) client(maxConnections int, options ...Option) *Client {
	dial := func(string, time.Duration) (net.Conn, error) {
		f.mu.Lock()
		f.dials++
		f.mu.Unlock()
		return f.listener.Dial()
	}
	return New("leaf", maxConnections, append([]Option{WithDial(dial)}, options...)...)
}

func (f *testServer) close(c *Client) {
	c.Close()
	_ = f.server.Shutdown()
	_ = f.listener.Close()
	// The workers of the server end some time after their last connection.
	time.Sleep(2 * time.Minute)
}

func respond(ctx *fasthttp.RequestCtx, status int, response Response) {
	body, _ := json.Marshal(response)
	ctx.SetStatusCode(status)
	ctx.SetBody(body)
}

// respondRaw responds with the JSON in format, which holds a verb for the request ID.
func respondRaw(ctx *fasthttp.RequestCtx, status int, format string) {
	ctx.SetStatusCode(status)
	ctx.SetBodyString(fmt.Sprintf(format, decodeRequest(ctx).ID))
}

func decodeRequest(ctx *fasthttp.RequestCtx) Request {
	var request Request
	_ = json.Unmarshal(ctx.PostBody(), &request)
	return request
}

func TestSearchOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		handler fasthttp.RequestHandler
		ok      bool
		refused bool
		step    Step
	}{
		{"success", func(ctx *fasthttp.RequestCtx) { respond(ctx, 200, Response{ID: decodeRequest(ctx).ID}) }, true, false, ""},
		{"refused", func(ctx *fasthttp.RequestCtx) {
			respondRaw(ctx, 503, `{"id":%q,"reason":"shed","started":false}`)
		}, false, true, ""},
		{"failure that does not state whether it started", func(ctx *fasthttp.RequestCtx) {
			respondRaw(ctx, 503, `{"id":%q,"reason":"out of memory"}`)
		}, false, false, ""},
		{"failure with another status", func(ctx *fasthttp.RequestCtx) {
			respondRaw(ctx, 500, `{"id":%q,"reason":"internal","started":false}`)
		}, false, false, ""},
		{"cancelled after start", func(ctx *fasthttp.RequestCtx) {
			respondRaw(ctx, 409, `{"id":%q,"reason":"cancelled","started":true}`)
		}, false, false, ""},
		{"response ID mismatch", func(ctx *fasthttp.RequestCtx) { respond(ctx, 200, Response{ID: "other"}) }, false, false, StepCheck},
		{"invalid JSON", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("{") }, false, false, StepDecode},
		{"response too large", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(strings.Repeat("x", maxResponseBytes+1)) }, false, false, StepRead},
		{"connection closed", func(ctx *fasthttp.RequestCtx) {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(c net.Conn) { _ = c.Close() })
		}, false, false, StepRead},
		{"timeout", func(*fasthttp.RequestCtx) { time.Sleep(time.Minute) }, false, false, StepRead},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestServer(test.handler)
				client := f.client(2)
				exchange, err := client.Search(Request{ID: "1"}, time.Second)
				var leafErr *Error
				if errors.As(err, &leafErr) != (test.step != "") || (leafErr != nil && leafErr.Step() != test.step) {
					t.Errorf("got error %v, want step %q", err, test.step)
				}
				if err == nil && (exchange.OK() != test.ok || exchange.Refused() != test.refused) {
					t.Errorf("got OK %t, refused %t; want %t, %t", exchange.OK(), exchange.Refused(), test.ok, test.refused)
				}
				if err != nil && client.Connections() != 0 {
					t.Errorf("%d connections open after an error, want 0", client.Connections())
				}
				f.close(client)
			})
		})
	}
}

func TestSearchAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestServer(func(ctx *fasthttp.RequestCtx) {
			request := decodeRequest(ctx)
			if request.ID == "slow" {
				time.Sleep(2 * time.Second)
			}
			respond(ctx, 200, Response{ID: request.ID})
		})
		client := f.client(1)
		if _, err := client.Search(Request{ID: "slow"}, time.Second); err == nil {
			t.Error("slow search succeeded, want a timeout after 1 s")
		}
		time.Sleep(3 * time.Second)
		exchange, err := client.Search(Request{ID: "next"}, time.Second)
		if err != nil || exchange.Response().ID != "next" {
			t.Errorf("next search: got response %q, error %v; want response \"next\"", exchange.Response().ID, err)
		}
		f.close(client)
	})
}

func TestResponseOutlivesBuffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestServer(func(ctx *fasthttp.RequestCtx) {
			id := decodeRequest(ctx).ID
			respond(ctx, 200, Response{ID: id, Hits: json.RawMessage(`"` + strings.Repeat(id, 50) + `"`)})
		})
		client := f.client(1)
		var exchanges []Exchange
		for _, id := range []string{"a", "b", "c", "d"} {
			exchange, err := client.Search(Request{ID: id}, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			exchanges = append(exchanges, exchange)
		}
		for i, id := range []string{"a", "b", "c", "d"} {
			if got := string(exchanges[i].Response().Hits); got != `"`+strings.Repeat(id, 50)+`"` {
				t.Errorf("hits of request %s changed to %s", id, got)
			}
		}
		f.close(client)
	})
}

func TestSearchBeyondConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestServer(func(ctx *fasthttp.RequestCtx) {
			time.Sleep(time.Second)
			respond(ctx, 200, Response{ID: decodeRequest(ctx).ID})
		})
		client := f.client(2)
		results := make(chan error, 5)
		for range 5 {
			go func() {
				_, err := client.Search(Request{ID: "1"}, time.Minute)
				results <- err
			}()
		}
		failures := 0
		for range 5 {
			var leafErr *Error
			if err := <-results; errors.As(err, &leafErr) {
				failures++
				if !leafErr.NotSent() {
					t.Errorf("NotSent is false for error %v, want true", err)
				}
			}
		}
		if failures != 3 || f.dials != 2 {
			t.Errorf("got %d failures with %d connections, want 3 with 2", failures, f.dials)
		}
		f.close(client)
	})
}

func TestSearchSendCheckFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		received := 0
		f := newTestServer(func(ctx *fasthttp.RequestCtx) { received++; respond(ctx, 200, Response{ID: decodeRequest(ctx).ID}) })
		client := f.client(1, WithSendCheck(func() error { return errors.New("no-lease") }))
		_, err := client.Search(Request{ID: "1"}, time.Second)
		var leafErr *Error
		if !errors.As(err, &leafErr) || !leafErr.NotSent() || received != 0 {
			t.Errorf("got error %v, %d requests received; want an unsent request and 0 received", err, received)
		}
		f.close(client)
	})
}

func TestSearchUsesPreconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestServer(func(ctx *fasthttp.RequestCtx) { respond(ctx, 200, Response{ID: decodeRequest(ctx).ID}) })
		client := f.client(5)
		if err := client.Preconnect(3); err != nil {
			t.Fatal(err)
		}
		exchange, err := client.Search(Request{ID: "1"}, time.Second)
		if err != nil || exchange.ConnectTime() != 0 || f.dials != 3 {
			t.Errorf("got connect time %s, %d connections opened, error %v; want 0s, 3 and no error", exchange.ConnectTime(), f.dials, err)
		}
		client.SetMaxConnections(1)
		if client.Connections() != 1 {
			t.Errorf("%d connections open with limit 1, want 1", client.Connections())
		}
		f.close(client)
	})
}

// Bytes that follow a complete response belong to no request. They must not be taken for the response to the next one.
func TestSurplusAfterResponseIsNotRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				for reader := bufio.NewReader(conn); ; {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, request.Body); err != nil {
						return
					}
					const sound, surplus = `{"id":"r1","start":"sound"}`, `{"start":"surplus"}`
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%sHTTP/1.1 000 OK\r\nContent-Length: %d\r\n\r\n%s", len(sound), sound, len(surplus), surplus)
				}
			}()
		}
	}()
	client := New(listener.Addr().String(), 1)
	defer client.Close()
	if _, err := client.Search(Request{ID: "r1"}, time.Second); err != nil {
		t.Fatalf("search: got error %v, want none", err)
	}
	if exchange, err := client.Holdings(); err != nil || exchange.Response().RunID != "sound" {
		t.Errorf("holdings: got response %+v and error %v, want the sound one", exchange.Response(), err)
	}
}
