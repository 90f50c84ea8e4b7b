package gatekeeper

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lovagedeck/pkg/aggregator"
	"lovagedeck/pkg/emulator"
	"lovagedeck/pkg/router"
)

// cutServing cuts the instance that serves a relayed request off from the leafs, and breaks its connections once it has noticed.
func (g *gathererCluster) cutServing(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(800 * time.Millisecond)
	for i := 1; ; i = 3 - i {
		if time.Now().After(deadline) {
			t.Error("no instance serves the request or notices that it is cut off")
			return
		}
		if g.gates[i].relayed.count() == 0 || g.runs() == 0 {
			time.Sleep(time.Millisecond)
			continue
		}
		g.links[i].Cut(emulator.LinkHangs)
		for g.gates[i].TakesWork() && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		g.links[i].Cut(emulator.LinkResets)
		return
	}
}

// The instance that serves a relayed request is cut off, and its connection to the leaf breaks afterwards. A leaf has run the request.
func TestRelayedRequestWhoseAnswerIsCutRunsOnce(t *testing.T) {
	g := newCluster(t, relayInstances, "s00")
	g.configure(t, cardRoute(false))
	g.callAll(http.MethodPost, 300*time.Millisecond)
	g.links[0].Cut(emulator.LinkHangs)
	g.callAll(http.MethodPost, noticeTime)
	for _, leaf := range g.leafs {
		leaf.setHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		leaf.runs.Store(0)
	}
	go g.cutServing(t)
	response, _ := g.request(http.MethodPost, "/p/x", nil)
	if runs := g.runs(); response == nil || response.StatusCode != http.StatusBadGateway || runs != 1 {
		t.Errorf("got %v after %d runs, want status 502 after 1", response, runs)
	}
}

// The instance that serves a relayed request reports the attempts that leafs have run, also if it could not tell the end of the
// connection from a failure of the leaf.
func TestAttemptsWhoseAnswerWasCutCount(t *testing.T) {
	tests := []struct {
		name   string
		fields router.RouteFields
	}{{"plain", cardRoute(true)}, {"plain, not idempotent", cardRoute(false)}, {"query", sweepRoute([]string{"s00"})}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := newCluster(t, relayInstances, "s00")
			for _, leaf := range g.leafs {
				leaf.setHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			}
			g.configure(t, test.fields)
			fields := test.fields
			fields.Timeout = time.Second
			go g.cutServing(t)
			reply := g.gates[1].ServeRelayed(aggregator.RelayQuery{
				ID: 1, From: "entry-1", Request: "r-1", Head: []byte("GET /p/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r-1\r\n"),
				Route: fields, CallerLeft: time.Second,
			})
			if runs := g.runs(); !reply.IsCutOff || int64(reply.UsedAttempts) < max(1, runs) {
				t.Errorf("got %+v after %d runs, want cut off with that many attempts", reply, runs)
			}
		})
	}
}

const (
	// cutHead and cutBody are an answer of a leaf that is cut in the tests. No caller may get it as a success.
	cutHead = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nProof: proof-of-cut\r\nContent-Type: text/plain\r\n"
	cutBody = "cutcutcutcutcutc"
	// soundBody is the body of the other answers.
	soundBody = "0123456789abcdef"
)

// cutAnswers are answers of leafs, and how many of their bytes may be sent without making them whole.
var cutAnswers = []struct {
	name   string
	answer string
	// most is the number of bytes from which on an answer cut by a close looks whole.
	most int
	// mostReset is the same for a reset.
	mostReset int
	isToHead  bool
}{
	{"Content-Length", cutHead + "Content-Length: 16\r\n\r\n" + cutBody, 0, 0, false},
	{"chunked", cutHead + "Transfer-Encoding: chunked\r\n\r\n10\r\n" + cutBody + "\r\n0\r\n", 0, 0, false},
	{"until the close", cutHead + "\r\n" + cutBody, len(cutHead) + len("\r\n"), 0, false},
	{"HEAD", cutHead + "Content-Length: 16\r\n\r\n", 0, 0, true},
}

// cutConnection writes the beginning of an answer, and closes or resets the connection, or holds it until the instance closes it.
func cutConnection(t testing.TB, w http.ResponseWriter, beginning, end string) {
	t.Helper()
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		t.Errorf("take over the connection: %v", err)
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, beginning)
	switch end {
	case "reset":
		// The bytes before a reset must have a chance to be read.
		time.Sleep(time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	case "silence":
		_, _ = conn.Read(make([]byte, 1))
	}
}

