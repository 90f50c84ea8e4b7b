// An emulated leaf enforces the limits of a real one: slots, connections,
// reduced concurrency after a cold start, and the index versions it holds.
// Requests and connections beyond a limit are counted as violations.

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
	coldConcurrency  = 2
	warmupRequests   = 40
	coldSlowdown     = 4
	overloadRecovery = 400 * time.Millisecond
	// coldDetectionGrace is the time that callers get to react after the first slow answer of a cold leaf.
	coldDetectionGrace = 15 * time.Millisecond
	spawnRate          = 8
)

type (
	// LeafSpec describes an emulated leaf: its place in the index, its limits and its timing.
	LeafSpec struct {
		ID             string
		Index          string
		Service        string
		DataCentre     string
		Shard          int
		Shards         int
		Slots          int
		Connections    int
		ConnectTime    time.Duration
		ProcessingTime time.Duration
		RoundTrip      time.Duration
		// TimeScale multiplies the leaf's own recovery and grace times; 0 means 1.
		TimeScale float64
	}

	// Leaf is an emulated leaf that serves one shard over HTTP.
	Leaf struct {
		spec             LeafSpec
		fleet            *Fleet
		random           *rand.Rand
		mu               sync.Mutex
		listener         *limitedListener
		server           *fasthttp.Server
		address          string
		startCount       int
		running          map[string]chan struct{}
		effects          map[string]int
		holdings         []leaf.Holding
		coldRequestsLeft int
		coldEvidenceAt   time.Time
		coldSince        time.Time
		overloadedAt     time.Time
		slowdown         float64
		rateLimit        rateLimit
		isDown           bool
		isDraining       bool
	}
)

func newLeaf(spec LeafSpec, fleet *Fleet, seed uint64) *Leaf {
	return &Leaf{
		spec: spec, fleet: fleet, random: rand.New(rand.NewPCG(seed, 7)), running: map[string]chan struct{}{},
		effects: map[string]int{}, slowdown: 1, startCount: 1,
	}
}

func (s LeafSpec) timeScale() float64 {
	if s.TimeScale == 0 {
		return 1
	}
	return s.TimeScale
}

// Spec returns the specification that the leaf was started with.
func (l *Leaf) Spec() LeafSpec { return l.spec }

// Address returns the host and port that the leaf listens on.
func (l *Leaf) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// SetSlowdown sets the factor that multiplies the processing time of each request; 1 is normal speed.
func (l *Leaf) SetSlowdown(factor float64) {
	l.mu.Lock()
	l.slowdown = factor
	l.mu.Unlock()
}

// SetHoldings replaces the index versions and shards that the leaf holds.
func (l *Leaf) SetHoldings(holdings []leaf.Holding) {
	l.mu.Lock()
	l.holdings = holdings
	l.mu.Unlock()
}

// holdingsOf returns the leaf's holding of the version, or nil if it has none.
func (l *Leaf) holdingsOf(version uint64) []leaf.Holding {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, held := range l.holdings {
		if held.Version == version {
			return []leaf.Holding{held}
		}
	}
	return nil
}

// SetDraining sets whether the leaf refuses new requests because it is shutting down.
func (l *Leaf) SetDraining(isDraining bool) {
	l.mu.Lock()
	l.isDraining = isDraining
	l.mu.Unlock()
}

// ResetWarmup makes the leaf cold again without a restart.
func (l *Leaf) ResetWarmup() {
	l.mu.Lock()
	l.resetWarmup()
	l.mu.Unlock()
}

// Stop cancels running requests, closes all connections and refuses new ones.
func (l *Leaf) Stop() {
	l.mu.Lock()
	listener := l.listener
	l.isDown = true
	l.startCount++
	for id, cancel := range l.running {
		close(cancel)
		delete(l.running, id)
	}
	l.mu.Unlock()
	if listener != nil {
		listener.closeAll()
	}
}

// Restart stops the leaf if it runs and starts it again, cold, at the same address.
func (l *Leaf) Restart() error {
	l.Stop()
	l.mu.Lock()
	l.isDown = false
	l.resetWarmup()
	address := l.address
	l.mu.Unlock()
	return l.listen(address)
}

