package owner

import (
	"fmt"
	"sync"
	"time"

	"lovagedeck/pkg/admitter"
	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/leaf"
	"lovagedeck/pkg/peer"
	"lovagedeck/pkg/tabulator"
)

const (
	maxReleaseAttempts   = 3
	releaseRetryInterval = 100 * time.Millisecond
	// responseMargin is how long to wait for a response beyond the deadline of its request.
	responseMargin = 10 * time.Millisecond
	// spareConnections is the number of connections opened in advance beyond the slots of a leaf.
	spareConnections = 2
)

// ownedLeaf is the state of one leaf during one ownership by this instance.
type ownedLeaf struct {
	owner     *Owner
	mu        sync.Mutex
	record    coordinator.LeafRecord
	row       tabulator.Row
	admission *admitter.Admitter
	fence     *assigner.Fence
	client    *leaf.Client
	queued    map[uint64]*pendingRequest
	holdings  []peer.Holding
	runID     string
	hasOpened bool
	hasEnded  bool
	// hasRateProblem is set once the leaf has stated an invalid rate limit.
	hasRateProblem bool
}

func newOwnedLeaf(o *Owner, record coordinator.LeafRecord, row tabulator.Row) *ownedLeaf {
	now := o.config.Now()
	owned := &ownedLeaf{
		owner: o, record: record, row: row, queued: map[uint64]*pendingRequest{},
		fence: assigner.NewFence(now, assigner.FenceTimeout()),
	}
	owned.admission = admitter.New(owned.slots(), now, admitter.WithGrowth(o.config.Growth))
	owned.client = owned.newClient()
	return owned
}

func (l *ownedLeaf) newClient() *leaf.Client {
	record := l.record
	options := []leaf.Option{
		leaf.WithDataCentre(l.owner.config.DataCentre),
		leaf.WithSendCheck(func() error { return l.owner.checkSendAllowed(record) }),
	}
	if l.owner.config.Dial != nil {
		options = append(options, leaf.WithDial(l.owner.config.Dial))
	}
	return leaf.New(record.Address, l.connections(), options...)
}

func (l *ownedLeaf) slots() int {
	if split := l.owner.config.SplitInstances; split > 0 {
		return max(1, l.row.Slots()/split)
	}
	return max(1, l.row.Slots())
}

func (l *ownedLeaf) connections() int {
	if split := l.owner.config.SplitInstances; split > 0 {
		return max(1, l.row.Connections()/split)
	}
	return max(1, l.row.Connections())
}

// requestRelease asks the previous owner, if there is one, to release the leaf. After maxReleaseAttempts without a reply it
// leaves the fence to open at its timeout.
func (l *ownedLeaf) requestRelease(previousOwner tabulator.Member, hasPreviousOwner bool, epoch uint64) {
	for attempt := 0; hasPreviousOwner && attempt < maxReleaseAttempts; attempt++ {
		released, isReached := l.owner.config.RequestRelease(previousOwner, epoch, l.record.ID)
		if isReached {
			l.applyRelease(released)
			return
		}
		time.Sleep(releaseRetryInterval)
	}
}

func (l *ownedLeaf) applyRelease(released peer.ReleasedLeaf) {
	l.mu.Lock()
	l.fence.OnRelease(assigner.Release{
		WasOpen: released.Open, RunningRequests: released.Running, RemainingRunTime: released.RunningUntil,
		Limit: released.Limit, Latency: released.Latency,
	})
	l.mu.Unlock()
	if released.Open {
		l.open()
	}
}

