// An emulated leaf enforces what a real one would suffer from: slots,
// connections, cold starts and versions. Each breach is counted.

package emulator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lovagedeck/pkg/leaf"
)

const (
	coldCapacity      = 2
	coldAnswers       = 40
	coldFactor        = 4
	fallRecovery      = 400 * time.Millisecond
	evidenceTolerance = 15 * time.Millisecond
	spawnRate         = 8
)

type (
	// LeafSpec describes an emulated leaf.
	LeafSpec struct {
		ID          string
		Index       string
		Service     string
		DataCentre  string
		Shard       int
		Shards      int
		Slots       int
		Connections int
		SetUp       time.Duration
		Work        time.Duration
		Distance    time.Duration
		// Pace multiplies the times that the leaf itself keeps; 0 counts as 1.
		Pace float64
	}

	// Leaf is one emulated leaf.
	Leaf struct {
		spec     LeafSpec
		fleet    *Fleet
		random   *rand.Rand
		mu       sync.Mutex
		listener *countingListener
		server   *fasthttp.Server
		address  string
		start    int
		running  map[string]chan struct{}
		effects  map[string]int
		versions []leaf.Holding
		cold     int
		coldSeen time.Time
		coldAt   time.Time
		fallen   time.Time
		slow     float64
		down     bool
		leaving  bool
	}
)

func newLeaf(spec LeafSpec, fleet *Fleet, seed uint64) *Leaf {
	return &Leaf{
		spec: spec, fleet: fleet, random: rand.New(rand.NewPCG(seed, 7)), running: map[string]chan struct{}{},
		effects: map[string]int{}, slow: 1, start: 1,
	}
}

func (s LeafSpec) pace() float64 {
	if s.Pace == 0 {
		return 1
	}
	return s.Pace
}

// Spec returns the description of the leaf.
func (l *Leaf) Spec() LeafSpec { return l.spec }

// Address returns where the leaf listens.
func (l *Leaf) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// SetSlow multiplies the work time of the leaf.
func (l *Leaf) SetSlow(factor float64) {
	l.mu.Lock()
	l.slow = factor
	l.mu.Unlock()
}

// SetVersions replaces what the leaf holds.
func (l *Leaf) SetVersions(holdings []leaf.Holding) {
	l.mu.Lock()
	l.versions = holdings
	l.mu.Unlock()
}

// holdingsOf returns what the leaf holds of one version.
func (l *Leaf) holdingsOf(version uint64) []leaf.Holding {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, held := range l.versions {
		if held.Version == version {
			return []leaf.Holding{held}
		}
	}
	return nil
}

// SetLeaving makes the leaf announce that it is shutting down.
func (l *Leaf) SetLeaving(leaving bool) {
	l.mu.Lock()
	l.leaving = leaving
	l.mu.Unlock()
}

// TurnCold makes the leaf cold without a restart.
func (l *Leaf) TurnCold() {
	l.mu.Lock()
	l.turnCold()
	l.mu.Unlock()
}

// Stop cuts all connections and refuses new ones.
func (l *Leaf) Stop() {
	l.mu.Lock()
	listener := l.listener
	l.down = true
	l.start++
	for id, cancel := range l.running {
		close(cancel)
		delete(l.running, id)
	}
	l.mu.Unlock()
	if listener != nil {
		listener.closeAll()
	}
}

// Restart brings a stopped leaf back cold at the same address.
func (l *Leaf) Restart() error {
	l.Stop()
	l.mu.Lock()
	l.down = false
	l.turnCold()
	address := l.address
	l.mu.Unlock()
	return l.listen(address)
}

func (l *Leaf) listen(address string) error {
	raw, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "emulate leaf %s", l.spec.ID)
	}
	listener := newCountingListener(raw, l.spec.Connections, l.spec.SetUp, func() { l.fleet.breach(BreachConnections, l.spec.ID) })
	server := &fasthttp.Server{Handler: l.handle, NoDefaultServerHeader: true, NoDefaultDate: true, Concurrency: 1 << 16}
	l.mu.Lock()
	l.listener = listener
	l.server = server
	l.address = raw.Addr().String()
	l.mu.Unlock()
	l.fleet.group.Go(func() { _ = server.Serve(listener) })
	return nil
}

