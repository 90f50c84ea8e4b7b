// Choose compares the leafs of one service by the time at which each would
// probably answer. A leaf that is stalled, away, cold or leaving is taken only
// where every other one is worse.

package placer

import (
	"math"
	"time"
)

const (
	// faultWeight turns a share of faults into lost time: a failed request costs its own time, that of another one, and one of
	// few attempts; it outweighs distance and a missing connection for some seconds.
	faultWeight = 8.0
	// onceFaultWeight is that of a request that must not run twice: its failure is the caller's.
	onceFaultWeight = 40.0
	// distantWeight prefers a leaf of the own data centre that is expected to answer within twice the usual time: bytes between
	// data centres are paid for, and a leaf that pauses is hedged.
	distantWeight = 1.0
	// foreignCost is what a request to a leaf without a kept connection costs: it opens one in about 10 ms, of 28 usual.
	foreignCost = 0.4
	// stalledCost, awayCost and coldCost, in typical times, put such leafs behind all sound ones, in this order.
	stalledCost = 40.0
	coldCost    = 100.0
	awayCost    = 400.0
	leavingCost = 2000.0
)

type (
	// Wish is what a request asks of the choice.
	Wish struct {
		Now        time.Duration
		DataCentre string
		// Out tells whether a data centre takes no new work.
		Out func(dataCentre string) bool
		// Tried holds the leafs that had the request already.
		Tried []*Leaf
		// Sound leaves out leafs that are stalled, away, cold or leaving.
		Sound bool
		// Once tells that the request cannot be sent again after a failure.
		Once bool
		// Beyond allows leafs that have as many requests as they answer in time.
		Beyond bool
		// Tie is uniform in [0,1) and decides between equals.
		Tie float64
	}
)

// Choose returns the leaf to ask, or nil where there is none.
func Choose(leafs []*Leaf, wish Wish) *Leaf {
	var best *Leaf
	lowest := math.Inf(1)
	offset := int(wish.Tie * float64(len(leafs)))
	for i := range leafs {
		leaf := leafs[(i+offset)%len(leafs)]
		if !leaf.allowed(wish) {
			continue
		}
		if cost := leaf.cost(wish); cost < lowest {
			best, lowest = leaf, cost
		}
	}
	return best
}

func (l *Leaf) allowed(wish Wish) bool {
	if l.gone || wish.Out != nil && wish.Out(l.fields.DataCentre) {
		return false
	}
	if l.fields.Leaving && wish.Now-l.leavingSince > leavingGrace {
		return false
	}
	if l.AtLimit(wish.Now) && !wish.Beyond {
		return false
	}
	for _, tried := range wish.Tried {
		if tried == l {
			return false
		}
	}
	return !wish.Sound || l.sound(wish.Now)
}

func (l *Leaf) sound(now time.Duration) bool {
	return !l.fields.Leaving && !l.Away(now) && !l.Cold(now) && !l.Stalled(now)
}

// cost is the expected time to an answer, in typical times of the request.
func (l *Leaf) cost(wish Wish) float64 {
	now := wish.Now
	slots := float64(max(1, l.fields.Slots))
	cost := l.slownessAt(now) * (1 + float64(len(l.running))/slots)
	cost += wish.faultWeight() * l.faultsNow(now)
	if l.fields.DataCentre != wish.DataCentre {
		cost += distantWeight
	}
	if l.foreign {
		cost += foreignCost
	}
	if l.Stalled(now) {
		cost += stalledCost
	}
	if l.Cold(now) {
		cost += coldCost
	}
	if l.Away(now) {
		cost += awayCost
	}
	if l.fields.Leaving {
		cost += leavingCost
	}
	return cost
}

func (w Wish) faultWeight() float64 {
	if w.Once {
		return onceFaultWeight
	}
	return faultWeight
}

func fade(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}
