package owner

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"

	"lovagedeck/pkg/admitter"
	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/fellow"
	"lovagedeck/pkg/leaf"
	"lovagedeck/pkg/tabulator"
)

const (
	sweepInterval    = 5 * time.Millisecond
	holdingsInterval = time.Second
)

type (
	// ReplyTo sends a reply to the instance that asked.
	ReplyTo func(to tabulator.MemberID, address string, reply fellow.Reply)

	// AskRelease asks a former owner to give up a leaf; it returns false when it could not be reached.
	AskRelease func(from tabulator.Member, epoch uint64, id assigner.LeafID) (fellow.Released, bool)

	// Note records an event for the time line.
	Note func(kind, peer, text string)

	// Config is what an Owner needs of its instance.
	Config struct {
		Self       tabulator.MemberID
		DataCentre string
		Now        func() time.Duration
		LeaseHeld  func(now time.Duration) bool
		ReplyTo    ReplyTo
		AskRelease AskRelease
		Note       Note
		Dial       leaf.Dial
		Growth     admitter.Growth
		SplitOver  int
	}

	// Owner admits and sends requests for the leafs of this instance.
	Owner struct {
		config     Config
		mu         sync.RWMutex
		leafs      map[assigner.LeafID]*ownedLeaf
		releasedAt map[assigner.LeafID]uint64
		ceded      map[assigner.LeafID]cededLeaf
		asks       map[askKey]*pendingAsk
		view       *tabulator.View
		assignment *assigner.Map
		roster     map[assigner.LeafID]coordinator.LeafRecord
		sequence   uint64
		group      conc.WaitGroup
		stop       chan struct{}
		draining   bool
		sent       *metrics.Counter
		refused    *metrics.Counter
	}

	askKey struct {
		from tabulator.MemberID
		id   uint64
	}

	// cededLeaf is what this instance knows of a leaf that it no longer owns and that no other instance asked for yet.
	cededLeaf struct {
		released fellow.Released
		at       time.Duration
	}

	// pendingAsk is an ask that the owner has taken and not replied to yet.
	pendingAsk struct {
		key      askKey
		address  string
		ask      fellow.Ask
		owned    *ownedLeaf
		itemID   uint64
		deadline time.Duration
		wireID   string
	}
)

// New returns an owner without leafs; Run starts its upkeep.
func New(config Config, set *metrics.Set) *Owner {
	return &Owner{
		config: config, leafs: map[assigner.LeafID]*ownedLeaf{}, releasedAt: map[assigner.LeafID]uint64{}, ceded: map[assigner.LeafID]cededLeaf{},
		asks: map[askKey]*pendingAsk{}, view: tabulator.NewView(), assignment: assigner.NewMap(tabulator.NewView()),
		roster: map[assigner.LeafID]coordinator.LeafRecord{}, stop: make(chan struct{}),
		sent: set.GetOrCreateCounter("lovagedeck_leaf_requests_total"), refused: set.GetOrCreateCounter("lovagedeck_leaf_refusals_total"),
	}
}

// Run keeps the owned leafs until Close.
func (o *Owner) Run() {
	o.group.Go(o.sweepLoop)
	o.group.Go(o.holdingsLoop)
}

// Close gives up every leaf and waits for what is running.
func (o *Owner) Close() {
	close(o.stop)
	o.mu.Lock()
	leafs := o.leafs
	o.leafs = map[assigner.LeafID]*ownedLeaf{}
	o.mu.Unlock()
	for _, owned := range leafs {
		owned.retire(fellow.ReasonNotOwner)
	}
	o.group.Wait()
}

// OnView takes a new table and membership.
func (o *Owner) OnView(view *tabulator.View) {
	o.mu.Lock()
	o.view = view
	o.assignment = o.assignment.Next(view)
	o.reconcile()
	o.mu.Unlock()
}

// OnRoster takes a new roster of leafs.
func (o *Owner) OnRoster(records []coordinator.LeafRecord) {
	roster := make(map[assigner.LeafID]coordinator.LeafRecord, len(records))
	for _, record := range records {
		roster[record.ID] = record
	}
	o.mu.Lock()
	o.roster = roster
	o.reconcile()
	o.mu.Unlock()
}

// OnAsks takes requests of an instance, which may be this one.
func (o *Owner) OnAsks(from tabulator.MemberID, address string, asks []fellow.Ask) {
	for _, ask := range asks {
		o.onAsk(from, address, ask)
	}
}

// OnCancels gives up requests that the instance no longer waits for.
func (o *Owner) OnCancels(from tabulator.MemberID, ids []uint64) {
	for _, id := range ids {
		key := askKey{from: from, id: id}
		o.mu.Lock()
		pending := o.asks[key]
		delete(o.asks, key)
		o.mu.Unlock()
		if pending != nil {
			pending.owned.cancel(pending)
		}
	}
}