// open allows requests to be sent to the leaf, and applies the limit and latency handed over by the previous owner if any.
func (l *ownedLeaf) open() {
	now := l.owner.config.Now()
	l.mu.Lock()
	if l.hasOpened || l.hasEnded {
		l.mu.Unlock()
		return
	}
	l.hasOpened = true
	if release, ok := l.fence.Handover(); ok {
		l.admission = admitter.New(l.slots(), now, admitter.WithGrowth(l.owner.config.Growth),
			admitter.WithHandover(release.Limit, release.Latency, release.RunningRequests, now+release.RemainingRunTime))
		l.client.SetMaxConnections(max(1, l.connections()-release.RunningRequests))
	}
	l.mu.Unlock()
	l.owner.group.Go(func() {
		_ = l.client.Preconnect(min(l.connections(), l.slots()+spareConnections))
		l.refreshHoldings()
	})
}

func (l *ownedLeaf) update(record coordinator.LeafRecord, row tabulator.Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hasMoved := record.Address != l.record.Address
	l.record = record
	if row.Slots() > 0 {
		l.row = row
		l.admission.SetSlots(l.slots())
		l.client.SetMaxConnections(l.connections())
	}
	if hasMoved {
		refused := l.removeQueued()
		l.owner.group.Go(func() { l.refuse(refused, peer.ReasonMoved) })
		l.client.Close()
		l.client = l.newClient()
		l.admission = admitter.New(l.slots(), l.owner.config.Now(), admitter.WithGrowth(l.owner.config.Growth))
	}
}

func (l *ownedLeaf) submit(pending *pendingRequest, now time.Duration) {
	if err := l.owner.checkSendAllowed(l.record); err != nil {
		l.owner.complete(pending, l.notRunReply(err.Error()))
		return
	}
	l.mu.Lock()
	if l.hasEnded || !l.hasOpened {
		reason := peer.ReasonFenced
		if l.hasEnded {
			reason = peer.ReasonNotOwner
		}
		l.mu.Unlock()
		l.owner.complete(pending, peer.Reply{Kind: peer.KindNotRun, Reason: reason})
		return
	}
	refusal := l.admission.Offer(admitter.Request{
		ID: pending.admissionID, Caller: pending.request.Caller, Weight: pending.request.Weight, Deadline: pending.deadline,
		Priority: pending.request.Priority, IsHedge: pending.request.Hedge,
	}, now)
	if refusal == admitter.NotRefused {
		l.queued[pending.admissionID] = pending
	}
	l.mu.Unlock()
	if refusal != admitter.NotRefused {
		reply := l.notRunReply(string(refusal))
		reply.Overload = isOverload(refusal)
		l.owner.complete(pending, reply)
		return
	}
	l.sendAdmitted()
}

// sendAdmitted sends queued requests until the admission allows no more.
func (l *ownedLeaf) sendAdmitted() {
	for {
		now := l.owner.config.Now()
		l.mu.Lock()
		if l.hasEnded {
			l.mu.Unlock()
			return
		}
		item, queueTime, ok := l.admission.Next(now)
		if !ok {
			l.mu.Unlock()
			return
		}
		pending := l.queued[item.ID]
		delete(l.queued, item.ID)
		pending.leafRequestID = fmt.Sprintf("%x-%d", l.owner.config.Self.Incarnation, item.ID)
		condition := l.admission.Condition(now)
		client := l.client
		l.mu.Unlock()
		l.owner.group.Go(func() { l.send(client, pending, queueTime, condition) })
	}
}

func (l *ownedLeaf) refreshHoldings() {
	l.mu.Lock()
	client := l.client
	isAllowed := l.hasOpened && !l.hasEnded && l.admission.TakeSlot(l.owner.config.Now())
	l.mu.Unlock()
	if !isAllowed {
		return
	}
	exchange, err := client.Holdings()
	if err != nil {
		return
	}
	response := exchange.Response()
	restarted := l.hasRestarted(response.RunID)
	l.mu.Lock()
	l.updateFrom(response)
	l.updateRateLimit(exchange, l.owner.config.Now())
	if restarted {
		l.admission.OnRestart(l.owner.config.Now())
	}
	l.mu.Unlock()
}

func (l *ownedLeaf) isOpen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasOpened && !l.hasEnded
}

