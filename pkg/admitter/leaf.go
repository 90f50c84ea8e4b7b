// Leaf is the admission state of one leaf at its owner. It never lets more
// requests run than the warm-up limit and the slots of the row allow, and it
// counts a request as running until the leaf answered or can no longer be
// running it.

package admitter

import (
	"math"
	"time"
)

const (
	// RefusedNone means that the item was taken.
	RefusedNone Refusal = ""
	// RefusedQueueFull means that the queue has no room.
	RefusedQueueFull Refusal = "queue-full"
	// RefusedTooLate means that the item could not be answered before its deadline.
	RefusedTooLate Refusal = "deadline-too-near"
	// RefusedResting means that nothing is sent to the leaf for a while after it refused or broke off.
	RefusedResting Refusal = "leaf-resting"
	// RefusedPriority means that the overload threshold is above the priority of the item.
	RefusedPriority Refusal = "overloaded"
	// RefusedCold means that a hedge was meant for a leaf that is cold or resting.
	RefusedCold Refusal = "leaf-cold"
	// RefusedBusy means that a hedge would have had to wait.
	RefusedBusy Refusal = "leaf-busy"
)

const (
	queuePerSlot      = 32
	thresholdWindow   = 100 * time.Millisecond
	thresholdUp       = 0.05
	thresholdDown     = 0.02
	refusedCountsAs   = 2
	thresholdHighest  = 0.95
	waitTargetDivisor = 4
	waitTargetLowest  = 5 * time.Millisecond
	lateGrace         = 250 * time.Millisecond
)

type (
	// Refusal is why an item was not taken; the leaf has not received it.
	Refusal string

	// Option sets up a Leaf.
	Option func(*Leaf)

	// Leaf decides what one leaf receives; it belongs to one goroutine.
	Leaf struct {
		slots     int
		queue     *queue
		warmUp    *warmUp
		running   map[uint64]running
		phantoms  []time.Duration
		threshold threshold
		deadline  time.Duration
	}

	// Outcome is how a request to the leaf ended; it is Answered, Shed, Broken, Restarted, Cancelled or Abandoned.
	Outcome interface {
		isOutcome()
	}

	// Answered means that the leaf answered.
	Answered struct{}

	// Shed means that the leaf said it did not start the request.
	Shed struct{}

	// Broken means that the connection failed before an answer.
	Broken struct{}

	// Restarted means that the leaf answered from a new start of itself.
	Restarted struct{}

	// Cancelled means that the leaf stopped the request when told to, or answered without running it.
	Cancelled struct{}

	// Abandoned means that the deadline passed without an answer.
	Abandoned struct{}

	// Condition is what an owner reports of a leaf.
	Condition struct {
		Limit     float64
		Slots     int
		Running   int
		Queued    int
		Latency   time.Duration
		Threshold float64
		Resting   bool
		Cold      bool
		ClosedAt  time.Duration
		Reason    string
	}

	running struct {
		item    Item
		started time.Duration
	}

	threshold struct {
		value      float64
		windowEnd  time.Duration
		waits      time.Duration
		dispatched int
		refused    int
	}
)

func (Answered) isOutcome()  {}
func (Shed) isOutcome()      {}
func (Broken) isOutcome()    {}
func (Restarted) isOutcome() {}
func (Cancelled) isOutcome() {}
func (Abandoned) isOutcome() {}

// WithGrowth sets how the limit opens.
func WithGrowth(growth Growth) Option {
	return func(l *Leaf) { l.warmUp.growth = growth }
}

// WithInherited starts from what the former owner handed over.
func WithInherited(limit float64, latency time.Duration, runningNow int, until time.Duration) Option {
	return func(l *Leaf) {
		l.warmUp.limit = max(lowestLimit, min(limit, float64(l.slots)))
		l.warmUp.baseline = latency
		l.warmUp.reason = "handed over"
		for range runningNow {
			l.phantoms = append(l.phantoms, until)
		}
	}
}

// New returns the admission state of a cold leaf with the given slots.
func New(slots int, now time.Duration, options ...Option) *Leaf {
	leaf := &Leaf{
		slots: slots, queue: newQueue(), warmUp: newWarmUp(AdditiveGrowth{}, now), running: map[uint64]running{},
	}
	for _, option := range options {
		option(leaf)
	}
	return leaf
}

// SetSlots changes the slots of the row.
func (l *Leaf) SetSlots(slots int) {
	l.slots = slots
	l.warmUp.limit = min(l.warmUp.limit, float64(slots))
}

// Offer takes an item into the queue, or says why not.
func (l *Leaf) Offer(item Item, now time.Duration) Refusal {
	refusal := l.judge(item, now)
	if refusal != RefusedNone {
		l.threshold.onRefused(refusal)
		return refusal
	}
	l.deadline = item.Deadline - now
	l.queue.push(item, now)
	return RefusedNone
}

// Next returns the item to send now, if any, with the time it waited.
func (l *Leaf) Next(now time.Duration) (Item, time.Duration, bool) {
	l.checkRunning(now)
	if l.warmUp.resting(now) || l.busy(now) >= l.limit() {
		return Item{}, 0, false
	}
	head, ok := l.queue.pop()
	if !ok {
		return Item{}, 0, false
	}
	waited := now - head.offered
	l.threshold.onDispatched(waited)
	l.running[head.item.ID] = running{item: head.item, started: now}
	return head.item, waited, true
}

// Expire removes and returns the queued items that can no longer be answered in time.
func (l *Leaf) Expire(now time.Duration) []Item {
	latency := l.warmUp.baseline / 2
	late := l.queue.removeIf(func(e entry) bool { return now+latency >= e.item.Deadline })
	items := make([]Item, 0, len(late))
	for _, e := range late {
		l.threshold.onDispatched(now - e.offered)
		items = append(items, e.item)
	}
	l.threshold.roll(now, l.waitTarget())
	return items
}

