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
	"lovagedeck/pkg/hedger"
	"lovagedeck/pkg/peer"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/tracer"
)

const (
	// hedgeQuantile is the quantile of the latencies of a service set after which an attempt is hedged.
	hedgeQuantile           = 0.97
	maxHedgeStates          = 1024
	priorityBits            = 32
	maxHoldingsRounds       = 40
	holdingsRetryInterval   = 25 * time.Millisecond
	missingHoldingsInterval = 100 * time.Millisecond
)

type (
	// Transport sends requests and cancellations to the owners of leafs.
	Transport interface {
		// SendRequest sends a request to an owner, whose reply arrives through OnReplies.
		SendRequest(owner tabulator.Member, request peer.Request)
		// Cancel cancels the request with the given identifier.
		Cancel(owner tabulator.MemberID, id uint64)
		// IsUnresponsive reports whether an owner did not acknowledge what was last sent to it.
		IsUnresponsive(owner tabulator.MemberID) bool
		// IsCutOff reports whether most of the other instances do not acknowledge what this one sends.
		IsCutOff() bool
		// FetchHoldings returns the holdings that an owner knows of the given leafs, by leaf identifier.
		FetchHoldings(owner tabulator.Member, leafs []string) (map[string][]peer.Holding, error)
	}

	// Config holds the settings of a Dispatcher and the functions of the instance that it uses.
	Config struct {
		Self tabulator.MemberID
		// Now returns the time since a fixed start on a monotonic clock.
		Now func() time.Duration
		// WallClock returns the time of day, which is used in traces.
		WallClock func() time.Time
		// LeaseHeld reports whether this instance holds a valid lease at the given time.
		LeaseHeld func(now time.Duration) bool
		Transport Transport
		Random    *rand.Rand
		// Policy selects the replica for an attempt; nil means chooser.PowerOfTwoChoices.
		Policy         chooser.Policy
		DisablesHedges bool
		// DisablesLoadShedding admits queries regardless of the overload thresholds of the leafs. The owners of the leafs still
		// refuse requests whose priority is below the threshold.
		DisablesLoadShedding bool
		// UsesLocalOwner sends all attempts to the owner in this instance, whatever the assignment of the leafs.
		UsesLocalOwner bool
	}

	// Dispatcher runs queries. One mutex guards its state and is not held while a query waits.
	Dispatcher struct {
		config        Config
		traces        *tracer.Store
		mu            sync.Mutex
		view          *tabulator.View
		rowsByService map[string][]tabulator.Row
		assignment    *assigner.Map
		catalogue     *coordinator.Catalogue
		chooser       *chooser.Chooser
		hedgeStates   map[string]*hedgeState
		// queriesByAttempt holds the query of each outstanding attempt.
		queriesByAttempt    map[uint64]*activeQuery
		lastAttemptID       uint64
		lastQueryNumber     uint64
		holdingsRequestedAt time.Duration
		openCount           int
		isDraining          bool
		// serviceEnded is closed when open queries must end.
		serviceEnded   chan struct{}
		endServiceOnce sync.Once
		counters       counters
	}

	// hedgeState is the state for hedging that all queries of one service set share.
	hedgeState struct {
		budget   *hedger.Budget
		quantile *hedger.Quantile
	}

	counters struct {
		queries          map[coordinator.Outcome]*metrics.Counter
		first            *metrics.Counter
		retries          *metrics.Counter
		hedges           *metrics.Counter
		unmatchedReplies *metrics.Counter
		duration         *metrics.Histogram
	}
)

// New returns a dispatcher without a table or leafs, whose counters are in set.
func New(config Config, traces *tracer.Store, set *metrics.Set) *Dispatcher {
	if config.Policy == nil {
		config.Policy = chooser.PowerOfTwoChoices{}
	}
	return &Dispatcher{
		config: config, traces: traces, view: tabulator.NewView(), assignment: assigner.NewMap(tabulator.NewView()),
		catalogue: coordinator.NewCatalogue(), chooser: chooser.New(config.Random, chooser.WithPolicy(config.Policy)),
		hedgeStates: map[string]*hedgeState{}, queriesByAttempt: map[uint64]*activeQuery{}, counters: newCounters(set), serviceEnded: make(chan struct{}),
	}
}

// OnView applies a new table and membership.
func (d *Dispatcher) OnView(view *tabulator.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = view
	d.assignment = d.assignment.Next(view)
	d.rowsByService = map[string][]tabulator.Row{}
	for _, row := range view.Rows() {
		service := row.Key().Service
		d.rowsByService[service] = append(d.rowsByService[service], row)
	}
}

// OnLeafList replaces the list of known leafs.
func (d *Dispatcher) OnLeafList(records []coordinator.LeafRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.catalogue.SetLeafs(records)
}

// Drain refuses new queries from now on and lets the open ones continue.
func (d *Dispatcher) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isDraining = true
}

// EndService refuses new queries and ends the open ones with the answers that have arrived.
func (d *Dispatcher) EndService() {
	d.Drain()
	d.endServiceOnce.Do(func() { close(d.serviceEnded) })
}