func (l *ownedLeaf) currentHoldings() []peer.Holding {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holdings
}

func (l *ownedLeaf) condition() peer.Condition {
	now := l.owner.config.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return toCondition(l.admission.Condition(now), now)
}

// sweep opens the leaf if its fence has timed out, refuses queued requests that can no longer meet their deadline, and sends
// the requests that the admission now allows.
func (l *ownedLeaf) sweep() {
	now := l.owner.config.Now()
	l.mu.Lock()
	shouldOpen := !l.hasOpened && !l.hasEnded && l.fence.Phase(now) == assigner.FenceOpen
	var expired []*pendingRequest
	if l.hasOpened {
		for _, item := range l.admission.Expire(now) {
			expired = append(expired, l.queued[item.ID])
			delete(l.queued, item.ID)
		}
	}
	l.mu.Unlock()
	if shouldOpen {
		l.owner.config.RecordEvent("leaf-opened", string(l.record.ID), "opened as cold after the wait")
		l.open()
	}
	for _, pending := range expired {
		reply := l.notRunReply(string(admitter.RefusedDeadline))
		reply.Overload = true
		l.owner.complete(pending, reply)
	}
	l.sendAdmitted()
}

func (l *ownedLeaf) cancel(pending *pendingRequest) {
	l.mu.Lock()
	wasQueued := l.admission.Remove(pending.admissionID)
	delete(l.queued, pending.admissionID)
	client, leafRequestID := l.client, pending.leafRequestID
	l.mu.Unlock()
	if !wasQueued && leafRequestID != "" {
		l.owner.group.Go(func() { _ = client.Cancel(leafRequestID) })
	}
}

// prepareRelease stops sending to the leaf and returns the state that the next owner needs.
func (l *ownedLeaf) prepareRelease() peer.ReleasedLeaf {
	now := l.owner.config.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	condition := l.admission.Condition(now)
	released := peer.ReleasedLeaf{
		Leaf: string(l.record.ID), Open: l.hasOpened && !l.hasEnded, Running: condition.Running,
		RunningUntil: l.admission.RemainingRunTime(now), Limit: condition.Limit, Latency: condition.Latency,
	}
	l.hasEnded = true
	return released
}

// endOwnership stops sending to the leaf, refuses its queued requests with the given reason and lets the running ones complete.
func (l *ownedLeaf) endOwnership(reason string) {
	l.mu.Lock()
	l.hasEnded = true
	refused := l.removeQueued()
	client := l.client
	l.mu.Unlock()
	client.Close()
	l.refuse(refused, reason)
}

// removeQueued empties the queue and returns its requests; l.mu must be held.
func (l *ownedLeaf) removeQueued() []*pendingRequest {
	var removed []*pendingRequest
	for _, item := range l.admission.RemoveAll() {
		removed = append(removed, l.queued[item.ID])
		delete(l.queued, item.ID)
	}
	return removed
}

// refuse replies that requests which were not sent have not run.
func (l *ownedLeaf) refuse(requests []*pendingRequest, reason string) {
	for _, pending := range requests {
		l.owner.complete(pending, peer.Reply{Kind: peer.KindNotRun, Reason: reason})
	}
}

func (l *ownedLeaf) notRunReply(reason string) peer.Reply {
	return peer.Reply{Kind: peer.KindNotRun, Reason: reason, Condition: l.condition(), Holdings: l.currentHoldings()}
}

func toCondition(c admitter.Condition, now time.Duration) peer.Condition {
	return peer.Condition{
		Known: true, Limit: c.Limit, Slots: c.Slots, Running: c.Running, Queued: c.Queued, Latency: c.Latency,
		Threshold: c.Threshold, Resting: c.InBackoff, Cold: c.IsCold, RateLimited: c.IsRateLimited, SlotWait: c.SlotWait,
		ClosedFor: now - c.LimitResetAt, ClosedReason: c.LimitResetReason,
	}
}
