// An active query sends its attempts to the owners of the leafs, and the
// coordinator decides on further attempts from the replies and the time.

package dispatcher

import (
	"time"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/peer"
	"lovagedeck/pkg/tabulator"
)

type (
	// activeQuery is a query that has started and not yet ended.
	activeQuery struct {
		id        string
		query     *coordinator.Query
		request   Request
		priority  float64
		startedAt time.Duration
		// owners holds the owner to which each attempt was sent, by attempt identifier.
		owners map[uint64]tabulator.MemberID
		timer  *time.Timer
		// finished receives the answer when the query ends; it is buffered, so that the sender never blocks.
		finished chan coordinator.Answer
	}
)

func (d *Dispatcher) onTimer(active *activeQuery) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.execute(active, active.query.OnTimer(d.config.Now()))
}

// cancelQuery ends a query whose caller is gone, and returns its answer if the query has finished in the meantime.
func (d *Dispatcher) cancelQuery(active *activeQuery) coordinator.Answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.execute(active, active.query.Abandon(d.config.Now()))
	active.timer.Stop()
	select {
	case answer := <-active.finished:
		return answer
	default:
		return coordinator.Answer{Outcome: coordinator.OutcomeFailed, Reason: ReasonCallerGone}
	}
}

// endQuery ends a query at the end of service and returns its answer.
func (d *Dispatcher) endQuery(active *activeQuery) coordinator.Answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.execute(active, active.query.End(d.config.Now()))
	return <-active.finished
}

// onReply passes a reply to its query. It counts and discards a reply that matches no outstanding attempt, but uses the leaf
// state in the reply in either case. d.mu must be held.
func (d *Dispatcher) onReply(reply peer.Reply) {
	now := d.config.Now()
	leaf := assigner.LeafID(reply.Leaf)
	d.catalogue.SetHoldings(leaf, toHoldings(reply.Holdings))
	if reply.Condition.Known {
		d.chooser.OnReport(leaf, toReport(reply.Condition), now)
	}
	active := d.queriesByAttempt[reply.ID]
	if active == nil {
		d.counters.unmatchedReplies.Inc()
		return
	}
	delete(d.queriesByAttempt, reply.ID)
	if isUnavailable(reply) {
		d.chooser.OnUnavailable(leaf, now)
	}
	d.execute(active, active.query.OnReply(toReply(reply), now))
}

// execute carries out the actions of a query and resets its timer unless the query has ended; d.mu must be held.
func (d *Dispatcher) execute(active *activeQuery, actions []coordinator.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case coordinator.Send:
			d.sendRequest(active, a)
		case coordinator.Cancel:
			delete(d.queriesByAttempt, a.Attempt)
			if owner, ok := active.owners[a.Attempt]; ok {
				d.config.Transport.Cancel(owner, a.Attempt)
			}
		case coordinator.Replan:
			d.restart(active)
			return
		case coordinator.Finish:
			active.timer.Stop()
			active.finished <- a.Answer
			return
		}
	}
	if !active.query.Done() {
		active.timer.Reset(max(0, active.query.WakeAt()-d.config.Now()))
	}
}

// restart starts a query again with a plan for a newer index version, or continues it with its current plan if there is none.
func (d *Dispatcher) restart(active *activeQuery) {
	now := d.config.Now()
	plan, ok := d.catalogue.PlanQuery(active.request.Services, d.view)
	if !ok || !active.query.IsNewer(plan) {
		d.execute(active, active.query.KeepPlan(now))
		return
	}
	d.execute(active, active.query.Restart(plan, now))
}

func (d *Dispatcher) sendRequest(active *activeQuery, attempt coordinator.Send) {
	now := d.config.Now()
	d.queriesByAttempt[attempt.Attempt] = active
	record, isListed := d.catalogue.Leaf(attempt.Leaf)
	owner, ok := d.ownerOf(record)
	if !isListed || !ok {
		d.refuseAsync(attempt, peer.ReasonNoOwner)
		return
	}
	active.owners[attempt.Attempt] = owner.ID()
	d.config.Transport.SendRequest(owner, peer.Request{
		ID: attempt.Attempt, Query: active.id, Leaf: string(attempt.Leaf), Service: attempt.Shard.Service, Shard: attempt.Shard.Number,
		Index: attempt.Version.Index, Version: attempt.Version.Number, RemainingUs: (attempt.Deadline - now).Microseconds(),
		Effect: !active.request.Idempotent, Hedge: attempt.IsHedge, Caller: active.request.Caller, Weight: active.request.Weight,
		Priority: active.priority, Text: active.request.Text,
	})
}

// refuseAsync refuses an attempt whose leaf has no owner. It replies from another goroutine, because d.mu is held
// here and the current actions of the query must be completed first.
func (d *Dispatcher) refuseAsync(attempt coordinator.Send, reason string) {
	go d.OnReplies(d.config.Self, []peer.Reply{{ID: attempt.Attempt, Leaf: string(attempt.Leaf), Kind: peer.KindNotRun, Reason: reason}})
}

func (d *Dispatcher) ownerOf(record coordinator.LeafRecord) (tabulator.Member, bool) {
	if d.config.UsesLocalOwner {
		return d.view.Member(d.config.Self.Instance)
	}
	return d.assignment.Owner(assigner.NewLeaf(record.ID, record.DataCentre))
}

func (d *Dispatcher) isOwnerUnresponsive(leaf assigner.LeafID) bool {
	record, ok := d.catalogue.Leaf(leaf)
	if !ok {
		return true
	}
	owner, ok := d.ownerOf(record)
	return !ok || d.config.Transport.IsUnresponsive(owner.ID())
}

// isUnavailable reports whether a reply shows that the leaf accepts no requests at present: it refused the request, and it is
// in backoff or no state of it was reported.
func isUnavailable(reply peer.Reply) bool {
	if reply.Kind != peer.KindNotRun {
		return false
	}
	return !reply.Condition.Known || reply.Condition.Resting
}