// Withdraw removes a queued item and tells whether it was still queued.
func (l *Leaf) Withdraw(id uint64) bool {
	_, ok := l.queue.remove(id)
	return ok
}

// Flush removes and returns all queued items.
func (l *Leaf) Flush() []Item {
	var items []Item
	for {
		head, ok := l.queue.pop()
		if !ok {
			return items
		}
		items = append(items, head.item)
	}
}

// Done records how the request with the given id ended.
func (l *Leaf) Done(id uint64, outcome Outcome, now time.Duration) {
	request, ok := l.running[id]
	if !ok {
		return
	}
	delete(l.running, id)
	switch outcome.(type) {
	case Answered:
		l.warmUp.onAnswer(now-request.started, now, l.slots)
	case Restarted:
		l.warmUp.close(now, "restarted")
	case Shed:
		l.warmUp.fall(now, "shed")
	case Broken:
		l.warmUp.fall(now, "connection broken")
		l.mayStillRun(request)
	case Abandoned:
		l.warmUp.close(now, "no answer")
		l.mayStillRun(request)
	}
}

// mayStillRun keeps the slot of a request without an answer until the leaf must have given it up.
func (l *Leaf) mayStillRun(request running) {
	l.phantoms = append(l.phantoms, request.item.Deadline+lateGrace)
}

// OnRestart records that the leaf has started again.
func (l *Leaf) OnRestart(now time.Duration) { l.warmUp.close(now, "restarted") }

// RunningFor returns the longest time that a request may still run.
func (l *Leaf) RunningFor(now time.Duration) time.Duration {
	var longest time.Duration
	for _, request := range l.running {
		longest = max(longest, request.item.Deadline+lateGrace-now)
	}
	for _, until := range l.phantoms {
		longest = max(longest, until-now)
	}
	return longest
}

// Condition returns what others should know of the leaf.
func (l *Leaf) Condition(now time.Duration) Condition {
	return Condition{
		Limit: l.warmUp.limit, Slots: l.slots, Running: l.busy(now), Queued: l.queue.length,
		Latency: l.warmUp.baseline, Threshold: l.threshold.value, Resting: l.warmUp.resting(now),
		Cold: l.cold(), ClosedAt: l.warmUp.closedAt, Reason: l.warmUp.reason,
	}
}

// Wake returns when Next may have something to send without a further event, or 0.
func (l *Leaf) Wake(now time.Duration) time.Duration {
	if l.queue.length == 0 || !l.warmUp.resting(now) {
		return 0
	}
	return l.warmUp.restUntil
}

func (l *Leaf) judge(item Item, now time.Duration) Refusal {
	if item.Hedge {
		return l.judgeHedge(now)
	}
	if l.warmUp.resting(now) {
		return RefusedResting
	}
	if l.queue.length >= queuePerSlot*l.slots {
		return RefusedQueueFull
	}
	if item.Priority < l.threshold.value {
		return RefusedPriority
	}
	if now+l.expectedWait(item.Caller, now)+l.warmUp.baseline > item.Deadline {
		return RefusedTooLate
	}
	return RefusedNone
}

func (l *Leaf) judgeHedge(now time.Duration) Refusal {
	if l.cold() || l.warmUp.resting(now) {
		return RefusedCold
	}
	if l.queue.length > 0 || l.busy(now) >= l.limit() {
		return RefusedBusy
	}
	return RefusedNone
}

func (l *Leaf) expectedWait(caller string, now time.Duration) time.Duration {
	ahead := l.queue.ahead(caller) + l.busy(now) - l.limit() + 1
	return time.Duration(max(0, ahead)) * l.warmUp.baseline / time.Duration(l.limit())
}

// checkRunning takes requests that run far longer than usual as evidence of a cold leaf.
func (l *Leaf) checkRunning(now time.Duration) {
	slow := 0
	for _, request := range l.running {
		if l.warmUp.isSlow(now - request.started) {
			slow++
		}
	}
	if slow >= slowVotesToClose && l.warmUp.limit > lowestLimit {
		l.warmUp.close(now, "slow running requests")
	}
}

func (l *Leaf) busy(now time.Duration) int {
	kept := l.phantoms[:0]
	for _, until := range l.phantoms {
		if until > now {
			kept = append(kept, until)
		}
	}
	l.phantoms = kept
	return len(l.running) + len(l.phantoms)
}

func (l *Leaf) limit() int { return max(1, int(math.Floor(l.warmUp.limit))) }

func (l *Leaf) cold() bool { return l.limit() < l.slots && l.warmUp.limit <= lowestLimit }

func (l *Leaf) waitTarget() time.Duration {
	return max(waitTargetLowest, l.deadline/waitTargetDivisor)
}

func (t *threshold) onDispatched(waited time.Duration) {
	t.waits += waited
	t.dispatched++
}

func (t *threshold) onRefused(refusal Refusal) {
	if refusal == RefusedTooLate || refusal == RefusedQueueFull {
		t.refused++
	}
}

func (t *threshold) roll(now, target time.Duration) {
	if now < t.windowEnd {
		return
	}
	waits := t.waits + time.Duration(refusedCountsAs*t.refused)*target
	items := max(1, t.dispatched+t.refused)
	if waits/time.Duration(items) > target {
		t.value = min(thresholdHighest, t.value+thresholdUp)
	} else {
		t.value = max(0, t.value-thresholdDown)
	}
	*t = threshold{value: t.value, windowEnd: now + thresholdWindow}
}
