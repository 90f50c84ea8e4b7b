// The queue is fair between callers: each caller is a flow, and the flow
// whose head has the smallest virtual finish time goes next. A caller that
// sends a thousand requests waits behind itself, not in front of others.

package admitter

import "time"

type (
	// Item is one request for a leaf.
	Item struct {
		// ID is unique among the items of the owner.
		ID uint64
		// Caller is the key of fairness.
		Caller string
		// Weight is the share of the caller, 1 where it is not set.
		Weight float64
		// Deadline is when the answer becomes useless.
		Deadline time.Duration
		// Priority, 0 to 1, decides which queries survive an overload on every leaf alike.
		Priority float64
		// Hedge marks a request that runs a second time to cut latency.
		Hedge bool
	}

	entry struct {
		item     Item
		offered  time.Duration
		finishAt float64
	}

	flow struct {
		entries []entry
		last    float64
	}

	queue struct {
		flows   map[string]*flow
		length  int
		virtual float64
	}
)

func newQueue() *queue { return &queue{flows: map[string]*flow{}} }

func (q *queue) push(item Item, now time.Duration) {
	f := q.flows[item.Caller]
	if f == nil {
		f = &flow{}
		q.flows[item.Caller] = f
	}
	weight := item.Weight
	if weight <= 0 {
		weight = 1
	}
	f.last = max(f.last, q.virtual) + 1/weight
	f.entries = append(f.entries, entry{item: item, offered: now, finishAt: f.last})
	q.length++
}

func (q *queue) pop() (entry, bool) {
	var next *flow
	var key string
	for k, f := range q.flows {
		if next == nil || f.entries[0].before(next.entries[0]) {
			next, key = f, k
		}
	}
	if next == nil {
		return entry{}, false
	}
	head := next.entries[0]
	q.virtual = head.finishAt
	q.removeAt(key, next, 0)
	return head, true
}

// ahead returns how many items go before a new item of the caller.
func (q *queue) ahead(caller string) int {
	own := 0
	if f := q.flows[caller]; f != nil {
		own = len(f.entries)
	}
	flows := len(q.flows)
	if own == 0 {
		flows++
	}
	return min(q.length, (own+1)*flows-1)
}

func (q *queue) remove(id uint64) (entry, bool) {
	for key, f := range q.flows {
		for i, e := range f.entries {
			if e.item.ID == id {
				q.removeAt(key, f, i)
				return e, true
			}
		}
	}
	return entry{}, false
}

func (q *queue) removeIf(unwanted func(entry) bool) []entry {
	var removed []entry
	for key, f := range q.flows {
		kept := f.entries[:0]
		for _, e := range f.entries {
			if unwanted(e) {
				removed = append(removed, e)
				continue
			}
			kept = append(kept, e)
		}
		f.entries = kept
		if len(kept) == 0 {
			delete(q.flows, key)
		}
	}
	q.length -= len(removed)
	return removed
}

func (q *queue) removeAt(key string, f *flow, i int) {
	f.entries = append(f.entries[:i], f.entries[i+1:]...)
	q.length--
	if len(f.entries) == 0 {
		delete(q.flows, key)
	}
}

func (e entry) before(other entry) bool {
	if e.finishAt != other.finishAt {
		return e.finishAt < other.finishAt
	}
	return e.item.ID < other.item.ID
}
