package gatekeeper

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/hedger"
	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/router"
)

// testHeaders are the product's own names; nothing here depends on a platform.
var testHeaders = Headers{
	Headers: exchanger.Headers{
		RequestID: "Request-Id", TimeLeft: "Time-Left-Ms", Expect: "Expect-Leaf", NotRun: "Not-Run", Proof: "Proof",
	},
	Proofs: "Proofs", Missing: "Missing-Parts",
}

type (
	// testLeaf is a stand-in upstream that counts what it runs.
	testLeaf struct {
		id      string
		service string
		server  *http.Server
		address string
		runs    atomic.Int64
		left    atomic.Int64
		handle  atomic.Pointer[http.HandlerFunc]
	}

	testTier struct {
		t       testing.TB
		gate    *Gatekeeper
		address string
		leafs   []*testLeaf
		mu      sync.Mutex
		version uint64
	}
)

func testConfig() Config {
	began := time.Now()
	return Config{
		Headers: testHeaders, Instance: "entry-1", DataCentre: "a", Budget: hedger.SharedBound{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Decode: func(uint64, []byte) (*router.Table, error) { return nil, nil },
		Dial: func(address string, timeout time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", address, timeout)
		},
		Now: func() time.Duration { return time.Since(began) }, Random: rand.New(rand.NewPCG(1, 1)), Log: logr.Discard(),
	}
}

func newTier(t testing.TB, services ...string) *testTier {
	t.Helper()
	tier := serveTier(t, New(testConfig()))
	for _, name := range services {
		tier.leafs = append(tier.leafs, newTestLeaf(t, fmt.Sprintf("%s-%d", name, len(tier.leafs)), name))
	}
	tier.list()
	return tier
}

// serveTier lets the gatekeeper take callers.
func serveTier(t testing.TB, gate *Gatekeeper) *testTier {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = gate.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = gate.Shutdown(ctx)
	})
	return &testTier{t: t, gate: gate, address: listener.Addr().String()}
}

func newTestLeaf(t testing.TB, id, service string) *testLeaf {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	leaf := &testLeaf{id: id, service: service, address: listener.Addr().String()}
	leaf.set(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "0123456789abcdef") })
	leaf.server = &http.Server{Handler: http.HandlerFunc(leaf.serve)}
	go func() { _ = leaf.server.Serve(listener) }()
	t.Cleanup(func() { _ = leaf.server.Close() })
	return leaf
}

func (l *testLeaf) set(handle http.HandlerFunc) { l.handle.Store(&handle) }

func (l *testLeaf) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if expected := r.Header.Get("Expect-Leaf"); expected != l.id {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.runs.Add(1)
	w.Header().Set("Proof", "proof-of-"+l.id)
	(*l.handle.Load())(w, r)
	if r.Context().Err() != nil {
		l.left.Add(1)
	}
}

func (tier *testTier) list() {
	tier.mu.Lock()
	defer tier.mu.Unlock()
	tier.version++
	roster := lister.Roster{Stamp: lister.RosterStamp{Term: 1, Sequence: tier.version}}
	for _, leaf := range tier.leafs {
		roster.Leafs = append(roster.Leafs, lister.RosterLeaf{ID: leaf.id, Service: leaf.service, DataCentre: "a", Address: leaf.address, Slots: 2})
	}
	tier.gate.SetRoster(roster)
}

func (tier *testTier) route(fields router.RouteFields) {
	tier.t.Helper()
	fields.Host, fields.Prefix = "h.example", "/p/"
	if fields.Timeout == 0 {
		fields.Timeout = 2 * time.Second
	}
	seen := map[string]bool{}
	var services []router.ServiceFields
	for _, leaf := range tier.leafs {
		if !seen[leaf.service] {
			seen[leaf.service] = true
			services = append(services, router.ServiceFields{Name: leaf.service, MaxConnections: 10})
		}
	}
	table, err := router.Build(1, []router.RouteFields{fields}, services, router.Limits{})
	if err != nil {
		tier.t.Fatal(err)
	}
	tier.gate.setTable(table)
}

func (tier *testTier) ask(method, path string, body []byte) (*http.Response, []byte) {
	tier.t.Helper()
	request, err := http.NewRequest(method, "http://"+tier.address+path, bytes.NewReader(body))
	if err != nil {
		tier.t.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set("Request-Id", "r-1")
	request.Header.Set("Time-Left-Ms", "1000")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, nil
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		tier.t.Fatalf("read the answer: %v", err)
	}
	return response, content
}

