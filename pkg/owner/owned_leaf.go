package owner

import (
	"fmt"
	"sync"
	"time"

	"lovagedeck/pkg/admitter"
	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/fellow"
	"lovagedeck/pkg/leaf"
	"lovagedeck/pkg/tabulator"
)

const (
	releaseTries     = 3
	releasePause     = 100 * time.Millisecond
	leafSlack        = 10 * time.Millisecond
	spareConnections = 2
)

// ownedLeaf is one ownership of one leaf.
type ownedLeaf struct {
	owner     *Owner
	mu        sync.Mutex
	record    coordinator.LeafRecord
	row       tabulator.Row
	admission *admitter.Admitter
	fence     *assigner.Fence
	client    *leaf.Client
	items     map[uint64]*pendingAsk
	holdings  []fellow.Holding
	start     string
	opened    bool
	retired   bool
}

func newOwnedLeaf(o *Owner, record coordinator.LeafRecord, row tabulator.Row) *ownedLeaf {
	now := o.config.Now()
	owned := &ownedLeaf{
		owner: o, record: record, row: row, items: map[uint64]*pendingAsk{},
		fence: assigner.NewFence(now, assigner.FenceWait()),
	}
	owned.admission = admitter.New(owned.slots(), now, admitter.WithGrowth(o.config.Growth))
	owned.client = owned.newClient()
	return owned
}

func (l *ownedLeaf) newClient() *leaf.Client {
	record := l.record
	options := []leaf.Option{
		leaf.WithDataCentre(l.owner.config.DataCentre),
		leaf.WithGate(func() error { return l.owner.takesWork(record) }),
	}
	if l.owner.config.Dial != nil {
		options = append(options, leaf.WithDial(l.owner.config.Dial))
	}
	return leaf.New(record.Address, l.connections(), options...)
}

func (l *ownedLeaf) slots() int {
	if split := l.owner.config.SplitOver; split > 0 {
		return max(1, l.row.Slots()/split)
	}
	return max(1, l.row.Slots())
}

func (l *ownedLeaf) connections() int {
	if split := l.owner.config.SplitOver; split > 0 {
		return max(1, l.row.Connections()/split)
	}
	return max(1, l.row.Connections())
}

// seekRelease asks the former owner until it answers or the fence opens by itself.
func (l *ownedLeaf) seekRelease(former tabulator.Member, known bool, epoch uint64) {
	for try := 0; known && try < releaseTries; try++ {
		released, reached := l.owner.config.AskRelease(former, epoch, l.record.ID)
		if reached {
			l.onReleased(released)
			return
		}
		time.Sleep(releasePause)
	}
}

func (l *ownedLeaf) onReleased(released fellow.Released) {
	l.mu.Lock()
	l.fence.OnRelease(assigner.Release{
		Open: released.Open, Running: released.Running, RunningUntil: released.RunningUntil,
		Limit: released.Limit, Latency: released.Latency,
	})
	l.mu.Unlock()
	if released.Open {
		l.open()
	}
}

// open starts sending once the fence allows it.
func (l *ownedLeaf) open() {
	now := l.owner.config.Now()
	l.mu.Lock()
	if l.opened || l.retired {
		l.mu.Unlock()
		return
	}
	l.opened = true
	if release, ok := l.fence.Inherited(); ok {
		l.admission = admitter.New(l.slots(), now, admitter.WithGrowth(l.owner.config.Growth),
			admitter.WithHandover(release.Limit, release.Latency, release.Running, now+release.RunningUntil))
		l.client.SetConnections(max(1, l.connections()-release.Running))
	}
	l.mu.Unlock()
	l.owner.group.Go(func() {
		_ = l.client.Prepare(min(l.connections(), l.slots()+spareConnections))
		l.refreshHoldings()
	})
}

func (l *ownedLeaf) update(record coordinator.LeafRecord, row tabulator.Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	moved := record.Address != l.record.Address
	l.record = record
	if row.Slots() > 0 {
		l.row = row
		l.admission.SetSlots(l.slots())
		l.client.SetConnections(l.connections())
	}
	if moved {
		l.client.Close()
		l.client = l.newClient()
		l.admission = admitter.New(l.slots(), l.owner.config.Now(), admitter.WithGrowth(l.owner.config.Growth))
	}
}

func (l *ownedLeaf) offer(pending *pendingAsk, now time.Duration) {
	if err := l.owner.takesWork(l.record); err != nil {
		l.owner.settle(pending, l.notRun(err.Error()))
		return
	}
	l.mu.Lock()
	if l.retired || !l.opened {
		reason := fellow.ReasonFenced
		if l.retired {
			reason = fellow.ReasonNotOwner
		}
		l.mu.Unlock()
		l.owner.settle(pending, fellow.Reply{Kind: fellow.KindNotRun, Reason: reason})
		return
	}
	refusal := l.admission.Offer(admitter.Request{
		ID: pending.itemID, Caller: pending.ask.Caller, Weight: pending.ask.Weight, Deadline: pending.deadline,
		Priority: pending.ask.Priority, IsHedge: pending.ask.Hedge,
	}, now)
	if refusal == admitter.NotRefused {
		l.items[pending.itemID] = pending
	}
	l.mu.Unlock()
	if refusal != admitter.NotRefused {
		reply := l.notRun(string(refusal))
		reply.Overload = isOverload(refusal)
		l.owner.settle(pending, reply)
		return
	}
	l.pump()
}

