// An exchange is one request at a leaf; its end is a reply to the asking
// instance, and what the owner learns of the leaf.

package owner

import (
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/admitter"
	"lovagedeck/pkg/fellow"
	"lovagedeck/pkg/leaf"
)

func (l *ownedLeaf) send(client *leaf.Client, pending *pendingAsk, waited time.Duration, state admitter.Condition) {
	now := l.owner.config.Now()
	remaining := pending.deadline - now
	request := leaf.Request{
		ID: pending.wireID, Query: pending.ask.Query, Service: pending.ask.Service, Shard: pending.ask.Shard,
		Index: pending.ask.Index, Version: pending.ask.Version, RemainingUs: remaining.Microseconds(),
		Effect: pending.ask.Effect, Text: pending.ask.Text,
	}
	l.owner.sent.Inc()
	exchange, err := client.Search(request, max(remaining, 0)+leafSlack)
	reply, outcome := l.judge(exchange, err)
	reply.Queue, reply.Connect, reply.LeafTime = waited, exchange.Connect(), exchange.Leaf()
	now = l.owner.config.Now()
	l.mu.Lock()
	l.admission.Done(pending.itemID, outcome, now)
	l.learn(exchange.Response())
	reply.Condition = toCondition(l.admission.Condition(now), now)
	reply.Condition.ClosedFor = now - state.LimitResetAt
	reply.Condition.ClosedReason = state.LimitResetReason
	reply.Holdings = l.holdings
	l.mu.Unlock()
	l.owner.settle(pending, reply)
	l.pump()
}

// judge turns the end of an exchange into a reply and into evidence for the admission.
func (l *ownedLeaf) judge(exchange leaf.Exchange, err error) (fellow.Reply, admitter.Outcome) {
	if err != nil {
		return judgeError(err)
	}
	response := exchange.Response()
	reply := fellow.Reply{Index: response.Index, Version: response.Version, Shard: response.Shard, Reason: response.Reason}
	switch {
	case exchange.OK():
		reply.Kind = fellow.KindHit
		reply.Body = response.Hits
		if l.startChanged(response.Start) {
			return reply, admitter.Restarted{}
		}
		return reply, admitter.Answered{}
	case exchange.Refused():
		reply.Kind = fellow.KindNotRun
		reply.Overload = response.Reason == leaf.ReasonShed
		if response.Reason == leaf.ReasonVersionGone {
			return reply, admitter.Cancelled{}
		}
		return reply, admitter.Shed{}
	}
	reply.Kind = fellow.KindUnknown
	return reply, admitter.Cancelled{}
}

func judgeError(err error) (fellow.Reply, admitter.Outcome) {
	reply := fellow.Reply{Kind: fellow.KindUnknown, Reason: err.Error(), Faulty: true}
	var fault *leaf.Error
	if !errors.As(err, &fault) {
		return reply, admitter.ConnectionFailed{}
	}
	if fault.Step() == leaf.StepGate {
		return fellow.Reply{Kind: fellow.KindNotRun, Reason: fault.Unwrap().Error()}, admitter.Cancelled{}
	}
	if fault.NotSent() {
		reply.Kind = fellow.KindNotRun
		reply.Reason = fellow.ReasonConnect
		return reply, admitter.ConnectionFailed{}
	}
	reply.Reason = string(fault.Step())
	if fault.Timeout() {
		reply.Reason = "leaf-timeout"
		return reply, admitter.TimedOut{}
	}
	return reply, admitter.ConnectionFailed{}
}

func (l *ownedLeaf) startChanged(start string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.start != "" && start != "" && l.start != start
}

// learn takes what a response says of the leaf; l.mu is held.
func (l *ownedLeaf) learn(response leaf.Response) {
	if response.Start != "" {
		if l.start != "" && l.start != response.Start {
			l.owner.config.Note("leaf-restarted", string(l.record.ID), "the leaf started again")
		}
		l.start = response.Start
	}
	if len(response.Holdings) == 0 {
		return
	}
	l.holdings = make([]fellow.Holding, 0, len(response.Holdings))
	for _, holding := range response.Holdings {
		l.holdings = append(l.holdings, fellow.Holding(holding))
	}
}

func isOverload(refusal admitter.Refusal) bool {
	switch refusal {
	case admitter.RefusedPriority, admitter.RefusedQueueFull, admitter.RefusedDeadline:
		return true
	}
	return false
}
