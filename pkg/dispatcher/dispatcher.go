package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/chooser"
	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/fellow"
	"lovagedeck/pkg/hedger"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/tracer"
)

const (
	hedgeQuantile  = 0.97
	maxToolSets    = 1024
	priorityBits   = 32
	holdingsRounds = 40
	holdingsPause  = 25 * time.Millisecond
	askPause       = 100 * time.Millisecond
)

type (
	// Transport carries asks and cancellations to owners.
	Transport interface {
		Ask(owner tabulator.Member, ask fellow.Ask)
		Cancel(owner tabulator.MemberID, id uint64)
		Silent(owner tabulator.MemberID) bool
		CutOff() bool
		FetchHoldings(owner tabulator.Member, leafs []string) (map[string][]fellow.Holding, error)
	}

	// Config is what a Dispatcher needs of its instance.
	Config struct {
		Self      tabulator.MemberID
		Now       func() time.Duration
		Wall      func() time.Time
		LeaseHeld func(now time.Duration) bool
		Transport Transport
		Random    *rand.Rand
		Policy    chooser.Policy
		NoHedges  bool
		NoGate    bool
		LocalOnly bool
	}

	// Dispatcher runs queries; its state is guarded by one lock, and waiting happens outside it.
	Dispatcher struct {
		config     Config
		traces     *tracer.Store
		mu         sync.Mutex
		view       *tabulator.View
		rows       map[string][]tabulator.Row
		assignment *assigner.Map
		catalogue  *coordinator.Catalogue
		chooser    *chooser.Chooser
		tools      map[string]*toolSet
		running    map[uint64]*course
		sequence   uint64
		queries    uint64
		askedAt    time.Duration
		open       int
		draining   bool
		counters   counters
	}

	toolSet struct {
		budget   *hedger.Budget
		quantile *hedger.Quantile
	}

	counters struct {
		queries  map[coordinator.Outcome]*metrics.Counter
		first    *metrics.Counter
		retries  *metrics.Counter
		hedges   *metrics.Counter
		strays   *metrics.Counter
		duration *metrics.Histogram
	}

	// course is one query under way.
	course struct {
		id       string
		query    *coordinator.Query
		request  Request
		priority float64
		begun    time.Duration
		owners   map[uint64]tabulator.MemberID
		timer    *time.Timer
		done     chan coordinator.Answer
	}
)

// New returns a dispatcher that knows no leaf yet.
func New(config Config, traces *tracer.Store, set *metrics.Set) *Dispatcher {
	if config.Policy == nil {
		config.Policy = chooser.Scored{}
	}
	return &Dispatcher{
		config: config, traces: traces, view: tabulator.NewView(), assignment: assigner.NewMap(tabulator.NewView()),
		catalogue: coordinator.NewCatalogue(), chooser: chooser.New(config.Random, chooser.WithPolicy(config.Policy)),
		tools: map[string]*toolSet{}, running: map[uint64]*course{}, counters: newCounters(set),
	}
}

// OnView takes a new table and membership.
func (d *Dispatcher) OnView(view *tabulator.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = view
	d.assignment = d.assignment.Next(view)
	d.rows = map[string][]tabulator.Row{}
	for _, row := range view.Rows() {
		service := row.Key().Service
		d.rows[service] = append(d.rows[service], row)
	}
}

// OnRoster takes a new roster of leafs.
func (d *Dispatcher) OnRoster(records []coordinator.LeafRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.catalogue.SetRoster(records)
}

// Drain refuses new queries; those under way go on.
func (d *Dispatcher) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
}

// Open returns how many queries are under way.
func (d *Dispatcher) Open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

// Run runs a query and returns its result.
func (d *Dispatcher) Run(ctx context.Context, request Request) Result {
	begun := d.config.Now()
	id := d.nextQueryID()
	started := d.config.Wall()
	answer := d.run(ctx, id, request, begun)
	result := Result{ID: id, Took: d.config.Now() - begun, Answer: answer}
	if answer.Outcome == coordinator.OutcomeRefused {
		result.RetryAfter = retryAfter(answer.Reason)
	}
	d.finish(result, request, started, begun)
	return result
}

// OnReplies takes replies of owners.
func (d *Dispatcher) OnReplies(_ tabulator.MemberID, replies []fellow.Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, reply := range replies {
		d.onReply(reply)
	}
}

// OnLost takes asks that did not get through to their owner.
func (d *Dispatcher) OnLost(asks []fellow.Ask, maybeReceived bool, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, ask := range asks {
		kind := fellow.KindNotRun
		if maybeReceived {
			kind = fellow.KindUnknown
		}
		d.onReply(fellow.Reply{ID: ask.ID, Leaf: ask.Leaf, Kind: kind, Reason: reason})
	}
}