func (l *Leaf) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case leaf.PathSearch:
		l.onSearch(ctx)
	case leaf.PathCancel:
		l.onCancel(ctx)
	case leaf.PathHoldings:
		l.onHoldings(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (l *Leaf) onHoldings(ctx *fasthttp.RequestCtx) {
	l.mu.Lock()
	response := leaf.Response{RunID: l.startName(), Holdings: l.versions}
	l.mu.Unlock()
	reply(ctx, fasthttp.StatusOK, response)
}

func (l *Leaf) onCancel(ctx *fasthttp.RequestCtx) {
	var body struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(ctx.PostBody(), &body) == nil {
		l.mu.Lock()
		if cancel, ok := l.running[body.ID]; ok {
			close(cancel)
			delete(l.running, body.ID)
		}
		l.mu.Unlock()
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (l *Leaf) onSearch(ctx *fasthttp.RequestCtx) {
	var request leaf.Request
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	from := string(ctx.Request.Header.Peek(leaf.HeaderDataCentre))
	l.travel(from)
	cancel, refusal := l.begin(request)
	if refusal != "" {
		l.fleet.count(func(c *Counts) { c.Refused++ })
		l.mu.Lock()
		response := leaf.Response{ID: request.ID, Reason: refusal, RunID: l.startName(), Holdings: l.versions}
		l.mu.Unlock()
		reply(ctx, refusalStatus(refusal), response)
		return
	}
	finished := l.work(cancel, request)
	l.end(request.ID)
	if !finished {
		reply(ctx, fasthttp.StatusConflict, leaf.Response{ID: request.ID, Reason: "cancelled", Started: true})
		return
	}
	l.answer(ctx, request)
}

// travel waits for the round trip between two data centres.
func (l *Leaf) travel(from string) {
	if from != l.spec.DataCentre {
		time.Sleep(l.spec.Distance)
	}
}

// begin takes a slot, or returns why the request is not started.
func (l *Leaf) begin(request leaf.Request) (chan struct{}, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.fleet.count(func(c *Counts) { c.Received++ })
	l.fleet.checkTakenOut(l.spec)
	switch {
	case l.leaving:
		return nil, leaf.ReasonLeaving
	case now.Sub(l.fallen) < times(fallRecovery, l.spec.pace()):
		l.fallen = now
		return nil, leaf.ReasonShed
	case !l.holds(request):
		return nil, leaf.ReasonVersionGone
	}
	if l.cold > 0 && len(l.running) >= coldCapacity {
		if !l.coldSeen.IsZero() && now.Sub(l.coldSeen) > times(evidenceTolerance, l.spec.pace()) {
			l.fleet.breach(BreachCold, l.spec.ID)
		}
		l.fallen = now
		return nil, leaf.ReasonShed
	}
	if len(l.running) >= l.spec.Slots {
		l.fleet.breach(BreachSlots, l.spec.ID)
		return nil, leaf.ReasonShed
	}
	l.fleet.onStart(request, l.spec)
	cancel := make(chan struct{})
	l.running[request.ID] = cancel
	return cancel, ""
}

// work sleeps for the time of the request and tells whether it was neither cancelled nor out of time.
func (l *Leaf) work(cancel chan struct{}, request leaf.Request) bool {
	l.mu.Lock()
	duration := l.workTime()
	l.mu.Unlock()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	deadline := time.NewTimer(time.Duration(request.RemainingUs) * time.Microsecond)
	defer deadline.Stop()
	select {
	case <-timer.C:
		return true
	case <-cancel:
		return false
	case <-deadline.C:
		return false
	}
}

// workTime draws a time around the usual one with a tail of rare slow requests; l.mu is held.
func (l *Leaf) workTime() time.Duration {
	usual := float64(l.spec.Work)
	drawn := usual * (0.6 + 0.4*l.random.ExpFloat64())
	drawn = min(drawn, 3*usual)
	if l.cold > 0 {
		drawn *= coldFactor
	}
	return time.Duration(drawn * l.slow)
}

func (l *Leaf) end(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, id)
	if l.cold == 0 {
		return
	}
	if l.coldSeen.IsZero() {
		l.coldSeen = time.Now()
	}
	l.cold--
}

func (l *Leaf) answer(ctx *fasthttp.RequestCtx, request leaf.Request) {
	hits, err := json.Marshal([]string{fmt.Sprintf("%s/%d@%d:%s", request.Service, request.Shard, request.Version, request.QueryID)})
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	l.mu.Lock()
	response := leaf.Response{
		ID: request.ID, Shard: request.Shard, Index: request.Index, Version: request.Version,
		Hits: hits, RunID: l.startName(), Holdings: l.versions,
	}
	l.mu.Unlock()
	l.fleet.count(func(c *Counts) { c.Answered++ })
	reply(ctx, fasthttp.StatusOK, response)
}

func (l *Leaf) holds(request leaf.Request) bool {
	for _, holding := range l.versions {
		if holding.Index == request.Index && holding.Version == request.Version {
			return holding.Shard == request.Shard
		}
	}
	return false
}

func (l *Leaf) turnCold() {
	l.cold = coldAnswers
	l.coldSeen = time.Time{}
	l.coldAt = time.Now()
}

func (l *Leaf) startName() string { return fmt.Sprintf("%s#%d", l.spec.ID, l.start) }

func refusalStatus(reason string) int {
	if reason == leaf.ReasonVersionGone {
		return fasthttp.StatusConflict
	}
	return fasthttp.StatusServiceUnavailable
}

func reply(ctx *fasthttp.RequestCtx, status int, response leaf.Response) {
	body, err := json.Marshal(response)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
