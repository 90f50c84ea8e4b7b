// Weighted fair queueing between callers. Each caller is a flow, and the flow
// whose first request has the smallest virtual finish time is served next. A
// caller that sends many requests delays its own requests, not those of others.

package admitter

import "time"

type (
	// Request is one request for a leaf.
	Request struct {
		// ID is unique among the requests of the owner.
		ID uint64
		// Caller identifies the flow that the request belongs to.
		Caller string
		// Weight is the relative share of the caller; values of 0 and below count as 1.
		Weight float64
		// Deadline is the time after which an answer is of no use.
		Deadline time.Duration
		// Priority is from 0 to 1. Requests of one query have the same priority at every leaf, so that under overload all
		// leafs shed the same queries.
		Priority float64
		// IsHedge marks a hedged request, a duplicate sent to reduce latency.
		IsHedge bool
	}

	entry struct {
		request       Request
		enqueuedAt    time.Duration
		virtualFinish float64
	}

	flow struct {
		entries    []entry
		lastFinish float64
	}

	queue struct {
		flows       map[string]*flow
		length      int
		virtualTime float64
	}
)

func newQueue() *queue { return &queue{flows: map[string]*flow{}} }

func (q *queue) push(request Request, now time.Duration) {
	f := q.flows[request.Caller]
	if f == nil {
		f = &flow{}
		q.flows[request.Caller] = f
	}
	weight := request.Weight
	if weight <= 0 {
		weight = 1
	}
	f.lastFinish = max(f.lastFinish, q.virtualTime) + 1/weight
	f.entries = append(f.entries, entry{request: request, enqueuedAt: now, virtualFinish: f.lastFinish})
	q.length++
}

func (q *queue) pop() (entry, bool) {
	var first *flow
	var caller string
	for k, f := range q.flows {
		if first == nil || f.entries[0].precedes(first.entries[0]) {
			first, caller = f, k
		}
	}
	if first == nil {
		return entry{}, false
	}
	head := first.entries[0]
	q.virtualTime = head.virtualFinish
	q.removeAt(caller, first, 0)
	return head, true
}

// countAhead estimates how many queued requests are served before a new request of the caller.
func (q *queue) countAhead(caller string) int {
	queued := 0
	if f := q.flows[caller]; f != nil {
		queued = len(f.entries)
	}
	flows := len(q.flows)
	if queued == 0 {
		flows++
	}
	return min(q.length, (queued+1)*flows-1)
}

func (q *queue) remove(id uint64) (entry, bool) {
	for caller, f := range q.flows {
		for i, e := range f.entries {
			if e.request.ID == id {
				q.removeAt(caller, f, i)
				return e, true
			}
		}
	}
	return entry{}, false
}

func (q *queue) removeIf(matches func(entry) bool) []entry {
	var removed []entry
	for caller, f := range q.flows {
		kept := f.entries[:0]
		for _, e := range f.entries {
			if matches(e) {
				removed = append(removed, e)
				continue
			}
			kept = append(kept, e)
		}
		f.entries = kept
		if len(kept) == 0 {
			delete(q.flows, caller)
		}
	}
	q.length -= len(removed)
	return removed
}

func (q *queue) removeAt(caller string, f *flow, i int) {
	f.entries = append(f.entries[:i], f.entries[i+1:]...)
	q.length--
	if len(f.entries) == 0 {
		delete(q.flows, caller)
	}
}

func (e entry) precedes(other entry) bool {
	if e.virtualFinish != other.virtualFinish {
		return e.virtualFinish < other.virtualFinish
	}
	return e.request.ID < other.request.ID
}
