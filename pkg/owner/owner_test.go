package owner

import (
	"encoding/json"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"lovagedeck/pkg/admitter"
	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/fellow"
	"lovagedeck/pkg/leaf"
	"lovagedeck/pkg/tabulator"
)

var (
	self  = tabulator.MemberID{Instance: "e1", Incarnation: 1}
	asker = tabulator.MemberID{Instance: "e9", Incarnation: 1}
)

// TestMain serves one request outside any bubble, since fasthttp then starts a goroutine that never ends.
func TestMain(m *testing.M) {
	listener := fasthttputil.NewInmemoryListener()
	server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}
	go func() { _ = server.Serve(listener) }()
	client := leaf.New("leaf", 1, leaf.WithDial(func(string, time.Duration) (net.Conn, error) { return listener.Dial() }))
	_, _ = client.Holdings()
	client.Close()
	_ = server.Shutdown()
	os.Exit(m.Run())
}

// bench is one owner of one leaf, with what both of them saw.
type bench struct {
	owner    *Owner
	machine  *tabulator.Machine
	view     *tabulator.View
	listener *fasthttputil.InmemoryListener
	server   *fasthttp.Server
	mu       sync.Mutex
	lease    bool
	received int
	cancels  int
	highest  int
	running  int
	work     time.Duration
	replies  []fellow.Reply
	release  fellow.Released
	reached  bool
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{
		machine: tabulator.NewMachine(), view: tabulator.NewView(), listener: fasthttputil.NewInmemoryListener(),
		lease: true, work: 5 * time.Millisecond,
	}
	b.server = &fasthttp.Server{Handler: b.handle, NoDefaultDate: true}
	go func() { _ = b.server.Serve(b.listener) }()
	begun := time.Now()
	b.owner = New(Config{
		Self: self, DataCentre: "d", Now: func() time.Duration { return time.Since(begun) },
		LeaseHeld: func(time.Duration) bool { b.mu.Lock(); defer b.mu.Unlock(); return b.lease },
		ReplyTo: func(_ tabulator.MemberID, _ string, reply fellow.Reply) {
			b.mu.Lock()
			b.replies = append(b.replies, reply)
			b.mu.Unlock()
		},
		AskRelease: func(tabulator.Member, uint64, assigner.LeafID) (fellow.Released, bool) {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.release, b.reached
		},
		Note: func(string, string, string) {}, Growth: admitter.AdditiveGrowth{},
		Dial: func(string, time.Duration) (net.Conn, error) { return b.listener.Dial() },
	}, metrics.NewSet())
	b.owner.Run()
	b.apply(t, tabulator.ChangeRows{ChangeID: "rows", Rows: []tabulator.RowFields{{
		Service: "s", DataCentre: "d", Weight: 1, Slots: 2, Connections: 5, DeadlineMs: 50, State: tabulator.StateIn,
	}}})
	b.apply(t, tabulator.Join{Member: tabulator.MemberFields{Instance: "e0", Incarnation: 1, DataCentre: "far"}})
	b.apply(t, tabulator.Join{Member: tabulator.MemberFields{Instance: "e1", Incarnation: 1, DataCentre: "d"}})
	b.roster(false)
	return b
}

func (b *bench) handle(ctx *fasthttp.RequestCtx) {
	var request leaf.Request
	_ = json.Unmarshal(ctx.PostBody(), &request)
	response := leaf.Response{ID: request.ID, Index: request.Index, Version: request.Version, Shard: request.Shard, Start: "1"}
	switch string(ctx.Path()) {
	case leaf.PathCancel:
		b.mu.Lock()
		b.cancels++
		b.mu.Unlock()
		return
	case leaf.PathSearch:
		b.mu.Lock()
		b.received++
		b.running++
		b.highest = max(b.highest, b.running)
		work := b.work
		b.mu.Unlock()
		time.Sleep(work)
		b.mu.Lock()
		b.running--
		b.mu.Unlock()
	}
	body, _ := json.Marshal(response)
	ctx.SetBody(body)
}

func (b *bench) apply(t *testing.T, command tabulator.Command) {
	t.Helper()
	b.machine.Apply(command)
	view, err := b.view.Apply(b.machine.Delta(b.view.Revision()))
	if err != nil {
		t.Fatal(err)
	}
	b.view = view
	b.owner.OnView(view)
}

func (b *bench) roster(leaving bool) {
	b.owner.OnRoster([]coordinator.LeafRecord{{ID: "leaf", Service: "s", DataCentre: "d", Address: "leaf", IsDraining: leaving}})
}

func (b *bench) ask(id uint64, remaining time.Duration) {
	b.owner.OnAsks(asker, "", []fellow.Ask{{ID: id, Leaf: "leaf", Service: "s", RemainingUs: remaining.Microseconds(), Caller: "c", Priority: 1}})
}

func (b *bench) outcomes() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	outcomes := map[string]int{}
	for _, reply := range b.replies {
		key := reply.Reason
		if reply.Kind == fellow.KindHit {
			key = "hit"
		}
		outcomes[key]++
	}
	return outcomes
}

// get reads a count that the leaf writes.
func (b *bench) get(count *int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return *count
}

func (b *bench) setWork(work time.Duration) {
	b.mu.Lock()
	b.work = work
	b.mu.Unlock()
}

func (b *bench) setRelease(release fellow.Released) {
	b.mu.Lock()
	b.release, b.reached = release, true
	b.mu.Unlock()
}

func (b *bench) setLease(held bool) {
	b.mu.Lock()
	b.lease = held
	b.mu.Unlock()
}