func (tier *testTier) runs() int64 {
	total := int64(0)
	for _, leaf := range tier.leafs {
		total += leaf.runs.Load()
	}
	return total
}

func shed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.Header().Del("Proof")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func TestPlain(t *testing.T) {
	whole := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }
	cases := []struct {
		name       string
		idempotent bool
		leafs      []http.HandlerFunc
		status     int
		body       string
		runs       int64
	}{
		{"answer passed on", false, []http.HandlerFunc{whole}, 200, "whole", 1},
		{"failure passed on with its status", false, []http.HandlerFunc{status(500)}, 500, "", 1},
		{"refused by every leaf is a true not-run", false, []http.HandlerFunc{shed, shed}, 503, "", 2},
		{"broken off is not repeated", false, []http.HandlerFunc{breakOff, breakOff}, 502, "", 1},
		{"broken off is repeated where that is allowed", true, []http.HandlerFunc{breakOff, breakOff}, 502, "", 2},
		{"a failure is repeated where that is allowed", true, []http.HandlerFunc{status(500), status(500)}, 500, "", 2},
		{"a leaf that ran makes no refusal true", true, []http.HandlerFunc{breakOff, shed}, 502, "", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			names := make([]string, len(c.leafs))
			for i := range names {
				names[i] = "card"
			}
			tier := newTier(t, names...)
			for i, handle := range c.leafs {
				tier.leafs[i].set(handle)
			}
			tier.route(router.RouteFields{Name: "card", Service: "card", MaxAttempts: 2, Idempotent: c.idempotent})
			response, body := tier.ask(http.MethodPost, "/p/x", []byte("b"))
			if response == nil || response.StatusCode != c.status {
				t.Fatalf("got %v, want status %d", response, c.status)
			}
			if c.body != "" && string(body) != c.body {
				t.Errorf("body %q, want %q", body, c.body)
			}
			if got := tier.runs(); got != c.runs {
				t.Errorf("%d runs, want %d", got, c.runs)
			}
			if retryAfter := response.Header.Get("Retry-After"); (c.status == 503) != (retryAfter != "") {
				t.Errorf("status %d with Retry-After %q", c.status, retryAfter)
			}
		})
	}
}

// Some leafs of a service turn slow: each of their requests would be late, while the others have room.
func TestSlowLeafOfAPlainRequestIsAskedAgainElsewhere(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	cases := []struct {
		name       string
		idempotent bool
		status     int
		runs       int64
	}{
		{"may run more than once", true, http.StatusOK, 2},
		{"must run once", false, http.StatusGatewayTimeout, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tier := newTier(t, "card", "card")
			first := make(chan struct{}, 1)
			first <- struct{}{}
			for _, leaf := range tier.leafs {
				leaf.set(func(w http.ResponseWriter, r *http.Request) {
					select {
					case <-first:
						hang(w, r)
					default:
						_, _ = io.WriteString(w, "whole")
					}
				})
			}
			tier.route(router.RouteFields{
				Name: "card", Service: "card", MaxAttempts: 2, Idempotent: c.idempotent, Objective: 100 * time.Millisecond, Timeout: 400 * time.Millisecond,
			})
			begun := time.Now()
			response, _ := tier.ask(http.MethodPost, "/p/x", nil)
			if response == nil || response.StatusCode != c.status {
				t.Fatalf("got %v, want status %d", response, c.status)
			}
			if took := time.Since(begun); c.idempotent && took > 300*time.Millisecond {
				t.Errorf("the answer took %v", took)
			}
			if got := tier.runs(); got != c.runs {
				t.Errorf("%d runs, want %d", got, c.runs)
			}
		})
	}
}

func TestRefusalOfOneLeafIsTriedAtAnother(t *testing.T) {
	tier := newTier(t, "card", "card", "card")
	for _, leaf := range tier.leafs[:2] {
		leaf.set(shed)
	}
	tier.route(router.RouteFields{Name: "card", Service: "card", MaxAttempts: 3})
	if response, _ := tier.ask(http.MethodPost, "/p/x", nil); response == nil || response.StatusCode != http.StatusOK {
		t.Errorf("got %v, want the answer of the third leaf", response)
	}
}

