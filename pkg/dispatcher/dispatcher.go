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
)

// New returns a dispatcher that knows no leaf yet.
func New(config Config, traces *tracer.Store, set *metrics.Set) *Dispatcher {
	if config.Policy == nil {
		config.Policy = chooser.PowerOfTwoChoices{}
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
	d.catalogue.SetLeafs(records)
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
		return coordinator.RefusedAnswer(refusal)
	}
	defer d.leave()
	if !d.knowHoldings(ctx, request.Services, limits.Deadline) {
		return coordinator.RefusedAnswer(ReasonNoHoldings)
	}
	c, refusal := d.begin(id, request, limits, begun)
	if refusal != "" {
		return coordinator.RefusedAnswer(refusal)
	}
	select {
	case answer := <-c.done:
		return answer
	case <-ctx.Done():
		return d.abandon(c)
	}
}

func (d *Dispatcher) begin(id string, request Request, limits coordinator.Limits, begun time.Duration) (*course, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Now()
	plan, ok := d.catalogue.PlanQuery(request.Services, d.view)
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
	c.query = coordinator.NewQuery(plan, limits, coordinator.Dependencies{
		Chooser: d.chooser, Budget: tools.budget, Quantile: tools.quantile, DisablesHedges: d.config.NoHedges,
		NextAttemptID: d.nextID, AttemptTimeout: assigner.MaxSubDeadline, ShouldAvoid: d.ownerIsSilent,
	})
	c.timer = time.AfterFunc(time.Hour, func() { d.onTime(c) })
	d.carryOut(c, c.query.Start(now))
	return c, ""
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