// pump sends what the admission allows now.
func (l *ownedLeaf) pump() {
	for {
		now := l.owner.config.Now()
		l.mu.Lock()
		if l.retired {
			l.mu.Unlock()
			return
		}
		item, waited, ok := l.admission.Next(now)
		if !ok {
			l.mu.Unlock()
			return
		}
		pending := l.items[item.ID]
		delete(l.items, item.ID)
		pending.wireID = fmt.Sprintf("%x-%d", l.owner.config.Self.Incarnation, item.ID)
		state := l.admission.Condition(now)
		client := l.client
		l.mu.Unlock()
		l.owner.group.Go(func() { l.send(client, pending, waited, state) })
	}
}

func (l *ownedLeaf) refreshHoldings() {
	l.mu.Lock()
	client := l.client
	opened := l.opened && !l.retired
	l.mu.Unlock()
	if !opened {
		return
	}
	response, err := client.Holdings()
	if err != nil {
		return
	}
	restarted := l.startChanged(response.Start)
	l.mu.Lock()
	l.learn(response)
	if restarted {
		l.admission.OnRestart(l.owner.config.Now())
	}
	l.mu.Unlock()
}

func (l *ownedLeaf) isOpen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened && !l.retired
}

func (l *ownedLeaf) currentHoldings() []fellow.Holding {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holdings
}

func (l *ownedLeaf) condition() fellow.Condition {
	now := l.owner.config.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return toCondition(l.admission.Condition(now), now)
}

// sweep opens the leaf when its fence has opened and drops what comes too late.
func (l *ownedLeaf) sweep() {
	now := l.owner.config.Now()
	l.mu.Lock()
	opens := !l.opened && !l.retired && l.fence.Phase(now) == assigner.FenceOpen
	var late []*pendingAsk
	if l.opened {
		for _, item := range l.admission.Expire(now) {
			late = append(late, l.items[item.ID])
			delete(l.items, item.ID)
		}
	}
	l.mu.Unlock()
	if opens {
		l.owner.config.Note("leaf-opened", string(l.record.ID), "opened as cold after the wait")
		l.open()
	}
	for _, pending := range late {
		reply := l.notRun(string(admitter.RefusedDeadline))
		reply.Overload = true
		l.owner.settle(pending, reply)
	}
	l.pump()
}

func (l *ownedLeaf) cancel(pending *pendingAsk) {
	l.mu.Lock()
	queued := l.admission.Remove(pending.itemID)
	delete(l.items, pending.itemID)
	client, wireID := l.client, pending.wireID
	l.mu.Unlock()
	if !queued && wireID != "" {
		l.owner.group.Go(func() { _ = client.Cancel(wireID) })
	}
}

// endOwnership stops sending and returns what the next owner needs.
func (l *ownedLeaf) endOwnership() fellow.Released {
	now := l.owner.config.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.admission.Condition(now)
	released := fellow.Released{
		Leaf: string(l.record.ID), Open: l.opened && !l.retired, Running: state.Running,
		RunningUntil: l.admission.RemainingRunTime(now), Limit: state.Limit, Latency: state.Latency,
	}
	l.retired = true
	return released
}

// retire ends the ownership: what is queued is refused, what is running ends by itself.
func (l *ownedLeaf) retire(reason string) {
	l.mu.Lock()
	l.retired = true
	var refused []*pendingAsk
	for _, item := range l.admission.RemoveAll() {
		refused = append(refused, l.items[item.ID])
		delete(l.items, item.ID)
	}
	client := l.client
	l.mu.Unlock()
	client.Close()
	for _, pending := range refused {
		l.owner.settle(pending, fellow.Reply{Kind: fellow.KindNotRun, Reason: reason})
	}
}

func (l *ownedLeaf) notRun(reason string) fellow.Reply {
	return fellow.Reply{Kind: fellow.KindNotRun, Reason: reason, Condition: l.condition(), Holdings: l.currentHoldings()}
}

func toCondition(c admitter.Condition, now time.Duration) fellow.Condition {
	return fellow.Condition{
		Known: true, Limit: c.Limit, Slots: c.Slots, Running: c.Running, Queued: c.Queued, Latency: c.Latency,
		Threshold: c.Threshold, Resting: c.InBackoff, Cold: c.IsCold, ClosedFor: now - c.LimitResetAt, ClosedReason: c.LimitResetReason,
	}
}
