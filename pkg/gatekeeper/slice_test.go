package gatekeeper

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"lovagedeck/pkg/aggregator"
	"lovagedeck/pkg/hedger"
	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/router"
	"lovagedeck/pkg/spreader"
	"lovagedeck/pkg/tabulator"
)

// gatherers is a data centre of instances that gather shards for the first of them, which callers ask.
type gatherers struct {
	*testTier
	gates []*Gatekeeper
	links map[string]*linker.Server
	// hold lets an instance keep every call for a time.
	holds []*holdable
}

// holdable stands between an instance and its gatekeeper.
type holdable struct {
	*Gatekeeper
	hold atomic.Pointer[chan bool]
	// forgets lets it know none of its slices when it is asked for more.
	forgets atomic.Bool
}

func (h *holdable) GatherSlice(query aggregator.SliceQuery) aggregator.Report {
	if hold := h.hold.Load(); hold != nil {
		<-*hold
	}
	return h.Gatekeeper.GatherSlice(query)
}

func (h *holdable) MoreOfSlice(id aggregator.SliceID) aggregator.Report {
	if h.forgets.Load() {
		id = aggregator.SliceID{From: "nobody"}
	}
	return h.Gatekeeper.MoreOfSlice(id)
}

const testInstances = 8

func newGatherers(t *testing.T, services ...string) *gatherers {
	t.Helper()
	g := &gatherers{links: map[string]*linker.Server{}}
	machine := tabulator.NewMachine()
	for i := range testInstances {
		machine.Apply(tabulator.Join{Member: g.start(t, fmt.Sprintf("entry-%d", i+1))})
	}
	view, err := tabulator.NewView().Apply(machine.Delta(0))
	if err != nil {
		t.Fatal(err)
	}
	for _, gate := range g.gates {
		gate.SetView(view)
	}
	for _, name := range services {
		for k := range 2 {
			g.leafs = append(g.leafs, newTestLeaf(t, fmt.Sprintf("%s-%d", name, k), name))
		}
	}
	return g
}

// start runs one instance; the first one takes the place of the tier's.
func (g *gatherers) start(t *testing.T, name string) tabulator.MemberFields {
	l := linker.New(linker.NewSecret("c", nil))
	config := testConfig()
	config.Instance, config.Random, config.Peers = name, rand.New(rand.NewPCG(1, uint64(len(g.gates)))), aggregator.NewPeers(l, config.Now, logr.Discard())
	config.Budget = hedger.SharedBound{Ratio: 0.2, Slack: 500, Window: 10 * time.Second}
	gate := New(config)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &holdable{Gatekeeper: gate}
	links, err := l.Serve(listener, map[string]any{"Aggregator": aggregator.NewService(held)})
	if err != nil {
		t.Fatal(err)
	}
	config.Peers.Run()
	t.Cleanup(func() {
		config.Peers.Close()
		links.Close()
	})
	if len(g.gates) == 0 {
		g.testTier = serveTier(t, gate)
	}
	g.gates, g.holds, g.links[name] = append(g.gates, gate), append(g.holds, held), links
	return tabulator.MemberFields{Instance: name, Incarnation: 1, DataCentre: "a", FellowAddress: listener.Addr().String()}
}

// open puts the routes and the list in force everywhere, and waits for the connections between the instances.
func (g *gatherers) open(t *testing.T, fields router.RouteFields) {
	t.Helper()
	first := g.gate
	for _, gate := range g.gates {
		g.gate = gate
		g.list()
		g.route(fields)
	}
	g.gate = first
	deadline := time.Now().Add(5 * time.Second)
	for !g.connected(fields.Shards) {
		if time.Now().After(deadline) {
			t.Fatal("the instances are not connected")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// connected tells whether the first instance can hand a slice to each instance that gathers some shard.
func (g *gatherers) connected(shards []string) bool {
	for _, shard := range shards {
		for _, instance := range g.gate.fleet.slicing.plan.Gatherers(shard) {
			if instance != "entry-1" && !g.gate.fleet.peers.Usable(instance) {
				return false
			}
		}
	}
	return true
}

// handsOver tells whether the first instance has shards that others gather.
func (g *gatherers) handsOver(shards []string) bool { return len(g.gate.fleet.gatherersOf(shards)) > 0 }

func shardNames(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("s%02d", i))
	}
	return names
}

func sweep(shards []string) router.RouteFields {
	return router.RouteFields{
		Name: "sweep", Shards: shards, MaxAttempts: 2, Idempotent: true, Objective: 300 * time.Millisecond, TopRecords: 3, MinCoverage: 0.9,
	}
}

// greatest makes each leaf answer with a record that names its service.
func (g *gatherers) greatest() {
	for _, leaf := range g.leafs {
		record := bytes.Repeat([]byte(leaf.service[len(leaf.service)-2:]), 8)
		leaf.set(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(record) })
	}
}

