// Admission control for one leaf. The number of requests in flight is bounded
// by the concurrency limit, which is at most the number of slots configured for
// the leaf. A request without an answer occupies its slot until the leaf can no
// longer be running it.

package admitter

import (
	"math"
	"time"
)

const (
	// NotRefused means that the request was accepted.
	NotRefused Refusal = ""
	// RefusedQueueFull means that the queue is full.
	RefusedQueueFull Refusal = "queue-full"
	// RefusedDeadline means that the request cannot be answered before its deadline.
	RefusedDeadline Refusal = "deadline-too-near"
	// RefusedBackoff means that the leaf is in backoff after it shed a request or its connection failed.
	RefusedBackoff Refusal = "leaf-resting"
	// RefusedPriority means that the priority of the request is below the overload threshold.
	RefusedPriority Refusal = "overloaded"
	// RefusedCold means that the request is a hedge and the leaf is cold or in backoff.
	RefusedCold Refusal = "leaf-cold"
	// RefusedRateLimit means that the rate limit of the leaf leaves no room for the request before its deadline, or for a hedge.
	RefusedRateLimit Refusal = "rate-limited"
	// RefusedBusy means that the request is a hedge and would have to wait in the queue.
	RefusedBusy Refusal = "leaf-busy"
)

const (
	queueLengthPerSlot = 32
	thresholdWindow    = 100 * time.Millisecond
	thresholdIncrease  = 0.05
	thresholdDecrease  = 0.02
	// refusedWaitTargets is the wait, in multiples of the target, that a refused request adds to the average.
	refusedWaitTargets = 2
	maxThreshold       = 0.95
	// waitTargetDivisor makes the target wait in the queue a quarter of a request's timeout.
	waitTargetDivisor = 4
	minWaitTarget     = 5 * time.Millisecond
	// deadlineGrace is how long after its deadline a request without an answer still occupies its slot.
	deadlineGrace = 250 * time.Millisecond
)

type (
	// Refusal is the reason why a request was not accepted; the leaf has not received it.
	Refusal string

	// Option configures an Admitter.
	Option func(*Admitter)

	// Admitter decides which requests one leaf receives; it is not safe for concurrent use.
	Admitter struct {
		slots    int
		queue    *queue
		warmUp   *warmUp
		inFlight map[uint64]inFlightRequest
		// unconfirmedUntil holds, for each request without an answer that the leaf may still run, the time until which it
		// occupies a slot.
		unconfirmedUntil []time.Duration
		threshold        threshold
		rateLimit        rateLimit
		// lastTimeout is the time that the last accepted request had until its deadline.
		lastTimeout time.Duration
	}

	// Outcome is how a request sent to the leaf ended: Answered, Shed, ConnectionFailed, Restarted, Cancelled or TimedOut.
	Outcome interface {
		isOutcome()
	}

	// Answered means that the leaf answered.
	Answered struct{}

	// Shed means that the leaf refused the request without running it.
	Shed struct{}

	// ConnectionFailed means that the connection to the leaf failed before an answer arrived.
	ConnectionFailed struct{}

	// Restarted means that the leaf answered and has restarted since its previous answer.
	Restarted struct{}

	// Cancelled means that the leaf has stopped the request, or answered without running it, or never received it. Its slot is
	// free at once, and the concurrency limit does not change.
	Cancelled struct{}

	// TimedOut means that the deadline passed before an answer arrived.
	TimedOut struct{}

	// Condition is the admission state of a leaf, as its owner reports it to other instances.
	Condition struct {
		Limit     float64
		Slots     int
		Running   int
		Queued    int
		Latency   time.Duration
		Threshold float64
		InBackoff bool
		IsCold    bool
		// IsRateLimited is set while the leaf states a rate limit, and SlotWait is the time until it takes another request.
		IsRateLimited    bool
		SlotWait         time.Duration
		LimitResetAt     time.Duration
		LimitResetReason string
	}

	inFlightRequest struct {
		request   Request
		startedAt time.Duration
	}

	threshold struct {
		value     float64
		windowEnd time.Duration
		totalWait time.Duration
		dequeued  int
		refused   int
	}
)

func (Answered) isOutcome()         {}
func (Shed) isOutcome()             {}
func (ConnectionFailed) isOutcome() {}
func (Restarted) isOutcome()        {}
func (Cancelled) isOutcome()        {}
func (TimedOut) isOutcome()         {}

// WithGrowth sets how the concurrency limit grows; the default is AdditiveGrowth.
func WithGrowth(growth Growth) Option {
	return func(a *Admitter) { a.warmUp.growth = growth }
}

