// An exchange is one request to a leaf. Its result becomes the reply to the
// instance that sent the request, and also updates the admission and the
// holdings of the leaf.

package owner

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/admitter"
	"lovagedeck/pkg/leaf"
	"lovagedeck/pkg/limiter"
	"lovagedeck/pkg/peer"
)

func (l *ownedLeaf) send(client *leaf.Client, pending *pendingRequest, queueTime time.Duration, conditionAtSend admitter.Condition) {
	now := l.owner.config.Now()
	remaining := pending.deadline - now
	leafRequest := leaf.Request{
		ID: pending.leafRequestID, QueryID: pending.request.Query, Service: pending.request.Service, Shard: pending.request.Shard,
		Index: pending.request.Index, Version: pending.request.Version, RemainingUs: remaining.Microseconds(),
		IsNonIdempotent: pending.request.Effect, Text: pending.request.Text,
	}
	l.owner.sentCount.Inc()
	exchange, err := client.Search(leafRequest, max(remaining, 0)+responseMargin)
	reply, outcome := l.classify(exchange, err)
	reply.Queue, reply.Connect, reply.LeafTime = queueTime, exchange.ConnectTime(), exchange.ResponseTime()
	now = l.owner.config.Now()
	l.mu.Lock()
	l.admission.Done(pending.admissionID, outcome, now)
	l.updateFrom(exchange.Response())
	l.updateRateLimit(exchange, now)
	reply.Condition = toCondition(l.admission.Condition(now), now)
	// The last reset of the limit is reported as it was known when the request was sent.
	reply.Condition.ClosedFor = now - conditionAtSend.LimitResetAt
	reply.Condition.ClosedReason = conditionAtSend.LimitResetReason
	reply.Holdings = l.holdings
	l.mu.Unlock()
	l.owner.complete(pending, reply)
	l.sendAdmitted()
}

// classify returns the reply for a finished exchange and the outcome to record with the admission.
func (l *ownedLeaf) classify(exchange leaf.Exchange, err error) (peer.Reply, admitter.Outcome) {
	if err != nil {
		return classifyError(err)
	}
	response := exchange.Response()
	reply := peer.Reply{Index: response.Index, Version: response.Version, Shard: response.Shard, Reason: response.Reason}
	switch {
	case exchange.OK():
		reply.Kind = peer.KindSuccess
		reply.Body = response.Hits
		if l.hasRestarted(response.RunID) {
			return reply, admitter.Restarted{}
		}
		return reply, admitter.Answered{}
	case exchange.Refused():
		reply.Kind = peer.KindNotRun
		reply.Overload = response.Reason == leaf.ReasonShed
		if response.Reason == leaf.ReasonVersionGone {
			return reply, admitter.Cancelled{}
		}
		return reply, admitter.Shed{}
	}
	reply.Kind = peer.KindUnknownOutcome
	return reply, admitter.Cancelled{}
}

func classifyError(err error) (peer.Reply, admitter.Outcome) {
	reply := peer.Reply{Kind: peer.KindUnknownOutcome, Reason: err.Error(), Faulty: true}
	var leafError *leaf.Error
	if !errors.As(err, &leafError) {
		return reply, admitter.ConnectionFailed{}
	}
	if leafError.Step() == leaf.StepSendCheck {
		return peer.Reply{Kind: peer.KindNotRun, Reason: leafError.Unwrap().Error()}, admitter.Cancelled{}
	}
	if leafError.NotSent() {
		reply.Kind = peer.KindNotRun
		reply.Reason = peer.ReasonConnect
		return reply, admitter.ConnectionFailed{}
	}
	reply.Reason = string(leafError.Step())
	if leafError.Timeout() {
		reply.Reason = "leaf-timeout"
		return reply, admitter.TimedOut{}
	}
	return reply, admitter.ConnectionFailed{}
}

// hasRestarted reports whether runID identifies another run of the leaf than the one last seen.
func (l *ownedLeaf) hasRestarted(runID string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runID != "" && runID != "" && l.runID != runID
}

// updateFrom records the run identifier and the holdings in a response; l.mu must be held.
func (l *ownedLeaf) updateFrom(response leaf.Response) {
	if response.RunID != "" {
		if l.runID != "" && l.runID != response.RunID {
			l.owner.config.RecordEvent("leaf-restarted", string(l.record.ID), "the leaf started again")
		}
		l.runID = response.RunID
	}
	if len(response.Holdings) == 0 {
		return
	}
	l.holdings = make([]peer.Holding, 0, len(response.Holdings))
	for _, holding := range response.Holdings {
		l.holdings = append(l.holdings, peer.Holding(holding))
	}
}

// updateRateLimit records the rate limit that a response states; l.mu must be held. A refusal without one does not end the
// limit.
func (l *ownedLeaf) updateRateLimit(exchange leaf.Exchange, now time.Duration) {
	perSecond, isStated, err := exchange.Response().StatedRate()
	if err != nil && !l.hasRateProblem {
		l.hasRateProblem = true
		l.owner.config.RecordEvent("rate-limit-invalid", string(l.record.ID), err.Error())
	}
	if err != nil || !isStated && !exchange.OK() {
		return
	}
	change := l.admission.OnRateLimit(isStated, perSecond/float64(max(1, l.owner.config.SplitInstances)), now-exchange.ResponseTime(), now)
	if change != limiter.Unchanged {
		l.owner.config.RecordEvent("rate-limit-"+change.String(), string(l.record.ID), fmt.Sprintf("%g requests a second", perSecond))
	}
}

func isOverload(refusal admitter.Refusal) bool {
	switch refusal {
	case admitter.RefusedPriority, admitter.RefusedQueueFull, admitter.RefusedDeadline:
		return true
	}
	return false
}