func TestShardsAreGatheredByOtherInstances(t *testing.T) {
	shards := shardNames(40)
	g := newGatherers(t, shards...)
	g.greatest()
	g.open(t, sweep(shards))
	if !g.handsOver(shards) {
		t.Fatal("the first instance gathers everything itself")
	}
	for range 5 {
		response, body := g.ask(http.MethodGet, "/p/x", nil)
		if response == nil || response.StatusCode != http.StatusOK || response.Header.Get("Missing-Parts") != "0" {
			t.Fatalf("got %v", response)
		}
		if proofs := strings.Split(response.Header.Get("Proofs"), ", "); len(proofs) != len(shards) {
			t.Errorf("%d proofs of %d shards", len(proofs), len(shards))
		}
		if want := strings.Repeat("39", 8) + strings.Repeat("38", 8) + strings.Repeat("37", 8); string(body) != want {
			t.Errorf("body %q, want %q", body, want)
		}
	}
	if g.sliced() == 0 {
		t.Error("no other instance gathered a slice")
	}
	if runs := g.runs(); runs != int64(5*len(shards)) {
		t.Errorf("leafs ran %d requests, want one for each shard and query, %d", runs, 5*len(shards))
	}
}

// sliced returns how many slices all instances gathered.
func (g *gatherers) sliced() uint64 {
	total := uint64(0)
	for _, gate := range g.gates {
		total += gate.counters.slices.Get()
	}
	return total
}

// An instance that gathers shards is gone, or takes no slices: the query asks the leafs itself, within its own time.
func TestQueriesOutliveTheInstancesThatGather(t *testing.T) {
	cases := []struct {
		name string
		lose func(g *gatherers)
		// again is how many requests may reach the leafs beyond one for each shard.
		again int64
	}{
		{"their connections are closed", func(g *gatherers) {
			for name, links := range g.links {
				if name != "entry-1" {
					links.Close()
				}
			}
		}, 0},
		{"they are silent", func(g *gatherers) {
			for _, held := range g.holds {
				hold := make(chan bool)
				held.hold.Store(&hold)
			}
		}, 0},
		{"they are stopping", func(g *gatherers) {
			for _, gate := range g.gates[1:] {
				gate.Drain()
			}
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			shards := shardNames(40)
			g := newGatherers(t, shards...)
			g.greatest()
			g.open(t, sweep(shards))
			c.lose(g)
			defer func() {
				for _, held := range g.holds {
					if hold := held.hold.Load(); hold != nil {
						close(*hold)
					}
				}
			}()
			begun := time.Now()
			response, _ := g.ask(http.MethodGet, "/p/x", nil)
			if response == nil || response.StatusCode != http.StatusOK || response.Header.Get("Missing-Parts") != "0" {
				t.Fatalf("got %v after %v", response, time.Since(begun))
			}
			if runs := g.runs(); runs > int64(len(shards))+c.again {
				t.Errorf("leafs ran %d requests for %d shards", runs, len(shards))
			}
		})
	}
}