func TestRequestReachesTheLeafUnchanged(t *testing.T) {
	tier := newTier(t, "card")
	var target, body, custom, connection string
	tier.leafs[0].set(func(_ http.ResponseWriter, r *http.Request) {
		content, _ := io.ReadAll(r.Body)
		target, body, custom, connection = r.Method+" "+r.RequestURI, string(content), r.Header.Get("X-Custom"), r.Header.Get("X-Hop")
	})
	tier.route(router.RouteFields{Name: "card", Service: "card", MaxAttempts: 1})
	conn, err := net.Dial("tcp", tier.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "PATCH /p/a%2Fb/../c//d?x=%41&y HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r-2\r\nTime-Left-Ms: 1000\r\n"+
		"X-Custom: v\r\nX-Hop: secret\r\nConnection: X-Hop, close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	if answer, _ := io.ReadAll(conn); !bytes.HasPrefix(answer, []byte("HTTP/1.1 200")) {
		t.Fatalf("answer %q", answer)
	}
	if target != "PATCH /p/a%2Fb/../c//d?x=%41&y" || body != "abc" || custom != "v" || connection != "" {
		t.Errorf("the leaf got %q with body %q, custom %q, hop %q", target, body, custom, connection)
	}
}

func TestReusedAddressDoesNotRunTheRequest(t *testing.T) {
	tier := newTier(t, "card", "card")
	tier.route(router.RouteFields{Name: "card", Service: "card", MaxAttempts: 2})
	tier.leafs[0].id = "somebody-else"
	for range 5 {
		if response, _ := tier.ask(http.MethodPost, "/p/x", nil); response == nil || response.StatusCode != http.StatusOK {
			t.Fatalf("got %v", response)
		}
	}
	if got := tier.leafs[0].runs.Load(); got != 0 {
		t.Errorf("%d requests ran at a leaf that took over the address", got)
	}
}

func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	tier := newTier(t, "card")
	begun := make(chan bool, 1)
	tier.leafs[0].set(func(_ http.ResponseWriter, r *http.Request) {
		begun <- true
		<-r.Context().Done()
	})
	tier.route(router.RouteFields{Name: "card", Service: "card", MaxAttempts: 1})
	conn, err := net.Dial("tcp", tier.address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "GET /p/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r\r\nTime-Left-Ms: 5000\r\n\r\n")
	select {
	case <-begun:
	case <-time.After(2 * time.Second):
		t.Fatal("the request did not reach the leaf")
	}
	_ = conn.Close()
	for range 50 {
		if tier.leafs[0].left.Load() == 1 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the leaf still works half a second after its caller left")
}

func TestUnknownRouteAndUnknownRoutes(t *testing.T) {
	tier := newTier(t, "card")
	if response, _ := tier.ask(http.MethodGet, "/p/x", nil); response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("without routes: %v", response)
	}
	tier.route(router.RouteFields{Name: "card", Service: "card", MaxAttempts: 1})
	if response, _ := tier.ask(http.MethodGet, "/other", nil); response.StatusCode != http.StatusNotFound {
		t.Errorf("without a route: %v", response)
	}
}

func TestDrainingAnswersCloseTheirConnection(t *testing.T) {
	tier := newTier(t, "card")
	tier.route(router.RouteFields{Name: "card", Service: "card", MaxAttempts: 1})
	if !tier.gate.Ready() {
		t.Fatal("not ready")
	}
	tier.gate.Drain()
	if tier.gate.Ready() {
		t.Error("ready while draining")
	}
	if response, _ := tier.ask(http.MethodGet, "/p/x", nil); response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("got %v, want an answer that closes the connection", response)
	}
}

// A caller sends its next request on a kept connection just as the instance is told to stop: that request is answered, and
// the answer closes the connection.
func TestDrainingServesKeptConnections(t *testing.T) {
	tier := newTier(t, "card")
	tier.route(router.RouteFields{Name: "card", Service: "card", MaxAttempts: 1})
	conn, err := net.Dial("tcp", tier.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i, wantClose := range []bool{false, true} {
		if wantClose {
			tier.gate.Drain()
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = fmt.Fprintf(conn, "GET /p/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r-%d\r\nTime-Left-Ms: 1000\r\n\r\n", i)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK || response.Close != wantClose {
			t.Errorf("request %d: status %d, closes %v, want 200 and %v", i, response.StatusCode, response.Close, wantClose)
		}
	}
}