func (d *Dispatcher) run(ctx context.Context, id string, request Request, begun time.Duration) coordinator.Answer {
	limits, refusal := d.admit(request, begun)
	if refusal != "" {
		return coordinator.Refuse(refusal)
	}
	defer d.leave()
	if !d.knowHoldings(ctx, request.Services, limits.Deadline) {
		return coordinator.Refuse(ReasonNoHoldings)
	}
	c, refusal := d.begin(id, request, limits, begun)
	if refusal != "" {
		return coordinator.Refuse(refusal)
	}
	select {
	case answer := <-c.done:
		return answer
	case <-ctx.Done():
		return d.abandon(c)
	}
}

// admit checks that the query may run here and returns its limits.
func (d *Dispatcher) admit(request Request, begun time.Duration) (coordinator.Limits, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return coordinator.Limits{}, ReasonShuttingDown
	}
	if !d.config.LeaseHeld(begun) {
		return coordinator.Limits{}, ReasonNotReady
	}
	if d.config.Transport.CutOff() {
		return coordinator.Limits{}, ReasonCutOff
	}
	limits, ok := d.limits(request, begun)
	if !ok {
		return coordinator.Limits{}, ReasonNoService
	}
	d.open++
	return limits, ""
}

func (d *Dispatcher) leave() {
	d.mu.Lock()
	d.open--
	d.mu.Unlock()
}

// limits narrows the rows of the services by the request.
func (d *Dispatcher) limits(request Request, begun time.Duration) (coordinator.Limits, bool) {
	limits := coordinator.Limits{Idempotent: request.Idempotent, HedgePercent: -1}
	deadline := request.Deadline
	for _, service := range request.Services {
		rows := d.rows[service]
		if len(rows) == 0 {
			return limits, false
		}
		for _, row := range rows {
			if deadline == 0 || row.Deadline() < deadline {
				deadline = row.Deadline()
			}
			limits.MinCoverage = max(limits.MinCoverage, row.MinCoverage())
			if limits.HedgePercent < 0 || row.HedgePercent() < limits.HedgePercent {
				limits.HedgePercent = row.HedgePercent()
			}
		}
	}
	if request.MinCoverage != nil {
		limits.MinCoverage = max(limits.MinCoverage, *request.MinCoverage)
	}
	limits.Deadline = begun + deadline
	return limits, true
}

func (d *Dispatcher) begin(id string, request Request, limits coordinator.Limits, begun time.Duration) (*course, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Now()
	plan, ok := d.catalogue.Pin(request.Services, d.view)
	if !ok {
		return nil, ReasonNoHoldings
	}
	priority := priorityOf(id)
	if !d.config.NoGate && priority < d.threshold(plan, now) {
		return nil, ReasonOverloaded
	}
	tools := d.toolsFor(request.Services)
	c := &course{
		id: id, request: request, priority: priority, begun: begun, owners: map[uint64]tabulator.MemberID{},
		done: make(chan coordinator.Answer, 1),
	}
	c.query = coordinator.NewQuery(plan, limits, coordinator.Tools{
		Chooser: d.chooser, Budget: tools.budget, Quantile: tools.quantile, NoHedges: d.config.NoHedges,
		NextID: d.nextID, SendLimit: assigner.MaxSubDeadline, Avoid: d.ownerIsSilent,
	})
	c.timer = time.AfterFunc(time.Hour, func() { d.onTime(c) })
	d.carryOut(c, c.query.Begin(now))
	return c, ""
}

// threshold returns the priority that a query needs so that each shard has a replica that takes it.
func (d *Dispatcher) threshold(plan coordinator.Plan, now time.Duration) float64 {
	needed := 0.0
	for _, shard := range plan.Shards {
		lowest := 1.0
		for _, leaf := range shard.Candidates {
			lowest = min(lowest, d.chooser.Threshold(leaf, now))
		}
		if len(shard.Candidates) > 0 {
			needed = max(needed, lowest)
		}
	}
	return needed
}

func (d *Dispatcher) onTime(c *course) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.carryOut(c, c.query.OnTime(d.config.Now()))
}

func (d *Dispatcher) abandon(c *course) coordinator.Answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.carryOut(c, c.query.Abandon(d.config.Now()))
	c.timer.Stop()
	select {
	case answer := <-c.done:
		return answer
	default:
		return coordinator.Answer{Outcome: coordinator.OutcomeFailed, Reason: ReasonCallerGone}
	}
}

// onReply hands a reply to its query; a reply to nothing that is outstanding is counted and dropped.
func (d *Dispatcher) onReply(reply fellow.Reply) {
	now := d.config.Now()
	leaf := assigner.LeafID(reply.Leaf)
	d.catalogue.Learn(leaf, toHoldings(reply.Holdings))
	if reply.Condition.Known {
		d.chooser.OnReport(leaf, toReport(reply.Condition), now)
	}
	c := d.running[reply.ID]
	if c == nil {
		d.counters.strays.Inc()
		return
	}
	delete(d.running, reply.ID)
	if isUnavailable(reply) {
		d.chooser.OnUnavailable(leaf, now)
	}
	d.carryOut(c, c.query.OnReply(toReply(reply), now))
}

