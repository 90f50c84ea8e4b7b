package owner

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"

	"lovagedeck/pkg/admitter"
	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/leaf"
	"lovagedeck/pkg/peer"
	"lovagedeck/pkg/tabulator"
)

const (
	sweepInterval    = 5 * time.Millisecond
	holdingsInterval = time.Second
)

type (
	// SendReply sends a reply to the instance that sent the request.
	SendReply func(to tabulator.MemberID, address string, reply peer.Reply)

	// RequestRelease asks the previous owner to release a leaf, and returns false if that owner could not be reached.
	RequestRelease func(from tabulator.Member, epoch uint64, id assigner.LeafID) (peer.ReleasedLeaf, bool)

	// RecordEvent adds an event to the timeline of the instance.
	RecordEvent func(kind, peer, text string)

	// Config holds the settings of an Owner and the functions of the instance that it uses.
	Config struct {
		Self       tabulator.MemberID
		DataCentre string
		// Now returns the time since a fixed start on a monotonic clock.
		Now func() time.Duration
		// LeaseHeld reports whether this instance holds a valid lease at the given time.
		LeaseHeld      func(now time.Duration) bool
		SendReply      SendReply
		RequestRelease RequestRelease
		RecordEvent    RecordEvent
		Dial           leaf.Dial
		Growth         admitter.Growth
		// SplitInstances is the number of instances that each use an equal share of the slots and connections of every leaf.
		// Zero means that each leaf has one owner.
		SplitInstances int
	}

	// Owner admits and sends requests for the leafs that this instance owns.
	Owner struct {
		config     Config
		mu         sync.RWMutex
		ownedLeafs map[assigner.LeafID]*ownedLeaf
		// releasedInEpoch is the latest epoch in which another member requested the release of each leaf. The leaf is not
		// acquired again until a later epoch assigns it to this instance.
		releasedInEpoch   map[assigner.LeafID]uint64
		unclaimedReleases map[assigner.LeafID]unclaimedRelease
		pendingRequests   map[requestKey]*pendingRequest
		view              *tabulator.View
		assignment        *assigner.Map
		records           map[assigner.LeafID]coordinator.LeafRecord
		sequence          uint64
		group             conc.WaitGroup
		stop              chan struct{}
		isDraining        bool
		sentCount         *metrics.Counter
		refusedCount      *metrics.Counter
	}

	// requestKey identifies a request by the instance that sent it and the identifier that this instance gave it.
	requestKey struct {
		from tabulator.MemberID
		id   uint64
	}

	// unclaimedRelease is the state of a leaf that this instance no longer owns and that the next owner has not yet requested.
	unclaimedRelease struct {
		released peer.ReleasedLeaf
		endedAt  time.Duration
	}

	// pendingRequest is a request that was received and not yet replied to.
	pendingRequest struct {
		key          requestKey
		replyAddress string
		request      peer.Request
		leaf         *ownedLeaf
		admissionID  uint64
		deadline     time.Duration
		// leafRequestID identifies the request at the leaf; it is empty until the request is sent.
		leafRequestID string
	}
)

// New returns an owner without leafs, whose counters are in set.
func New(config Config, set *metrics.Set) *Owner {
	return &Owner{
		config: config, ownedLeafs: map[assigner.LeafID]*ownedLeaf{}, releasedInEpoch: map[assigner.LeafID]uint64{},
		unclaimedReleases: map[assigner.LeafID]unclaimedRelease{},
		pendingRequests:   map[requestKey]*pendingRequest{}, view: tabulator.NewView(), assignment: assigner.NewMap(tabulator.NewView()),
		records: map[assigner.LeafID]coordinator.LeafRecord{}, stop: make(chan struct{}),
		sentCount:    set.GetOrCreateCounter("lovagedeck_leaf_requests_total"),
		refusedCount: set.GetOrCreateCounter("lovagedeck_leaf_refusals_total"),
	}
}

// Run starts the periodic maintenance of the owned leafs and returns; Close stops it.
func (o *Owner) Run() {
	o.group.Go(o.sweepLoop)
	o.group.Go(o.holdingsLoop)
}

// Close refuses all queued requests and waits for the running ones to end.
func (o *Owner) Close() {
	close(o.stop)
	o.mu.Lock()
	leafs := o.ownedLeafs
	o.ownedLeafs = map[assigner.LeafID]*ownedLeaf{}
	o.mu.Unlock()
	for _, owned := range leafs {
		owned.endOwnership(peer.ReasonNotOwner)
	}
	o.group.Wait()
}

// OnView applies a new table and membership.
func (o *Owner) OnView(view *tabulator.View) {
	o.mu.Lock()
	o.view = view
	o.assignment = o.assignment.Next(view)
	o.reconcile()
	o.mu.Unlock()
}

// OnLeafList replaces the list of known leafs.
func (o *Owner) OnLeafList(records []coordinator.LeafRecord) {
	recordsByID := make(map[assigner.LeafID]coordinator.LeafRecord, len(records))
	for _, record := range records {
		recordsByID[record.ID] = record
	}
	o.mu.Lock()
	o.records = recordsByID
	o.reconcile()
	o.mu.Unlock()
}

// OnRequests processes requests of an instance, which may be this one, and replies to address.
func (o *Owner) OnRequests(from tabulator.MemberID, address string, requests []peer.Request) {
	for _, request := range requests {
		o.onRequest(from, address, request)
	}
}