func (l *Leaf) listen(address string) error {
	raw, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen for emulated leaf %s", l.spec.ID)
	}
	listener := newLimitedListener(raw, l.spec.Connections, l.spec.ConnectTime, func() { l.fleet.recordViolation(ViolationConnections, l.spec.ID) })
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
		l.handleSearch(ctx)
	case leaf.PathCancel:
		l.handleCancel(ctx)
	case leaf.PathHoldings:
		l.handleHoldings(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (l *Leaf) handleHoldings(ctx *fasthttp.RequestCtx) {
	l.mu.Lock()
	if l.rateLimit.recordArrival(time.Now()) {
		l.fleet.recordViolation(ViolationRateLimit, l.spec.ID)
	}
	response := leaf.Response{RunID: l.runID(), Holdings: l.holdings, RateLimit: l.rateLimit.statement()}
	l.mu.Unlock()
	writeResponse(ctx, fasthttp.StatusOK, response)
}

func (l *Leaf) handleCancel(ctx *fasthttp.RequestCtx) {
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

func (l *Leaf) handleSearch(ctx *fasthttp.RequestCtx) {
	started, notStarted := true, false
	var request leaf.Request
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	callerDataCentre := string(ctx.Request.Header.Peek(leaf.HeaderDataCentre))
	l.simulateRoundTrip(callerDataCentre)
	cancel, refusal := l.admit(request)
	if refusal != "" {
		l.fleet.updateCounts(func(c *Counts) { c.Refused++ })
		l.mu.Lock()
		response := leaf.Response{ID: request.ID, Reason: refusal, RunID: l.runID(), Holdings: l.holdings, RateLimit: l.rateLimit.statement(), Started: &notStarted}
		l.mu.Unlock()
		writeResponse(ctx, refusalStatus(refusal), response)
		return
	}
	isFinished := l.process(cancel, request)
	l.finish(request.ID)
	if !isFinished {
		writeResponse(ctx, fasthttp.StatusConflict, leaf.Response{ID: request.ID, Reason: "cancelled", Started: &started})
		return
	}
	l.writeAnswer(ctx, request)
}

// simulateRoundTrip waits for one network round trip if the caller is in another data centre.
func (l *Leaf) simulateRoundTrip(callerDataCentre string) {
	if callerDataCentre != l.spec.DataCentre {
		time.Sleep(l.spec.RoundTrip)
	}
}

// admit takes a slot and returns its cancellation channel, or returns the reason for refusing the request.
func (l *Leaf) admit(request leaf.Request) (chan struct{}, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.fleet.updateCounts(func(c *Counts) { c.Received++ })
	l.fleet.checkOutOfService(l.spec)
	if l.rateLimit.recordArrival(now) {
		l.fleet.recordViolation(ViolationRateLimit, l.spec.ID)
	}
	switch {
	case l.isDraining:
		return nil, leaf.ReasonLeaving
	case now.Sub(l.overloadedAt) < scaleDuration(overloadRecovery, l.spec.timeScale()):
		l.overloadedAt = now
		return nil, leaf.ReasonShed
	case !l.holdsShard(request):
		return nil, leaf.ReasonVersionGone
	}
	if l.coldRequestsLeft > 0 && len(l.running) >= coldConcurrency {
		if !l.coldEvidenceAt.IsZero() && now.Sub(l.coldEvidenceAt) > scaleDuration(coldDetectionGrace, l.spec.timeScale()) {
			l.fleet.recordViolation(ViolationColdStart, l.spec.ID)
		}
		l.overloadedAt = now
		return nil, leaf.ReasonShed
	}
	if len(l.running) >= l.spec.Slots {
		l.fleet.recordViolation(ViolationSlots, l.spec.ID)
		return nil, leaf.ReasonShed
	}
	l.fleet.recordStart(request, l.spec)
	cancel := make(chan struct{})
	l.running[request.ID] = cancel
	return cancel, ""
}

// process sleeps for the processing time and reports whether the request ended without being cancelled or reaching its deadline.
func (l *Leaf) process(cancel chan struct{}, request leaf.Request) bool {
	l.mu.Lock()
	duration := l.drawProcessingTime()
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

// drawProcessingTime returns a random processing time near the typical one, with a tail of rare slow requests of up to
// three times as long before slowdowns apply; l.mu must be held.
func (l *Leaf) drawProcessingTime() time.Duration {
	typical := float64(l.spec.ProcessingTime)
	drawn := typical * (0.6 + 0.4*l.random.ExpFloat64())
	drawn = min(drawn, 3*typical)
	if l.coldRequestsLeft > 0 {
		drawn *= coldSlowdown
	}
	return time.Duration(drawn * l.slowdown)
}

func (l *Leaf) finish(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, id)
	if l.coldRequestsLeft == 0 {
		return
	}
	if l.coldEvidenceAt.IsZero() {
		l.coldEvidenceAt = time.Now()
	}
	l.coldRequestsLeft--
}

func (l *Leaf) writeAnswer(ctx *fasthttp.RequestCtx, request leaf.Request) {
	hits, err := json.Marshal([]string{fmt.Sprintf("%s/%d@%d:%s", request.Service, request.Shard, request.Version, request.QueryID)})
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	l.mu.Lock()
	response := leaf.Response{
		ID: request.ID, Shard: request.Shard, Index: request.Index, Version: request.Version,
		Hits: hits, RunID: l.runID(), Holdings: l.holdings, RateLimit: l.rateLimit.statement(),
	}
	l.mu.Unlock()
	l.fleet.updateCounts(func(c *Counts) { c.Answered++ })
	writeResponse(ctx, fasthttp.StatusOK, response)
}

func (l *Leaf) holdsShard(request leaf.Request) bool {
	for _, holding := range l.holdings {
		if holding.Index == request.Index && holding.Version == request.Version {
			return holding.Shard == request.Shard
		}
	}
	return false
}

func (l *Leaf) resetWarmup() {
	l.coldRequestsLeft = warmupRequests
	l.coldEvidenceAt = time.Time{}
	l.coldSince = time.Now()
}

func (l *Leaf) runID() string { return fmt.Sprintf("%s#%d", l.spec.ID, l.startCount) }

func refusalStatus(reason string) int {
	if reason == leaf.ReasonVersionGone {
		return fasthttp.StatusConflict
	}
	return fasthttp.StatusServiceUnavailable
}

func writeResponse(ctx *fasthttp.RequestCtx, status int, response leaf.Response) {
	body, err := json.Marshal(response)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
