// Requests that look alike may cost a leaf very different amounts of work, so
// that their number says little about how long the next one waits. Where the
// work is known, the cost of a leaf is the wait for a slot and the work itself:
//
//	leaf with 2 slots, 200 ms and 60 ms left of its requests -> 60 ms until a slot is free

package placer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// residualShare is the least share of the expected work that is assumed to be left of a request. One that is overdue is assumed to
	// run on for as long as it is overdue, but at most for its expected work again: the leaf may pause.
	residualShare = 0.25
	// unseenShare is the weight of the work that leaves slots free. Requests of other data centres may take these.
	unseenShare = 0.25
	// nearEqualCost is the difference in cost, in typical latencies, below which leafs count as equal. Instances that know the same
	// would otherwise all select the same leaf.
	nearEqualCost = 0.1
	// maxForeign bounds the requests of other instances that are known of one leaf.
	maxForeign = 256
)

type (
	// task is a request in progress. The leaf starts tasks in the order in which they were sent.
	task struct {
		sentAt time.Duration
		// startedAt is when a slot was free for it, if hasStarted is set.
		startedAt  time.Duration
		hasStarted bool
		// cost is the expected work at a leaf of usual speed, 0 if unknown.
		cost time.Duration
		// endsBy is when a request of another instance has ended for certain.
		endsBy time.Duration
	}

	// WorkStats holds the figures of the outstanding work of a leaf.
	WorkStats struct {
		// Wait is the expected time until a slot is free.
		Wait time.Duration
		// Outstanding is the work left of all known requests, and Foreign the number of those of other instances.
		Outstanding time.Duration
		Foreign     int
	}
)

// OnSendWork records a request with its expected work that was sent to the leaf.
func (l *Leaf) OnSendWork(id uint64, typicalLatency, cost, now time.Duration) {
	l.OnSend(id, typicalLatency, now)
	l.running[id].cost = cost
}

// OnForeignSend records that another instance sends a request to the leaf, which has ended by the given time even if nothing more is
// heard of it.
func (l *Leaf) OnForeignSend(id uint64, cost, endsBy, now time.Duration) {
	for other, foreign := range l.foreign {
		if now >= foreign.endsBy {
			delete(l.foreign, other)
		}
	}
	l.startTasks(now)
	if len(l.foreign) >= maxForeign {
		return
	}
	if l.foreign == nil {
		l.foreign = map[uint64]*task{}
	}
	l.foreign[id] = &task{sentAt: now, cost: cost, endsBy: endsBy}
	l.startTasks(now)
}

// OnForeignEnd removes a request of another instance.
func (l *Leaf) OnForeignEnd(id uint64, now time.Duration) {
	delete(l.foreign, id)
	l.startTasks(now)
}

// startTasks starts the oldest waiting tasks while slots are free.
func (l *Leaf) startTasks(now time.Duration) {
	free := max(1, l.fields.Load().Slots)
	var waiting []*task
	for _, tasks := range []map[uint64]*task{l.running, l.foreign} {
		for _, t := range tasks {
			if t.hasStarted {
				free--
			} else {
				waiting = append(waiting, t)
			}
		}
	}
	if free <= 0 || len(waiting) == 0 {
		return
	}
	slices.SortFunc(waiting, func(a, b *task) int { return cmp.Compare(a.sentAt, b.sentAt) })
	for _, t := range waiting[:min(free, len(waiting))] {
		t.startedAt, t.hasStarted = now, true
	}
}

// WorkStats returns the current figures of the outstanding work for a log line.
func (l *Leaf) WorkStats(now time.Duration) WorkStats {
	remaining := l.remainingWork(now)
	return WorkStats{Wait: waitForSlot(remaining, l.fields.Load().Slots), Outstanding: sum(remaining), Foreign: len(l.foreign)}
}

// ExpectedWork returns the expected time until the answer to a request of the given cost.
func (l *Leaf) ExpectedWork(cost, now time.Duration) time.Duration {
	return time.Duration(l.slownessAt(now)*float64(cost)) + waitForSlot(l.remainingWork(now), l.fields.Load().Slots)
}

// workCost returns the expected time to answer a request of the given cost, as a multiple of that cost.
func (l *Leaf) workCost(cost, now time.Duration) float64 {
	remaining, slots := l.remainingWork(now), max(1, l.fields.Load().Slots)
	wait := float64(waitForSlot(remaining, slots)) + unseenShare*float64(sum(remaining))/float64(slots)
	return l.slownessAt(now) + wait/float64(max(cost, time.Millisecond))
}

// remainingWork returns the time that each known request is expected to run on, those that have started first.
func (l *Leaf) remainingWork(now time.Duration) []time.Duration {
	slowness := l.slownessAt(now)
	started, waiting := make([]time.Duration, 0, len(l.running)+len(l.foreign)), []time.Duration(nil)
	for _, tasks := range []map[uint64]*task{l.running, l.foreign} {
		for _, t := range tasks {
			switch {
			case t.endsBy > 0 && now >= t.endsBy:
			case t.hasStarted:
				started = append(started, t.remaining(l.typicalLatency, slowness, now))
			default:
				waiting = append(waiting, t.remaining(l.typicalLatency, slowness, now))
			}
		}
	}
	return append(started, waiting...)
}

func (t *task) remaining(typicalLatency time.Duration, slowness float64, now time.Duration) time.Duration {
	cost := t.cost
	if cost == 0 {
		cost = typicalLatency
	}
	expected := time.Duration(slowness * float64(cost))
	if !t.hasStarted {
		return expected
	}
	elapsed := max(0, now-t.startedAt)
	return max(expected-elapsed, time.Duration(residualShare*float64(expected)), min(expected, elapsed-expected))
}

// waitForSlot returns the time until a leaf has a free slot if it works on the given requests in their order.
func waitForSlot(remaining []time.Duration, slots int) time.Duration {
	slots = max(1, slots)
	if len(remaining) < slots {
		return 0
	}
	free := make([]time.Duration, slots)
	for _, work := range remaining {
		first := slices.Index(free, slices.Min(free))
		free[first] += work
	}
	return slices.Min(free)
}

func sum(works []time.Duration) time.Duration {
	total := time.Duration(0)
	for _, work := range works {
		total += work
	}
	return total
}