func (d *Dispatcher) hasServiceEnded() bool {
	select {
	case <-d.serviceEnded:
		return true
	default:
		return false
	}
}

// OpenQueries returns the number of queries that are running.
func (d *Dispatcher) OpenQueries() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.openCount
}

// Run runs a query and returns its result. It cancels the query if ctx ends first.
func (d *Dispatcher) Run(ctx context.Context, request Request) Result {
	startedAt := d.config.Now()
	id := d.nextQueryID()
	startTime := d.config.WallClock()
	answer := d.run(ctx, id, request, startedAt)
	result := Result{ID: id, Took: d.config.Now() - startedAt, Answer: answer}
	if answer.Outcome == coordinator.OutcomeRefused {
		result.RetryAfter = retryAfter(answer.Reason)
	}
	d.recordResult(result, request, startTime, startedAt)
	return result
}

// OnReplies processes replies of owners.
func (d *Dispatcher) OnReplies(_ tabulator.MemberID, replies []peer.Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, reply := range replies {
		d.onReply(reply)
	}
}

// OnUndelivered ends attempts that were not delivered to their owner. If maybeReceived is set, the owner may have received
// them, so their outcome is unknown.
func (d *Dispatcher) OnUndelivered(requests []peer.Request, maybeReceived bool, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, request := range requests {
		kind := peer.KindNotRun
		if maybeReceived {
			kind = peer.KindUnknownOutcome
		}
		d.onReply(peer.Reply{ID: request.ID, Leaf: request.Leaf, Kind: kind, Reason: reason})
	}
}

func (d *Dispatcher) run(ctx context.Context, id string, request Request, startedAt time.Duration) coordinator.Answer {
	limits, refusal := d.admit(request, startedAt)
	if refusal != "" {
		return coordinator.RefusedAnswer(refusal)
	}
	defer d.release()
	if !d.ensureHoldings(ctx, request.Services, limits.Deadline) {
		return coordinator.RefusedAnswer(ReasonNoHoldings)
	}
	active, refusal := d.startQuery(id, request, limits, startedAt)
	if refusal != "" {
		return coordinator.RefusedAnswer(refusal)
	}
	select {
	case answer := <-active.finished:
		return answer
	case <-d.serviceEnded:
		return d.endQuery(active)
	case <-ctx.Done():
		return d.cancelQuery(active)
	}
}

func (d *Dispatcher) startQuery(id string, request Request, limits coordinator.Limits, startedAt time.Duration) (*activeQuery, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hasServiceEnded() {
		return nil, ReasonShuttingDown
	}
	now := d.config.Now()
	plan, ok := d.catalogue.PlanQuery(request.Services, d.view)
	if !ok {
		return nil, ReasonNoHoldings
	}
	priority := priorityOf(id)
	if !d.config.DisablesLoadShedding && priority < d.admissionThreshold(plan, now) {
		return nil, ReasonOverloaded
	}
	hedging := d.hedgeStateFor(request.Services)
	active := &activeQuery{
		id: id, request: request, priority: priority, startedAt: startedAt, owners: map[uint64]tabulator.MemberID{},
		finished: make(chan coordinator.Answer, 1),
	}
	active.query = coordinator.NewQuery(plan, limits, coordinator.Dependencies{
		Chooser: d.chooser, Budget: hedging.budget, Quantile: hedging.quantile, DisablesHedges: d.config.DisablesHedges,
		NextAttemptID: d.nextAttemptID, AttemptTimeout: assigner.MaxLeafRequestTime, ShouldAvoid: d.isOwnerUnresponsive,
	})
	active.timer = time.AfterFunc(time.Hour, func() { d.onTimer(active) })
	d.execute(active, active.query.Start(now))
	return active, ""
}

// hedgeStateFor returns the hedging state of a service set. Service sets beyond maxHedgeStates share one state.
func (d *Dispatcher) hedgeStateFor(services []string) *hedgeState {
	key := strings.Join(services, ",")
	if d.hedgeStates[key] == nil && len(d.hedgeStates) >= maxHedgeStates {
		key = ""
	}
	if d.hedgeStates[key] == nil {
		d.hedgeStates[key] = &hedgeState{budget: hedger.NewBudget(), quantile: hedger.NewQuantile(hedgeQuantile)}
	}
	return d.hedgeStates[key]
}

func (d *Dispatcher) nextAttemptID() uint64 {
	d.lastAttemptID++
	return d.lastAttemptID
}

func (d *Dispatcher) nextQueryID() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastQueryNumber++
	return fmt.Sprintf("%s.%x.%d", d.config.Self.Instance, d.config.Self.Incarnation, d.lastQueryNumber)
}

// SortServices returns the services sorted and without duplicates.
func SortServices(services []string) []string {
	sorted := append([]string(nil), services...)
	sort.Strings(sorted)
	unique := sorted[:0]
	for i, service := range sorted {
		if i == 0 || service != sorted[i-1] {
			unique = append(unique, service)
		}
	}
	return unique
}