func (d *Dispatcher) carryOut(c *course, actions []coordinator.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case coordinator.Ask:
			d.ask(c, a)
		case coordinator.Cancel:
			delete(d.running, a.Attempt)
			if owner, ok := c.owners[a.Attempt]; ok {
				d.config.Transport.Cancel(owner, a.Attempt)
			}
		case coordinator.StartOver:
			d.startOver(c)
			return
		case coordinator.Finish:
			c.timer.Stop()
			c.done <- a.Answer
			return
		}
	}
	if !c.query.Done() {
		c.timer.Reset(max(0, c.query.Wake()-d.config.Now()))
	}
}

func (d *Dispatcher) startOver(c *course) {
	now := d.config.Now()
	plan, ok := d.catalogue.Pin(c.request.Services, d.view)
	if !ok || !c.query.Newer(plan) {
		d.carryOut(c, c.query.GiveUpRestart(now))
		return
	}
	d.carryOut(c, c.query.Restart(plan, now))
}

func (d *Dispatcher) ask(c *course, a coordinator.Ask) {
	now := d.config.Now()
	d.running[a.Attempt] = c
	record, listed := d.catalogue.Leaf(a.Leaf)
	owner, ok := d.owner(record)
	if !listed || !ok {
		d.refuseLater(a, fellow.ReasonNoOwner)
		return
	}
	c.owners[a.Attempt] = owner.ID()
	d.config.Transport.Ask(owner, fellow.Ask{
		ID: a.Attempt, Query: c.id, Leaf: string(a.Leaf), Service: a.Shard.Service, Shard: a.Shard.Number,
		Index: a.Version.Index, Version: a.Version.Number, RemainingUs: (a.Deadline - now).Microseconds(),
		Effect: !c.request.Idempotent, Hedge: a.Hedge, Caller: c.request.Caller, Weight: c.request.Weight,
		Priority: c.priority, Text: c.request.Text,
	})
}

// refuseLater answers an ask that has no owner after the present step has ended.
func (d *Dispatcher) refuseLater(a coordinator.Ask, reason string) {
	go d.OnReplies(d.config.Self, []fellow.Reply{{ID: a.Attempt, Leaf: string(a.Leaf), Kind: fellow.KindNotRun, Reason: reason}})
}

func (d *Dispatcher) owner(record coordinator.LeafRecord) (tabulator.Member, bool) {
	if d.config.LocalOnly {
		return d.view.Member(d.config.Self.Instance)
	}
	return d.assignment.Owner(assigner.NewLeaf(record.ID, record.DataCentre))
}

func (d *Dispatcher) ownerIsSilent(leaf assigner.LeafID) bool {
	record, ok := d.catalogue.Leaf(leaf)
	if !ok {
		return true
	}
	owner, ok := d.owner(record)
	return !ok || d.config.Transport.Silent(owner.ID())
}

func (d *Dispatcher) toolsFor(services []string) *toolSet {
	key := strings.Join(services, ",")
	if d.tools[key] == nil && len(d.tools) >= maxToolSets {
		key = ""
	}
	if d.tools[key] == nil {
		d.tools[key] = &toolSet{budget: hedger.NewBudget(), quantile: hedger.NewQuantile(hedgeQuantile)}
	}
	return d.tools[key]
}

func (d *Dispatcher) nextID() uint64 {
	d.sequence++
	return d.sequence
}

func (d *Dispatcher) nextQueryID() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queries++
	return fmt.Sprintf("%s.%x.%d", d.config.Self.Instance, d.config.Self.Incarnation, d.queries)
}

// isUnavailable tells whether a reply says that nothing can be sent to the leaf for a while.
func isUnavailable(reply fellow.Reply) bool {
	if reply.Kind != fellow.KindNotRun {
		return false
	}
	return !reply.Condition.Known || reply.Condition.Resting
}

// priorityOf spreads queries evenly over 0 to 1, the same at every leaf.
func priorityOf(id string) float64 {
	return float64(xxhash.Sum64String(id)>>(64-priorityBits)) / (1 << priorityBits)
}

func retryAfter(reason string) time.Duration {
	if reason != ReasonOverloaded {
		return retryAfterNotReady
	}
	return retryAfterOverload
}

// SortServices returns the services in order without repetition.
func SortServices(services []string) []string {
	sorted := append([]string(nil), services...)
	sort.Strings(sorted)
	kept := sorted[:0]
	for i, service := range sorted {
		if i == 0 || service != sorted[i-1] {
			kept = append(kept, service)
		}
	}
	return kept
}