func (b *bench) close() {
	b.owner.Close()
	_ = b.server.Shutdown()
	_ = b.listener.Close()
	time.Sleep(2 * time.Minute)
}

func TestFencedOwnerSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		defer b.close()
		time.Sleep(assigner.FenceWait() - 50*time.Millisecond)
		b.ask(1, time.Second)
		time.Sleep(10 * time.Millisecond)
		if b.get(&b.received) != 0 || b.outcomes()[fellow.ReasonFenced] != 1 {
			t.Errorf("%d received, replies %v", b.get(&b.received), b.outcomes())
		}
		time.Sleep(100 * time.Millisecond)
		b.ask(2, time.Second)
		time.Sleep(time.Second)
		if b.get(&b.received) != 1 || b.outcomes()["hit"] != 1 {
			t.Errorf("after the wait: %d received, replies %v", b.get(&b.received), b.outcomes())
		}
	})
}

func TestReleaseOpensAtOnceAndCountsWhatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		defer b.close()
		b.apply(t, tabulator.Remove{Instance: "e1", Incarnation: 1, Reason: tabulator.RemovedExpired})
		b.setRelease(fellow.Released{Open: true, Running: 1, RunningUntil: time.Second, Limit: 2, Latency: 5 * time.Millisecond})
		b.apply(t, tabulator.Join{Member: tabulator.MemberFields{Instance: "e1", Incarnation: 1, DataCentre: "d", Via: "again"}})
		time.Sleep(50 * time.Millisecond)
		for id := range uint64(6) {
			b.ask(id+1, 900*time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		if b.get(&b.highest) != 1 || b.outcomes()["hit"] != 6 {
			t.Errorf("%d ran at once beside one of the former owner, replies %v", b.get(&b.highest), b.outcomes())
		}
	})
}

func TestNothingIsSent(t *testing.T) {
	tests := []struct {
		name   string
		set    func(t *testing.T, b *bench)
		reason string
	}{
		{"without a lease", func(_ *testing.T, b *bench) { b.setLease(false) }, fellow.ReasonNoLease},
		{"to a data centre that is out", func(t *testing.T, b *bench) {
			b.apply(t, tabulator.SetDataCentre{ChangeID: "out", Name: "d", State: tabulator.StateOut})
		}, fellow.ReasonTakenOut},
		{"to a leaving leaf", func(_ *testing.T, b *bench) { b.roster(true) }, fellow.ReasonTakenOut},
		{"to a leaf that is gone from the list", func(_ *testing.T, b *bench) { b.owner.OnRoster(nil) }, fellow.ReasonNotOwner},
		{"after the leaf was released", func(_ *testing.T, b *bench) {
			b.owner.Release(fellow.ReleaseQuery{From: asker, Epoch: b.view.Epoch(), Leafs: []string{"leaf"}})
		}, fellow.ReasonNotOwner},
		{"by an instance that is no member", func(t *testing.T, b *bench) {
			b.apply(t, tabulator.Remove{Instance: "e1", Incarnation: 1, Reason: tabulator.RemovedExpired})
		}, fellow.ReasonNotOwner},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				defer b.close()
				time.Sleep(2 * assigner.FenceWait())
				test.set(t, b)
				b.ask(1, time.Second)
				time.Sleep(time.Second)
				if b.get(&b.received) != 0 || b.outcomes()[test.reason] != 1 {
					t.Errorf("%d received, replies %v, want one %s", b.get(&b.received), b.outcomes(), test.reason)
				}
			})
		})
	}
}

func TestQueuedRequestsMeetTheLeaseWhenTheyAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		defer b.close()
		b.setWork(200 * time.Millisecond)
		time.Sleep(2 * assigner.FenceWait())
		b.ask(1, 5*time.Second)
		b.ask(2, 5*time.Second)
		time.Sleep(50 * time.Millisecond)
		b.setLease(false)
		time.Sleep(10 * time.Second)
		if got := b.outcomes(); b.get(&b.received) != 1 || got["hit"] != 1 || got[fellow.ReasonNoLease] != 1 {
			t.Errorf("%d received, replies %v", b.get(&b.received), got)
		}
	})
}

func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		defer b.close()
		b.setWork(100 * time.Millisecond)
		time.Sleep(2 * assigner.FenceWait())
		b.ask(1, 5*time.Second)
		b.ask(2, 5*time.Second)
		time.Sleep(10 * time.Millisecond)
		b.owner.OnCancels(asker, []uint64{1, 2, 3})
		time.Sleep(time.Second)
		if b.get(&b.received) != 1 || b.get(&b.cancels) != 1 || len(b.outcomes()) != 0 || b.owner.Busy() != 0 {
			t.Errorf("%d received, %d cancelled at the leaf, replies %v, %d busy", b.get(&b.received), b.get(&b.cancels), b.outcomes(), b.owner.Busy())
		}
	})
}

func TestReleaseHandsOverTheCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		defer b.close()
		b.setWork(100 * time.Millisecond)
		time.Sleep(2 * assigner.FenceWait())
		b.ask(1, 2*time.Second)
		time.Sleep(10 * time.Millisecond)
		query := fellow.ReleaseQuery{From: asker, Epoch: b.view.Epoch() + 1, Leafs: []string{"leaf"}}
		released := b.owner.Release(query)[0]
		if !released.Open || released.Running != 1 || released.RunningUntil < 1900*time.Millisecond {
			t.Errorf("released %+v", released)
		}
		if again := b.owner.Release(query)[0]; again.Open {
			t.Error("released twice")
		}
		time.Sleep(time.Second)
		if b.outcomes()["hit"] != 1 {
			t.Errorf("what was running got replies %v", b.outcomes())
		}
	})
}