// cutFirst lets the leafs of each service cut their next answer, and answer further requests.
func (tier *testTier) cutFirst(beginning, end string) {
	isCut := map[string]*atomic.Bool{}
	for _, leaf := range tier.leafs {
		if isCut[leaf.service] == nil {
			isCut[leaf.service] = &atomic.Bool{}
		}
		first := isCut[leaf.service]
		leaf.runs.Store(0)
		leaf.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			if !first.Swap(true) {
				cutConnection(tier.t, w, beginning, end)
				return
			}
			_, _ = io.WriteString(w, soundBody)
		})
	}
}

// newCutTier returns a tier with two leafs for each service and a retry budget for many cut answers.
func newCutTier(t *testing.T, fields router.RouteFields, services ...string) *testTier {
	t.Helper()
	config := testConfig()
	config.Budget.Slack = 10_000
	tier := serveTier(t, New(config))
	for _, name := range services {
		for k := range 2 {
			tier.leafs = append(tier.leafs, newTestLeaf(t, fmt.Sprintf("%s-%d", name, k), name))
		}
	}
	tier.publishRoster()
	tier.setRoute(fields)
	return tier
}

// callerRequests are the kinds of requests that callers send, each with its route.
var callerRequests = []struct {
	name   string
	method string
	fields router.RouteFields
}{
	{"GET", http.MethodGet, cardRoute(true)},
	{"HEAD", http.MethodHead, cardRoute(true)},
	{"POST", http.MethodPost, cardRoute(true)},
	{"POST, not idempotent", http.MethodPost, cardRoute(false)},
	{"GET, not idempotent", http.MethodGet, cardRoute(false)},
	{"query", http.MethodPost, sweepRoute([]string{"s00", "s01"})},
}

// Operators saw leafs stop in the middle of the head of an answer and close. The callers got a status 200 with an empty or short
// body. The answer of such a leaf must not reach a caller: another leaf answers, unless the request must not run twice.
func TestCutAnswersDoNotReachCallers(t *testing.T) {
	for _, test := range callerRequests {
		for _, end := range []string{"close", "reset"} {
			t.Run(test.name+", "+end, func(t *testing.T) {
				t.Parallel()
				tier := newCutTier(t, test.fields, "s00", "s01")
				for _, c := range cutAnswers {
					if c.isToHead != (test.method == http.MethodHead) {
						continue
					}
					most := c.most
					if most == 0 || end == "reset" {
						most = len(c.answer)
					}
					for cut := range most {
						tier.cutFirst(c.answer[:cut], end)
						tier.checkCutRequest(test.method, test.fields, fmt.Sprintf("%s, cut at %d", c.name, cut))
					}
				}
			})
		}
	}
}

func (tier *testTier) checkCutRequest(method string, fields router.RouteFields, what string) {
	tier.t.Helper()
	response, body := tier.request(method, "/p/x", nil)
	if response == nil {
		tier.t.Fatalf("%s: got no response", what)
	}
	proof := response.Header.Get("Proof") + response.Header.Get("Proofs")
	if !fields.Idempotent {
		if runs := tier.runs(); response.StatusCode != http.StatusBadGateway || proof != "" || runs != 1 {
			tier.t.Errorf("%s: got status %d with proof %q after %d runs, want 502 without one after 1 run", what, response.StatusCode, proof, runs)
		}
		return
	}
	want := soundBody
	switch {
	case method == http.MethodHead:
		want = ""
	case len(fields.Shards) > 1:
		want += soundBody
	}
	if response.StatusCode != http.StatusOK || string(body) != want || proof == "" || strings.Contains(proof, "cut") {
		tier.t.Errorf("%s: got status %d, body %q and proof %q, want 200 from another leaf", what, response.StatusCode, body, proof)
	}
}

// A leaf stops in the middle of an answer and keeps the connection open.
func TestAnswersThatStopDoNotReachCallers(t *testing.T) {
	answer := cutAnswers[0].answer
	for _, cut := range []int{0, len("HTTP/1.1 200 OK\r\n"), len(cutHead), len(answer) - len(cutBody), len(answer) - 1} {
		for _, isIdempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("after %d bytes, idempotent %v", cut, isIdempotent), func(t *testing.T) {
				t.Parallel()
				fields := cardRoute(isIdempotent)
				fields.Objective, fields.Timeout = 100*time.Millisecond, 300*time.Millisecond
				tier := newCutTier(t, fields, "s00")
				tier.cutFirst(answer[:cut], "silence")
				response, body := tier.request(http.MethodPost, "/p/x", nil)
				status, want := http.StatusOK, soundBody
				if !isIdempotent {
					status, want = http.StatusGatewayTimeout, "no answer in time\n"
				}
				if response == nil || response.StatusCode != status || string(body) != want || !isIdempotent && (tier.runs() != 1 || response.Header.Get("Proof") != "") {
					t.Errorf("got %v with body %q after %d runs, want status %d", response, body, tier.runs(), status)
				}
			})
		}
	}
}