// Holdings returns what the owned ones of the leafs hold.
func (o *Owner) Holdings(ids []string) map[string][]fellow.Holding {
	found := make(map[string][]fellow.Holding, len(ids))
	for _, id := range ids {
		if owned := o.find(assigner.LeafID(id)); owned != nil {
			if holdings := owned.currentHoldings(); len(holdings) > 0 {
				found[id] = holdings
			}
		}
	}
	return found
}

// Release gives up leafs for another owner and returns what it needs to know of them.
func (o *Owner) Release(query fellow.ReleaseQuery) []fellow.Released {
	released := make([]fellow.Released, 0, len(query.Leafs))
	for _, id := range query.Leafs {
		released = append(released, o.release(assigner.LeafID(id), query))
	}
	return released
}

// Drain stops taking new requests, and keeps what is queued and running.
func (o *Owner) Drain() {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
}

// Held returns how many leafs this instance holds.
func (o *Owner) Held() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return len(o.leafs)
}

// Opened returns how many leafs this instance may send to.
func (o *Owner) Opened() int {
	opened := 0
	o.each(func(owned *ownedLeaf) {
		if owned.isOpen() {
			opened++
		}
	})
	return opened
}

// Conditions returns the condition of each owned leaf.
func (o *Owner) Conditions() map[assigner.LeafID]fellow.Condition {
	o.mu.RLock()
	defer o.mu.RUnlock()
	conditions := make(map[assigner.LeafID]fellow.Condition, len(o.leafs))
	for id, owned := range o.leafs {
		conditions[id] = owned.condition()
	}
	return conditions
}

// Busy returns how many requests are queued or running.
func (o *Owner) Busy() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return len(o.asks)
}

func (o *Owner) find(id assigner.LeafID) *ownedLeaf {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.leafs[id]
}

func (o *Owner) onAsk(from tabulator.MemberID, address string, ask fellow.Ask) {
	now := o.config.Now()
	pending := &pendingAsk{
		key: askKey{from: from, id: ask.ID}, address: address, ask: ask,
		deadline: now + time.Duration(ask.RemainingUs)*time.Microsecond,
	}
	o.mu.Lock()
	owned := o.leafs[assigner.LeafID(ask.Leaf)]
	epoch := o.assignment.Epoch()
	_, duplicate := o.asks[pending.key]
	if owned == nil || duplicate || !o.config.LeaseHeld(now) {
		o.mu.Unlock()
		if duplicate {
			return
		}
		o.refuse(pending, o.refusalWithout(owned), epoch)
		return
	}
	o.sequence++
	pending.itemID = o.sequence
	pending.owned = owned
	o.asks[pending.key] = pending
	o.mu.Unlock()
	owned.offer(pending, now)
}

func (o *Owner) refusalWithout(owned *ownedLeaf) string {
	if owned == nil {
		return fellow.ReasonNotOwner
	}
	return fellow.ReasonNoLease
}

func (o *Owner) refuse(pending *pendingAsk, reason string, epoch uint64) {
	o.refused.Inc()
	o.config.ReplyTo(pending.key.from, pending.address, fellow.Reply{
		ID: pending.ask.ID, Leaf: pending.ask.Leaf, Kind: fellow.KindNotRun, Reason: reason, Epoch: epoch,
	})
}

// settle replies to an ask unless it was cancelled, in which case nobody waits for it.
func (o *Owner) settle(pending *pendingAsk, reply fellow.Reply) {
	o.mu.Lock()
	_, waiting := o.asks[pending.key]
	delete(o.asks, pending.key)
	reply.Epoch = o.assignment.Epoch()
	o.mu.Unlock()
	if !waiting {
		return
	}
	if reply.Kind == fellow.KindNotRun {
		o.refused.Inc()
	}
	reply.ID = pending.ask.ID
	reply.Leaf = pending.ask.Leaf
	o.config.ReplyTo(pending.key.from, pending.address, reply)
}

func (o *Owner) each(visit func(*ownedLeaf)) {
	o.mu.RLock()
	leafs := make([]*ownedLeaf, 0, len(o.leafs))
	for _, owned := range o.leafs {
		leafs = append(leafs, owned)
	}
	o.mu.RUnlock()
	for _, owned := range leafs {
		visit(owned)
	}
}

func (o *Owner) sweepLoop() {
	o.every(sweepInterval, func() { o.each((*ownedLeaf).sweep) })
}

func (o *Owner) holdingsLoop() {
	o.every(holdingsInterval, func() {
		o.each(func(owned *ownedLeaf) { o.group.Go(owned.refreshHoldings) })
	})
}

func (o *Owner) every(interval time.Duration, work func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-o.stop:
			return
		case <-ticker.C:
			work()
		}
	}
}