// A slice is late to report, and the query asks the leafs itself: however late the other instance goes on, a request runs on no
// more leafs of a shard than its route allows.
func TestASliceThatWasTakenBackHedgesNothing(t *testing.T) {
	shards := shardNames(40)
	g := newGatherers(t, shards...)
	g.greatest()
	for i, leaf := range g.leafs {
		// Fewer shards are late than make a crowd.
		if i/2%5 == 0 {
			leaf.set(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		}
	}
	g.open(t, sweep(shards))
	// The first instance expects reports sooner than the others hedge.
	g.gate.fleet.mu.Lock()
	g.gate.fleet.kindOf(router.NewRoute(withPath(sweep(shards)))).report = hedger.NewQuantileAt(reportQuantile, time.Microsecond)
	g.gate.fleet.mu.Unlock()
	_, _ = g.ask(http.MethodGet, "/p/x", nil)
	perShard := map[string]int64{}
	for _, leaf := range g.leafs {
		perShard[leaf.service] += leaf.runs.Load()
	}
	for service, runs := range perShard {
		if runs > 2 {
			t.Errorf("the request ran on %d leafs of %s, its route allows 2", runs, service)
		}
	}
	if g.gate.counters.slicesLost.Get() == 0 {
		t.Error("no slice was taken back")
	}
}

// The instance that gathers has ended a slice by the time it is asked for more: its shards have run, and are not asked as if they
// had not.
func TestASliceThatIsNoLongerKnownHasRun(t *testing.T) {
	shards := shardNames(40)
	g := newGatherers(t, shards...)
	g.greatest()
	for i, leaf := range g.leafs {
		if i/2%5 == 0 {
			leaf.set(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		}
	}
	g.open(t, sweep(shards))
	for _, held := range g.holds {
		held.forgets.Store(true)
	}
	begun := time.Now()
	response, _ := g.ask(http.MethodGet, "/p/x", nil)
	if response == nil || response.StatusCode != http.StatusBadGateway && response.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("got %v after %v, want a failure: too few shards have a part", response, time.Since(begun))
	}
	perShard := map[string]int64{}
	for _, leaf := range g.leafs {
		perShard[leaf.service] += leaf.runs.Load()
	}
	for service, runs := range perShard {
		if runs > 2 {
			t.Errorf("the request ran on %d leafs of %s, its route allows 2", runs, service)
		}
	}
	if report := g.gate.MoreOfSlice(aggregator.SliceID{ID: 99, From: "nobody"}); report.NotRun != "" {
		t.Errorf("a slice that is no longer known is said not to have run: %s", report.NotRun)
	}
}

func withPath(fields router.RouteFields) router.RouteFields {
	fields.Host, fields.Prefix = "h.example", "/p/"
	return fields
}

// The caller leaves while other instances gather: their leafs stop work.
func TestCallersWhoLeaveEndSlices(t *testing.T) {
	shards := shardNames(40)
	g := newGatherers(t, shards...)
	for _, leaf := range g.leafs {
		leaf.set(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	}
	g.open(t, sweep(shards))
	conn, err := net.Dial("tcp", g.address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprint(conn, "GET /p/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r-9\r\nTime-Left-Ms: 2000\r\n\r\n")
	for g.runs() < int64(len(shards)) {
		time.Sleep(time.Millisecond)
	}
	_ = conn.Close()
	// Sooner than a slice ends that nobody waits for.
	deadline := time.Now().Add(abandonTime)
	for {
		left := int64(0)
		for _, leaf := range g.leafs {
			left += leaf.left.Load()
		}
		if left >= g.runs() {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d leafs still work after the caller left", g.runs()-left, g.runs())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// A data centre is cut off: one instance finds its gatherers silent and tells the others, whose queries then go without them;
// one that finds most of its gatherers silent keeps quiet.
func TestSilentInstancesAreToldToTheOthers(t *testing.T) {
	shards := shardNames(40)
	g := newGatherers(t, shards...)
	g.greatest()
	told := make(chan spreader.Observation, 64)
	g.gate.fleet.tell = func(observation spreader.Observation) { told <- observation }
	g.open(t, sweep(shards))
	var lost string
	for instance := range g.gate.fleet.gatherersOf(shards) {
		lost = instance
	}
	g.links[lost].Close()
	if response, _ := g.ask(http.MethodGet, "/p/x", nil); response == nil || response.StatusCode != http.StatusOK {
		t.Fatalf("got %v", response)
	}
	var observation spreader.Observation
	select {
	case observation = <-told:
	case <-time.After(time.Second):
		t.Fatal("the others were not told")
	}
	other := g.gates[1]
	if lost == "entry-2" {
		other = g.gates[2]
	}
	other.TakeObservations([]spreader.Observation{observation, {Leaf: instancePrefix + "nobody", IsGone: true, SeenAt: other.config.Now()}})
	for instance := range other.fleet.gatherersOf(shards) {
		if instance == lost {
			t.Errorf("%s still gets slices of an instance that was told of its silence", lost)
		}
	}
}

// With many requests at each instance slices would be more than a gatherer bears: each instance asks the leafs itself.
func TestBusyInstancesAskTheLeafsThemselves(t *testing.T) {
	shards := shardNames(40)
	g := newGatherers(t, shards...)
	g.greatest()
	g.open(t, sweep(shards))
	window := int(g.gate.config.Budget.Window.Seconds())
	for _, step := range []struct {
		perInstance int
		handed      bool
	}{{1, true}, {232, false}, {1, true}} {
		g.gate.SetAllRequests(step.perInstance * testInstances * window)
		before := g.sliced()
		if response, _ := g.ask(http.MethodGet, "/p/x", nil); response == nil || response.StatusCode != http.StatusOK {
			t.Fatalf("got %v", response)
		}
		if handed := g.sliced() > before; handed != step.handed {
			t.Errorf("%d requests a second at each instance: handed over %v, want %v", step.perInstance, handed, step.handed)
		}
	}
}

// The instance that asked for a slice is gone without a word: the work for it ends at the leafs.
func TestASliceThatNobodyWaitsForEnds(t *testing.T) {
	g := newGatherers(t, "s00")
	for _, leaf := range g.leafs {
		leaf.set(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	}
	g.open(t, sweep([]string{"s00"}))
	report := g.gate.GatherSlice(aggregator.SliceQuery{
		ID: 1, From: "entry-9", Request: "r-1", Head: []byte("GET /p/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r-1\r\n"), Services: []string{"s00"},
		Attempts: 2, Records: 3, MinParts: 1, Objective: 100 * time.Millisecond, Due: 50 * time.Millisecond, LateUntil: 5 * time.Second,
		GiveUp: 5 * time.Second, CallerLeft: 5 * time.Second,
	})
	if report.Final || g.runs() != 1 {
		t.Fatalf("report %+v after %d runs, want a first one after one run", report, g.runs())
	}
	deadline := time.Now().Add(abandonTime + 2*reportPause + 300*time.Millisecond)
	for g.leafs[0].left.Load()+g.leafs[1].left.Load() == 0 {
		if time.Now().After(deadline) {
			t.Fatal("the leaf still works")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if g.runs() != 1 {
		t.Errorf("%d requests ran for a slice whose second ones were not granted", g.runs())
	}
}

// A message that names shards or times that make no sense costs that slice only.
func TestSlicesThatMakeNoSenseAreRefused(t *testing.T) {
	g := newGatherers(t, "s00")
	g.open(t, sweep([]string{"s00"}))
	good := aggregator.SliceQuery{
		ID: 1, From: "entry-9", Request: "r-1", Head: []byte("GET / HTTP/1.1\r\n"), Services: []string{"s00"}, Attempts: 2, Records: 3,
		MinParts: 1, Objective: time.Second, Due: time.Second, LateUntil: time.Second, GiveUp: time.Second, CallerLeft: time.Second,
	}
	cases := []struct {
		name   string
		change func(q *aggregator.SliceQuery)
	}{
		{"no shards", func(q *aggregator.SliceQuery) { q.Services = nil }},
		{"no request", func(q *aggregator.SliceQuery) { q.Request = "" }},
		{"its time is over", func(q *aggregator.SliceQuery) { q.GiveUp = -time.Second }},
		{"the caller is gone", func(q *aggregator.SliceQuery) { q.CallerLeft = 0 }},
	}
	for _, c := range cases {
		query := good
		c.change(&query)
		if report := g.gate.GatherSlice(query); report.NotRun == "" {
			t.Errorf("%s: taken", c.name)
		}
	}
	g.gate.config.Stale = func() bool { return true }
	if report := g.gate.GatherSlice(good); report.NotRun == "" {
		t.Error("a slice that waited while the process was paused: taken")
	}
	g.gate.config.Stale = nil
	negative := good
	negative.Records, negative.Attempts, negative.MinParts = -5, -1, -7
	if report := g.gate.GatherSlice(negative); len(report.Records) != 0 {
		t.Errorf("records %q of a slice that wants fewer than none", report.Records)
	}
	if report := g.gate.MoreOfSlice(aggregator.SliceID{ID: 99, From: "nobody"}); !report.Final {
		t.Error("more of a slice that is not known")
	}
}
