package leaf

import (
	"encoding/json"
	"net"
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

// TestMain serves one request outside any bubble, since fasthttp then starts a goroutine that never ends.
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

type fixture struct {
	listener *fasthttputil.InmemoryListener
	server   *fasthttp.Server
	mu       sync.Mutex
	dials    int
}

func serve(handler fasthttp.RequestHandler) *fixture {
	f := &fixture{listener: fasthttputil.NewInmemoryListener(), server: &fasthttp.Server{Handler: handler, NoDefaultDate: true}}
	go func() { _ = f.server.Serve(f.listener) }()
	return f
}

func (f *fixture) client(connections int, options ...Option) *Client {
	dial := func(string, time.Duration) (net.Conn, error) {
		f.mu.Lock()
		f.dials++
		f.mu.Unlock()
		return f.listener.Dial()
	}
	return New("leaf", connections, append([]Option{WithDial(dial)}, options...)...)
}

func (f *fixture) close(c *Client) {
	c.Close()
	_ = f.server.Shutdown()
	_ = f.listener.Close()
	// The server's workers end some time after their last connection.
	time.Sleep(2 * time.Minute)
}

func respond(ctx *fasthttp.RequestCtx, status int, response Response) {
	body, _ := json.Marshal(response)
	ctx.SetStatusCode(status)
	ctx.SetBody(body)
}

func requestOf(ctx *fasthttp.RequestCtx) Request {
	var request Request
	_ = json.Unmarshal(ctx.PostBody(), &request)
	return request
}

func TestSearch(t *testing.T) {
	tests := []struct {
		name    string
		handler fasthttp.RequestHandler
		ok      bool
		refused bool
		step    Step
	}{
		{"answers", func(ctx *fasthttp.RequestCtx) { respond(ctx, 200, Response{ID: requestOf(ctx).ID}) }, true, false, ""},
		{"refuses", func(ctx *fasthttp.RequestCtx) {
			respond(ctx, 503, Response{ID: requestOf(ctx).ID, Reason: ReasonShed})
		}, false, true, ""},
		{"started and gave up", func(ctx *fasthttp.RequestCtx) {
			respond(ctx, 409, Response{ID: requestOf(ctx).ID, Reason: "cancelled", Started: true})
		}, false, false, ""},
		{"another id", func(ctx *fasthttp.RequestCtx) { respond(ctx, 200, Response{ID: "other"}) }, false, false, StepCheck},
		{"no JSON", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("{") }, false, false, StepDecode},
		{"too large", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(strings.Repeat("x", maxResponse+1)) }, false, false, StepRead},
		{"closes", func(ctx *fasthttp.RequestCtx) {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(c net.Conn) { _ = c.Close() })
		}, false, false, StepRead},
		{"never answers", func(*fasthttp.RequestCtx) { time.Sleep(time.Minute) }, false, false, StepRead},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := serve(test.handler)
				client := f.client(2)
				exchange, err := client.Search(Request{ID: "1"}, time.Second)
				var fault *Error
				if errors.As(err, &fault) != (test.step != "") || (fault != nil && fault.Step() != test.step) {
					t.Errorf("error %v, want step %q", err, test.step)
				}
				if err == nil && (exchange.OK() != test.ok || exchange.Refused() != test.refused) {
					t.Errorf("ok %t, refused %t", exchange.OK(), exchange.Refused())
				}
				if err != nil && client.Connections() != 0 {
					t.Error("a connection was kept after an error")
				}
				f.close(client)
			})
		})
	}
}

func TestLateResponseReachesNoOtherExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(func(ctx *fasthttp.RequestCtx) {
			request := requestOf(ctx)
			if request.ID == "slow" {
				time.Sleep(2 * time.Second)
			}
			respond(ctx, 200, Response{ID: request.ID})
		})
		client := f.client(1)
		if _, err := client.Search(Request{ID: "slow"}, time.Second); err == nil {
			t.Error("the slow exchange did not time out")
		}
		time.Sleep(3 * time.Second)
		exchange, err := client.Search(Request{ID: "next"}, time.Second)
		if err != nil || exchange.Response().ID != "next" {
			t.Errorf("the next exchange got %q, %v", exchange.Response().ID, err)
		}
		f.close(client)
	})
}

func TestResponsesOutliveTheirBuffers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(func(ctx *fasthttp.RequestCtx) {
			id := requestOf(ctx).ID
			respond(ctx, 200, Response{ID: id, Hits: json.RawMessage(`"` + strings.Repeat(id, 50) + `"`)})
		})
		client := f.client(1)
		var kept []Exchange
		for _, id := range []string{"a", "b", "c", "d"} {
			exchange, err := client.Search(Request{ID: id}, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			kept = append(kept, exchange)
		}
		for i, id := range []string{"a", "b", "c", "d"} {
			if got := string(kept[i].Response().Hits); got != `"`+strings.Repeat(id, 50)+`"` {
				t.Errorf("the hits of %s have become %s", id, got)
			}
		}
		f.close(client)
	})
}

func TestConnectionsStayWithinTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(func(ctx *fasthttp.RequestCtx) {
			time.Sleep(time.Second)
			respond(ctx, 200, Response{ID: requestOf(ctx).ID})
		})
		client := f.client(2)
		results := make(chan error, 5)
		for range 5 {
			go func() {
				_, err := client.Search(Request{ID: "1"}, time.Minute)
				results <- err
			}()
		}
		refused := 0
		for range 5 {
			var fault *Error
			if err := <-results; errors.As(err, &fault) {
				refused++
				if !fault.NotSent() {
					t.Errorf("%v does not count as not sent", err)
				}
			}
		}
		if refused != 3 || f.dials != 2 {
			t.Errorf("%d refused with %d connections, want 3 with 2", refused, f.dials)
		}
		f.close(client)
	})
}

func TestGateKeepsTheRequestBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		received := 0
		f := serve(func(ctx *fasthttp.RequestCtx) { received++; respond(ctx, 200, Response{ID: requestOf(ctx).ID}) })
		client := f.client(1, WithGate(func() error { return errors.New("no-lease") }))
		_, err := client.Search(Request{ID: "1"}, time.Second)
		var fault *Error
		if !errors.As(err, &fault) || !fault.NotSent() || received != 0 {
			t.Errorf("error %v, %d received", err, received)
		}
		f.close(client)
	})
}

func TestPreparedConnectionsAreUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(func(ctx *fasthttp.RequestCtx) { respond(ctx, 200, Response{ID: requestOf(ctx).ID}) })
		client := f.client(5)
		if err := client.Prepare(3); err != nil {
			t.Fatal(err)
		}
		exchange, err := client.Search(Request{ID: "1"}, time.Second)
		if err != nil || exchange.Connect() != 0 || f.dials != 3 {
			t.Errorf("connect %s, %d connections, %v", exchange.Connect(), f.dials, err)
		}
		client.SetConnections(1)
		if client.Connections() != 1 {
			t.Errorf("%d connections after the limit fell to 1", client.Connections())
		}
		f.close(client)
	})
}