// WithHandover starts with the state that the previous owner handed over: its concurrency limit, the usual latency of
// the leaf, and the number of requests that may run until the given time.
func WithHandover(limit float64, latency time.Duration, inFlight int, until time.Duration) Option {
	return func(a *Admitter) {
		a.warmUp.limit = max(minLimit, min(limit, float64(a.slots)))
		a.warmUp.baseline = latency
		a.warmUp.resetReason = "handed over"
		for range inFlight {
			a.unconfirmedUntil = append(a.unconfirmedUntil, until)
		}
	}
}

// New returns an Admitter for a leaf with the given number of slots; its concurrency limit starts at one.
func New(slots int, now time.Duration, options ...Option) *Admitter {
	admitter := &Admitter{
		slots: slots, queue: newQueue(), warmUp: newWarmUp(AdditiveGrowth{}, now), inFlight: map[uint64]inFlightRequest{},
	}
	for _, option := range options {
		option(admitter)
	}
	return admitter
}

// SetSlots changes the number of slots.
func (a *Admitter) SetSlots(slots int) {
	a.slots = slots
	a.warmUp.limit = min(a.warmUp.limit, float64(slots))
}

// Offer adds a request to the queue, or returns the reason for its refusal.
func (a *Admitter) Offer(request Request, now time.Duration) Refusal {
	refusal := a.check(request, now)
	if refusal != NotRefused {
		a.threshold.onRefused(refusal)
		return refusal
	}
	a.lastTimeout = request.Deadline - now
	a.queue.push(request, now)
	return NotRefused
}

// Next returns the request to send now, if any, and how long it waited in the queue.
func (a *Admitter) Next(now time.Duration) (Request, time.Duration, bool) {
	a.checkInFlight(now)
	if a.warmUp.inBackoff(now) || a.occupiedSlots(now) >= a.limit() {
		return Request{}, 0, false
	}
	if a.queue.length == 0 || !a.TakeSlot(now) {
		return Request{}, 0, false
	}
	head, _ := a.queue.pop()
	waited := now - head.enqueuedAt
	a.threshold.onDequeued(waited)
	a.inFlight[head.request.ID] = inFlightRequest{request: head.request, startedAt: now}
	return head.request, waited, true
}

// Expire removes and returns the queued requests that can no longer be answered before their deadline. It also updates
// the overload threshold.
func (a *Admitter) Expire(now time.Duration) []Request {
	latency := a.warmUp.baseline / 2
	expired := a.queue.removeIf(func(e entry) bool { return now+latency >= e.request.Deadline })
	requests := make([]Request, 0, len(expired))
	for _, e := range expired {
		a.threshold.onDequeued(now - e.enqueuedAt)
		requests = append(requests, e.request)
	}
	a.threshold.update(now, a.waitTarget())
	return requests
}

// Remove removes a request from the queue and reports whether it was still queued.
func (a *Admitter) Remove(id uint64) bool {
	_, ok := a.queue.remove(id)
	return ok
}

// RemoveAll removes and returns all queued requests.
func (a *Admitter) RemoveAll() []Request {
	var requests []Request
	for {
		head, ok := a.queue.pop()
		if !ok {
			return requests
		}
		requests = append(requests, head.request)
	}
}

// Done records how a sent request ended; an unknown id is ignored.
func (a *Admitter) Done(id uint64, outcome Outcome, now time.Duration) {
	sent, ok := a.inFlight[id]
	if !ok {
		return
	}
	delete(a.inFlight, id)
	switch outcome.(type) {
	case Answered:
		a.warmUp.onAnswer(now-sent.startedAt, now, a.slots)
	case Restarted:
		a.warmUp.reset(now, "restarted")
	case Shed:
		a.warmUp.backOff(now, "shed")
	case ConnectionFailed:
		a.warmUp.backOff(now, "connection broken")
		a.reserveSlot(sent)
	case TimedOut:
		a.warmUp.reset(now, "no answer")
		a.reserveSlot(sent)
	}
}

// reserveSlot keeps the slot of a request without an answer occupied until the leaf must have stopped running it.
func (a *Admitter) reserveSlot(sent inFlightRequest) {
	a.unconfirmedUntil = append(a.unconfirmedUntil, sent.request.Deadline+deadlineGrace)
}

// OnRestart records that the leaf has restarted, which resets the concurrency limit.
func (a *Admitter) OnRestart(now time.Duration) { a.warmUp.reset(now, "restarted") }

// RemainingRunTime returns how long from now the last of the sent requests may still run at the leaf.
func (a *Admitter) RemainingRunTime(now time.Duration) time.Duration {
	var longest time.Duration
	for _, sent := range a.inFlight {
		longest = max(longest, sent.request.Deadline+deadlineGrace-now)
	}
	for _, until := range a.unconfirmedUntil {
		longest = max(longest, until-now)
	}
	return longest
}

