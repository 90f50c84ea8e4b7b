// A course is one query under way: its asks go to the owners of the leafs,
// and what comes back decides on the next ones.

package dispatcher

import (
	"time"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/fellow"
	"lovagedeck/pkg/tabulator"
)

type (
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

func (d *Dispatcher) onTime(c *course) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.carryOut(c, c.query.OnTimer(d.config.Now()))
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
	d.catalogue.SetHoldings(leaf, toHoldings(reply.Holdings))
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
		case coordinator.Send:
			d.ask(c, a)
		case coordinator.Cancel:
			delete(d.running, a.Attempt)
			if owner, ok := c.owners[a.Attempt]; ok {
				d.config.Transport.Cancel(owner, a.Attempt)
			}
		case coordinator.Replan:
			d.startOver(c)
			return
		case coordinator.Finish:
			c.timer.Stop()
			c.done <- a.Answer
			return
		}
	}
	if !c.query.Done() {
		c.timer.Reset(max(0, c.query.WakeAt()-d.config.Now()))
	}
}

func (d *Dispatcher) startOver(c *course) {
	now := d.config.Now()
	plan, ok := d.catalogue.PlanQuery(c.request.Services, d.view)
	if !ok || !c.query.IsNewer(plan) {
		d.carryOut(c, c.query.KeepPlan(now))
		return
	}
	d.carryOut(c, c.query.Restart(plan, now))
}

func (d *Dispatcher) ask(c *course, a coordinator.Send) {
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
		Effect: !c.request.Idempotent, Hedge: a.IsHedge, Caller: c.request.Caller, Weight: c.request.Weight,
		Priority: c.priority, Text: c.request.Text,
	})
}

// refuseLater answers an ask that has no owner after the present step has ended.
func (d *Dispatcher) refuseLater(a coordinator.Send, reason string) {
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

// isUnavailable tells whether a reply says that nothing can be sent to the leaf for a while.
func isUnavailable(reply fellow.Reply) bool {
	if reply.Kind != fellow.KindNotRun {
		return false
	}
	return !reply.Condition.Known || reply.Condition.Resting
}
