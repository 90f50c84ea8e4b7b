package steward

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/gatekeeper"
	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/placer"
	"lovagedeck/pkg/router"
)

// leavingLeaf is the only leaf of a service. It states that it is leaving, and may start again under its identifier and at its address.
type leavingLeaf struct {
	server *httptest.Server
	mu     sync.Mutex
	// isLeaving and isListedLeaving are set while its responses and the list show that it is leaving.
	isLeaving       bool
	isListedLeaving bool
	leavingSince    time.Time
	// arrivals holds the times of the requests since it began to leave.
	arrivals []time.Time
}

func newLeavingLeaf(t *testing.T) *leavingLeaf {
	t.Helper()
	leaf := &leavingLeaf{}
	leaf.server = httptest.NewServer(http.HandlerFunc(leaf.serve))
	t.Cleanup(leaf.server.Close)
	return leaf
}

func (l *leavingLeaf) serve(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isLeaving {
		w.Header().Set("Leaving", "1")
		l.arrivals = append(l.arrivals, time.Now())
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Proof", "p")
	_, _ = w.Write([]byte("whole"))
}

func (l *leavingLeaf) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isLeaving, l.leavingSince = true, time.Now()
}

func (l *leavingLeaf) restart() {
	l.mu.Lock()
	l.isLeaving = false
	l.mu.Unlock()
	l.server.CloseClientConnections()
}

func (l *leavingLeaf) setListed(isLeaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isListedLeaving = isLeaving
}

// countAfter returns the number of requests that arrived later than the delay after the leaf began to leave.
func (l *leavingLeaf) countAfter(delay time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, at := range l.arrivals {
		if at.Sub(l.leavingSince) > delay {
			count++
		}
	}
	return count
}

func (l *leavingLeaf) list(string) (lister.Listing, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	leaf := lister.RosterLeaf{ID: "leaf-1", Service: "s", DataCentre: "a", Address: l.server.Listener.Addr().String(), Slots: 2, Leaving: l.isListedLeaving}
	return lister.Listing{Leafs: []lister.RosterLeaf{leaf}, Calls: 1}, nil
}

// serveLeaf starts a cluster with one entry instance that has a route to the leaf, and returns the URL of the route.
func serveLeaf(t *testing.T, leaf *leavingLeaf) (*testCluster, string) {
	t.Helper()
	c := newTestCluster(t, 3)
	c.list = leaf.list
	c.start(0, 1, 2)
	settings := c.settings[0]
	settings.Instance, settings.GracePeriod, settings.Host = "entry-1", time.Second, "127.0.0.1"
	settings.CallerAddress = fmt.Sprintf("127.0.0.1:%d", freePort(t))
	settings.DialLeaf = func(address string, timeout time.Duration) (net.Conn, error) {
		return net.DialTimeout("tcp", address, timeout)
	}
	headers := gatekeeper.Headers{Headers: exchanger.Headers{
		RequestID: "Request-Id", RemainingTime: "Time-Left-Ms", ExpectedInstance: "Expect-Leaf", NotExecuted: "Not-Run", Proof: "Proof", Leaving: "Leaving",
	}}
	decode := func(version uint64, _ []byte) (*router.Table, error) {
		route := router.RouteFields{Name: "card", Host: settings.CallerAddress, Prefix: "/", Service: "s", Idempotent: true, MaxAttempts: 1, Timeout: time.Second, Objective: time.Second}
		return router.Build(version, []router.RouteFields{route}, []router.ServiceFields{{Name: "s", MaxConnections: 10}}, router.Limits{})
	}
	listLeafs := func(string) (lister.Listing, error) {
		if c.isListFailing.Load() {
			return lister.Listing{Calls: 1}, fmt.Errorf("the list is not available")
		}
		return leaf.list("")
	}
	entry, err := NewEntry(settings, headers, decode, listLeafs, nil, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(entry.Shutdown)
	c.putDocument(0, 1, "one")
	c.eventually("start of the entry instance", func() error {
		if !entry.IsReady() {
			return fmt.Errorf("not ready")
		}
		return nil
	})
	return c, "http://" + settings.CallerAddress + "/x"
}

// callUntil sends a request each 20 ms until the given time, and returns how many were served and the number of all.
func callUntil(t *testing.T, url string, end time.Time) (served, sent int) {
	t.Helper()
	for ; time.Now().Before(end); sent++ {
		request, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Request-Id", fmt.Sprint("r-", sent))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			served++
		}
		time.Sleep(20 * time.Millisecond)
	}
	return served, sent
}

// A leaf stated that it was leaving and started again under its identifier while the list could not be read, or before the list had shown
// it. No instance sent it a request any more, so that no response could show that it was back, and its service was refused for good.
func TestRestartedLeafGetsRequestsAgain(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// isListFailing is set if the list cannot be read from before the leaf leaves until it has started again, and isListed if the
		// list shows that it is leaving.
		isListFailing bool
		isListed      bool
	}{
		{"while the list is out of reach", true, false},
		{"before the list shows it", false, false},
		{"listed as draining", false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			leaf := newLeavingLeaf(t)
			cluster, url := serveLeaf(t, leaf)
			cluster.isListFailing.Store(c.isListFailing)
			leaf.setListed(c.isListed)
			leaf.leave()
			callUntil(t, url, time.Now().Add(2*time.Second))
			leaf.setListed(false)
			leaf.restart()
			callUntil(t, url, time.Now().Add(2*time.Second))
			cluster.isListFailing.Store(false)
			callUntil(t, url, time.Now().Add(9*time.Second))
			if served, sent := callUntil(t, url, time.Now().Add(time.Second)); served < sent {
				t.Errorf("got %d of %d requests served 11s after the leaf started again and 9s after the list was back, want all", served, sent)
			}
		})
	}
}

// A leaf that goes on serving while it leaves must get nothing, whether the list shows that it is leaving or cannot be read.
func TestLeavingLeafGetsNothingUntilItRestarts(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name          string
		isListFailing bool
		// listedAfter is when the list begins to show that the leaf is leaving.
		listedAfter time.Duration
	}{
		{"the leaf states it some seconds before the list", false, 5 * time.Second},
		{"the list is out of reach for a while", true, 5 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			leaf := newLeavingLeaf(t)
			cluster, url := serveLeaf(t, leaf)
			cluster.isListFailing.Store(c.isListFailing)
			leaf.leave()
			time.AfterFunc(c.listedAfter, func() { leaf.setListed(true) })
			callUntil(t, url, time.Now().Add(4*time.Second))
			cluster.isListFailing.Store(false)
			callUntil(t, url, time.Now().Add(8*time.Second))
			// The first response states that the leaf is leaving.
			const margin = 250 * time.Millisecond
			if count := leaf.countAfter(placer.DrainingGrace + margin); count > 0 {
				t.Errorf("got %d requests at the leaf later than %v after it began to leave, want none", count, placer.DrainingGrace+margin)
			}
		})
	}
}