// A success without the proof of the leaf is not known to be the answer of the leaf.
func TestSuccessWithoutProofDoesNotReachCallers(t *testing.T) {
	for _, isIdempotent := range []bool{true, false} {
		for _, status := range []int{http.StatusOK, http.StatusNoContent} {
			fields := cardRoute(isIdempotent)
			tier := newCutTier(t, fields, "s00")
			var isFirst atomic.Bool
			for _, leaf := range tier.leafs {
				leaf.setHandler(func(w http.ResponseWriter, _ *http.Request) {
					if !isFirst.Swap(true) {
						w.Header().Del("Proof")
						w.WriteHeader(status)
						return
					}
					_, _ = io.WriteString(w, soundBody)
				})
			}
			tier.checkCutRequest(http.MethodPost, fields, fmt.Sprint("status ", status, " without proof, idempotent ", isIdempotent))
		}
	}
}

// cutConn is a connection to a caller that breaks after a number of bytes have been sent.
type cutConn struct {
	net.Conn
	left int
}

func (c *cutConn) Write(data []byte) (int, error) {
	if len(data) <= c.left {
		c.left -= len(data)
		return c.Conn.Write(data)
	}
	_, _ = c.Conn.Write(data[:c.left])
	c.left = 0
	_ = c.Close()
	return 0, net.ErrClosed
}

// cutListener breaks the connections that it accepts after the given number of bytes.
type cutListener struct {
	net.Listener
	left *atomic.Int64
}

func (l cutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: conn, left: int(l.left.Load())}, nil
}

// The connection to the caller breaks while the instance writes a response. The caller must be able to tell.
func TestCutResponseDoesNotLookComplete(t *testing.T) {
	for _, fields := range []router.RouteFields{cardRoute(true), sweepRoute([]string{"s00", "s01"})} {
		tier := newCutTier(t, fields, "s00", "s01")
		listener := listen(t)
		for _, leaf := range tier.leafs {
			leaf.setHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat(soundBody, 20)) })
		}
		var left atomic.Int64
		go func() { _ = tier.gate.Serve(cutListener{Listener: listener, left: &left}) }()
		const enough = 1 << 20
		whole := callCut(t, listener.Addr().String(), &left, enough)
		if !isCompleteResponse(whole) {
			t.Fatalf("%s: got %q, want a complete response", fields.Name, whole)
		}
		for cut := range len(whole) {
			if raw := callCut(t, listener.Addr().String(), &left, cut); len(raw) != cut || isCompleteResponse(raw) {
				t.Errorf("%s, cut at %d of %d: got %d bytes, want an incomplete response", fields.Name, cut, len(whole), len(raw))
			}
		}
	}
}

// callCut sends a request over a connection that breaks after the given number of bytes, and returns what arrives.
func callCut(t *testing.T, address string, left *atomic.Int64, cut int) []byte {
	t.Helper()
	left.Store(int64(cut))
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "POST /p/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r-1\r\nTime-Left-Ms: 1000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	raw, _ := io.ReadAll(conn)
	return raw
}

func isCompleteResponse(raw []byte) bool {
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	return err == nil
}

// The answers of leafs are cut on their way to an instance that serves requests of another instance's callers, or gathers shards for it.
func TestCutAnswersDoNotReachOtherInstances(t *testing.T) {
	// cutStep is the distance between the bytes after which answers are cut here. TestCutAnswersDoNotReachCallers cuts at each.
	const cutStep = 9
	shards := shardNames(6)
	t.Run("relayed", func(t *testing.T) {
		t.Parallel()
		g := newCluster(t, relayInstances, "s00")
		for _, isIdempotent := range []bool{true, false} {
			fields := cardRoute(isIdempotent)
			fields.Timeout = time.Second
			g.configure(t, fields)
			for cut := 0; cut < len(cutAnswers[0].answer); cut += cutStep {
				g.cutFirst(cutAnswers[0].answer[:cut], "close")
				g.checkRelayed(t, fields, uint64(cut+1), fmt.Sprint("cut at ", cut))
			}
		}
	})
	t.Run("gathered", func(t *testing.T) {
		t.Parallel()
		g := newGathererCluster(t, shards...)
		g.configure(t, sweepRoute(shards))
		for cut := 0; cut < len(cutAnswers[0].answer); cut += cutStep {
			g.cutFirst(cutAnswers[0].answer[:cut], "close")
			g.checkGathered(t, shards, fmt.Sprint("cut at ", cut))
		}
		if g.slicesGathered() == 0 {
			t.Error("no shards were gathered by other instances")
		}
	})
}