// Condition returns the current admission state of the leaf.
func (a *Admitter) Condition(now time.Duration) Condition {
	return Condition{
		Limit: a.warmUp.limit, Slots: a.slots, Running: a.occupiedSlots(now), Queued: a.queue.length,
		Latency: a.warmUp.baseline, Threshold: a.threshold.value, InBackoff: a.warmUp.inBackoff(now),
		IsRateLimited: a.rateLimit.pacer != nil, SlotWait: a.waitForSlots(a.queue.length+1, now),
		IsCold: a.isCold(), LimitResetAt: a.warmUp.resetAt, LimitResetReason: a.warmUp.resetReason,
	}
}

// WakeAt returns the time at which the backoff ends if requests are queued behind it, or 0 if Next need not be called
// before another event.
func (a *Admitter) WakeAt(now time.Duration) time.Duration {
	if a.queue.length == 0 || !a.warmUp.inBackoff(now) {
		return 0
	}
	return a.warmUp.backoffUntil
}

func (a *Admitter) check(request Request, now time.Duration) Refusal {
	if request.IsHedge {
		return a.checkHedge(now)
	}
	if a.warmUp.inBackoff(now) {
		return RefusedBackoff
	}
	if a.queue.length >= queueLengthPerSlot*a.slots {
		return RefusedQueueFull
	}
	if request.Priority < a.threshold.value {
		return RefusedPriority
	}
	if now+a.expectedWait(request.Caller, now)+a.warmUp.baseline > request.Deadline {
		return RefusedDeadline
	}
	if now+a.waitForSlots(a.queue.length+1, now)+a.warmUp.baseline > request.Deadline {
		return RefusedRateLimit
	}
	return NotRefused
}

func (a *Admitter) checkHedge(now time.Duration) Refusal {
	if a.isCold() || a.warmUp.inBackoff(now) {
		return RefusedCold
	}
	if a.rateLimit.pacer != nil {
		return RefusedRateLimit
	}
	if a.queue.length > 0 || a.occupiedSlots(now) >= a.limit() {
		return RefusedBusy
	}
	return NotRefused
}

func (a *Admitter) expectedWait(caller string, now time.Duration) time.Duration {
	ahead := a.queue.countAhead(caller) + a.occupiedSlots(now) - a.limit() + 1
	return time.Duration(max(0, ahead)) * a.warmUp.baseline / time.Duration(a.limit())
}

// checkInFlight resets the limit when several requests in flight already take far longer than usual: the leaf is
// probably cold.
func (a *Admitter) checkInFlight(now time.Duration) {
	slow := 0
	for _, sent := range a.inFlight {
		if a.warmUp.isSlow(now - sent.startedAt) {
			slow++
		}
	}
	if slow >= slowAnswersToReset && a.warmUp.limit > minLimit {
		a.warmUp.reset(now, "slow running requests")
	}
}

// occupiedSlots counts the requests that the leaf runs or may still run.
func (a *Admitter) occupiedSlots(now time.Duration) int {
	kept := a.unconfirmedUntil[:0]
	for _, until := range a.unconfirmedUntil {
		if until > now {
			kept = append(kept, until)
		}
	}
	a.unconfirmedUntil = kept
	return len(a.inFlight) + len(a.unconfirmedUntil)
}

func (a *Admitter) limit() int { return max(1, int(math.Floor(a.warmUp.limit))) }

func (a *Admitter) isCold() bool { return a.limit() < a.slots && a.warmUp.limit <= minLimit }

func (a *Admitter) waitTarget() time.Duration {
	return max(minWaitTarget, a.lastTimeout/waitTargetDivisor)
}

func (t *threshold) onDequeued(waited time.Duration) {
	t.totalWait += waited
	t.dequeued++
}

func (t *threshold) onRefused(refusal Refusal) {
	if refusal == RefusedDeadline || refusal == RefusedQueueFull || refusal == RefusedRateLimit {
		t.refused++
	}
}

// update raises the threshold at the end of a window in which requests waited longer than the target on average, and
// lowers it otherwise.
func (t *threshold) update(now, target time.Duration) {
	if now < t.windowEnd {
		return
	}
	waits := t.totalWait + time.Duration(refusedWaitTargets*t.refused)*target
	requests := max(1, t.dequeued+t.refused)
	if waits/time.Duration(requests) > target {
		t.value = min(maxThreshold, t.value+thresholdIncrease)
	} else {
		t.value = max(0, t.value-thresholdDecrease)
	}
	*t = threshold{value: t.value, windowEnd: now + thresholdWindow}
}