// OnCancels cancels the requests of an instance that have the given identifiers; it sends no reply for them.
func (o *Owner) OnCancels(from tabulator.MemberID, ids []uint64) {
	for _, id := range ids {
		key := requestKey{from: from, id: id}
		o.mu.Lock()
		pending := o.pendingRequests[key]
		delete(o.pendingRequests, key)
		o.mu.Unlock()
		if pending != nil {
			pending.leaf.cancel(pending)
		}
	}
}

// Holdings returns the holdings of those of the given leafs that are owned here and have reported any, by leaf identifier.
func (o *Owner) Holdings(ids []string) map[string][]peer.Holding {
	holdingsByLeaf := make(map[string][]peer.Holding, len(ids))
	for _, id := range ids {
		if owned := o.findLeaf(assigner.LeafID(id)); owned != nil {
			if holdings := owned.currentHoldings(); len(holdings) > 0 {
				holdingsByLeaf[id] = holdings
			}
		}
	}
	return holdingsByLeaf
}

// Release ends the ownership of the requested leafs and returns the state of each for the next owner.
func (o *Owner) Release(query peer.ReleaseQuery) []peer.ReleasedLeaf {
	released := make([]peer.ReleasedLeaf, 0, len(query.Leafs))
	for _, id := range query.Leafs {
		released = append(released, o.release(assigner.LeafID(id), query))
	}
	return released
}

// Drain marks the owner as draining; queued and running requests are not affected.
func (o *Owner) Drain() {
	o.mu.Lock()
	o.isDraining = true
	o.mu.Unlock()
}

// LeafCount returns the number of leafs that this instance owns.
func (o *Owner) LeafCount() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return len(o.ownedLeafs)
}

// OpenLeafCount returns the number of owned leafs whose fence has opened.
func (o *Owner) OpenLeafCount() int {
	count := 0
	o.forEachLeaf(func(owned *ownedLeaf) {
		if owned.isOpen() {
			count++
		}
	})
	return count
}

// Conditions returns the load and admission state of each owned leaf.
func (o *Owner) Conditions() map[assigner.LeafID]peer.Condition {
	o.mu.RLock()
	defer o.mu.RUnlock()
	conditions := make(map[assigner.LeafID]peer.Condition, len(o.ownedLeafs))
	for id, owned := range o.ownedLeafs {
		conditions[id] = owned.condition()
	}
	return conditions
}

// PendingCount returns the number of requests that are queued or running.
func (o *Owner) PendingCount() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return len(o.pendingRequests)
}

func (o *Owner) findLeaf(id assigner.LeafID) *ownedLeaf {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.ownedLeafs[id]
}

func (o *Owner) onRequest(from tabulator.MemberID, address string, request peer.Request) {
	now := o.config.Now()
	pending := &pendingRequest{
		key: requestKey{from: from, id: request.ID}, replyAddress: address, request: request,
		deadline: now + time.Duration(request.RemainingUs)*time.Microsecond,
	}
	o.mu.Lock()
	owned := o.ownedLeafs[assigner.LeafID(request.Leaf)]
	epoch := o.assignment.Epoch()
	_, isDuplicate := o.pendingRequests[pending.key]
	if owned == nil || isDuplicate || !o.config.LeaseHeld(now) {
		o.mu.Unlock()
		if isDuplicate {
			return
		}
		o.refuse(pending, o.refusalReason(owned), epoch)
		return
	}
	o.sequence++
	pending.admissionID = o.sequence
	pending.leaf = owned
	o.pendingRequests[pending.key] = pending
	o.mu.Unlock()
	owned.submit(pending, now)
}

func (o *Owner) refusalReason(owned *ownedLeaf) string {
	if owned == nil {
		return peer.ReasonNotOwner
	}
	return peer.ReasonNoLease
}

func (o *Owner) refuse(pending *pendingRequest, reason string, epoch uint64) {
	o.refusedCount.Inc()
	o.config.SendReply(pending.key.from, pending.replyAddress, peer.Reply{
		ID: pending.request.ID, Leaf: pending.request.Leaf, Kind: peer.KindNotRun, Reason: reason, Epoch: epoch,
	})
}

// complete removes a pending request and replies to it, unless it was cancelled in the meantime.
func (o *Owner) complete(pending *pendingRequest, reply peer.Reply) {
	o.mu.Lock()
	_, isPending := o.pendingRequests[pending.key]
	delete(o.pendingRequests, pending.key)
	reply.Epoch = o.assignment.Epoch()
	o.mu.Unlock()
	if !isPending {
		return
	}
	if reply.Kind == peer.KindNotRun {
		o.refusedCount.Inc()
	}
	reply.ID = pending.request.ID
	reply.Leaf = pending.request.Leaf
	o.config.SendReply(pending.key.from, pending.replyAddress, reply)
}

func (o *Owner) forEachLeaf(visit func(*ownedLeaf)) {
	o.mu.RLock()
	snapshot := make([]*ownedLeaf, 0, len(o.ownedLeafs))
	for _, owned := range o.ownedLeafs {
		snapshot = append(snapshot, owned)
	}
	o.mu.RUnlock()
	for _, owned := range snapshot {
		visit(owned)
	}
}

func (o *Owner) sweepLoop() {
	o.runEvery(sweepInterval, func() { o.forEachLeaf((*ownedLeaf).sweep) })
}

func (o *Owner) holdingsLoop() {
	o.runEvery(holdingsInterval, func() {
		o.forEachLeaf(func(owned *ownedLeaf) { o.group.Go(owned.refreshHoldings) })
	})
}

func (o *Owner) runEvery(interval time.Duration, work func()) {
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
