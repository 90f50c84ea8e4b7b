// Requests of one route may cost very different amounts of work. An estimate
// starts from what is known of the route and moves towards narrower groups as
// far as their own requests support it:
//
//	route and service 220 ms -> with size 1 to 2 KiB 430 ms (9 requests) -> of tenant t-4 610 ms (2 requests)

package estimator

import (
	"math"
	"math/bits"
	"time"
)

const (
	// halfLife is the half-life of what was learned: the work behind a route may change with its data.
	halfLife = 30 * time.Second
	// minGain is the weight of one request in the mean of a group with many requests.
	minGain = 0.05
	// priorWeight is how many requests of a group weigh as much as the estimate of the wider group.
	priorWeight = 2.0
	// maxRatio limits the cost of one request that is taken into account, as a multiple of the mean: a leaf may pause.
	maxRatio = 10.0
	// maxGroups bounds the memory. Groups that are not kept have the estimate of the wider group.
	maxGroups = 4096
	// retention is the age from which a group is removed to make room for others.
	retention = 4 * halfLife
	// minCost is the smallest cost of a request.
	minCost = 100 * time.Microsecond
	// sizeStep is the number of doublings of the request size in one group.
	sizeStep = 2
	// minWorkShare is the least share of the time to an answer that counts as work: the expected wait may be too long.
	minWorkShare = 0.25
)

type (
	// Key identifies the requests that are expected to cost the same.
	Key struct {
		Route   string
		Service string
		// Tenant is the client account, or empty.
		Tenant string
		// SizeGroup is the group of the request size, as returned by SizeGroup.
		SizeGroup int
	}

	// Estimate is the expected work of a request at a leaf of usual speed.
	Estimate struct {
		// Cost is the expected duration of the work, and Deviation the mean deviation from it.
		Cost, Deviation time.Duration
		// Age is the time since a request of the narrowest known group ended, or 0 if nothing is known.
		Age time.Duration
		// Weight is the number of requests that the estimate rests on, older ones counting less.
		Weight float64
	}

	// Estimator holds the costs that one instance has learned. It is not safe for concurrent use.
	Estimator struct {
		groups map[Key]*group
	}

	group struct {
		mean, deviation float64
		weight          float64
		updatedAt       time.Duration
	}
)

// New returns an estimator without knowledge.
func New() *Estimator { return &Estimator{groups: map[Key]*group{}} }

// SizeGroup returns the group of a request size in bytes. Each group spans a factor of four.
func SizeGroup(bytes int) int { return bits.Len(uint(max(0, bytes))) / sizeStep }

// Work returns how long a leaf of usual speed would have worked on a request, from the time to its answer, the wait for a slot that was expected
// when it was sent, and the slowness of its leaf, 1 for one of usual speed. The time to the answer is 0 if there was none, and so is the work.
// It answers the load of a crowd at few slots: requests that waited must not be taken for ones that cost more.
func Work(took, wait time.Duration, slowness float64) time.Duration {
	if took <= 0 {
		return 0
	}
	work := max(took-wait, time.Duration(minWorkShare*float64(took)))
	return time.Duration(float64(work) / max(1, slowness))
}

// Record learns from a request that a leaf of usual speed would have worked on for the given time, without waiting for a slot.
func (e *Estimator) Record(key Key, work, now time.Duration) {
	work = max(minCost, work)
	for _, level := range key.levels() {
		known := e.groups[level]
		if known == nil {
			if len(e.groups) >= maxGroups && !e.removeOld(now) {
				continue
			}
			known = &group{updatedAt: now}
			e.groups[level] = known
		}
		known.record(float64(work), now)
	}
}

// Estimate returns the expected cost of a request. The prior is assumed while nothing is known.
func (e *Estimator) Estimate(key Key, prior, now time.Duration) Estimate {
	cost, deviation := float64(max(minCost, prior)), 0.0
	var estimate Estimate
	for _, level := range key.levels() {
		known := e.groups[level]
		if known == nil {
			continue
		}
		weight := known.weightAt(now)
		share := weight / (weight + priorWeight)
		cost += share * (known.mean - cost)
		deviation += share * (known.deviation - deviation)
		estimate.Age, estimate.Weight = now-known.updatedAt, weight
	}
	estimate.Cost, estimate.Deviation = time.Duration(cost), time.Duration(deviation)
	return estimate
}

// levels returns the groups that a request belongs to, the widest first.
func (k Key) levels() []Key {
	levels := []Key{{Route: k.Route, Service: k.Service, SizeGroup: anySize}, {Route: k.Route, Service: k.Service, SizeGroup: k.SizeGroup}}
	if k.Tenant != "" {
		levels = append(levels, k)
	}
	return levels
}

// anySize marks the group of all sizes.
const anySize = -1

func (g *group) record(work float64, now time.Duration) {
	g.weight = g.weightAt(now) + 1
	g.updatedAt = now
	if g.mean > 0 {
		work = min(work, maxRatio*g.mean)
	}
	gain := max(minGain, 1/g.weight)
	g.deviation += gain * (math.Abs(work-g.mean) - g.deviation)
	if g.mean == 0 {
		g.deviation = 0
	}
	g.mean += gain * (work - g.mean)
}

func (g *group) weightAt(now time.Duration) float64 {
	return g.weight * math.Exp2(-float64(max(0, now-g.updatedAt))/float64(halfLife))
}

// removeOld removes the groups that are older than retention and reports whether there were any.
func (e *Estimator) removeOld(now time.Duration) bool {
	before := len(e.groups)
	for key, known := range e.groups {
		if now-known.updatedAt > retention {
			delete(e.groups, key)
		}
	}
	return len(e.groups) < before
}
