// The chooser keeps, per leaf, what the replies of its owner said: queue,
// limit, latency and refusals. Health endpoints are not consulted. Two
// candidates are drawn by weight and the one with the lower expected time
// goes first.

package chooser

import (
	"math"
	"math/rand/v2"
	"time"

	"lovagedeck/pkg/assigner"
)

const (
	latencyGain       = 0.2
	lateGain          = 0.5
	defaultLatency    = 5 * time.Millisecond
	ejectAfterFaults  = 5
	ejectFirst        = 500 * time.Millisecond
	ejectLongest      = 10 * time.Second
	ejectSharePercent = 50
	restPenalty       = 200 * time.Millisecond
	reportLifetime    = 2 * time.Second
	draws             = 2
	latencyHalfLife   = 10 * time.Second
	unavailableFirst  = 100 * time.Millisecond
	// unavailableLongest is short enough for a leaf that is back to be found soon.
	unavailableLongest = time.Second
)

type (
	// Policy is how replicas are compared; it is Scored, LeastOutstanding or Random.
	Policy interface {
		isPolicy()
	}

	// Scored draws two candidates by weight and takes the lower expected time.
	Scored struct{}

	// LeastOutstanding takes the replica with the fewest requests of this instance.
	LeastOutstanding struct{}

	// Random takes any replica by weight.
	Random struct{}

	// Candidate is one replica of a shard that may be asked.
	Candidate struct {
		Leaf   assigner.LeafID
		Weight int
	}

	// Report is what an owner said of a leaf in a reply.
	Report struct {
		Limit     float64
		Running   int
		Queued    int
		Latency   time.Duration
		Threshold float64
		Resting   bool
		Cold      bool
	}

	// Option sets up a Chooser.
	Option func(*Chooser)

	// Chooser ranks replicas by what replies said of them; it belongs to one goroutine.
	Chooser struct {
		policy Policy
		leafs  map[assigner.LeafID]*record
		random *rand.Rand
	}

	record struct {
		report       Report
		reportedAt   time.Duration
		outstanding  int
		latency      time.Duration
		measuredAt   time.Duration
		faults       int
		ejection     time.Duration
		ejectedUntil time.Duration
		away         time.Duration
		awayUntil    time.Duration
	}
)

func (Scored) isPolicy()           {}
func (LeastOutstanding) isPolicy() {}
func (Random) isPolicy()           {}

// WithPolicy sets how replicas are compared.
func WithPolicy(policy Policy) Option {
	return func(c *Chooser) { c.policy = policy }
}

// New returns a chooser that draws from random.
func New(random *rand.Rand, options ...Option) *Chooser {
	chooser := &Chooser{policy: Scored{}, leafs: map[assigner.LeafID]*record{}, random: random}
	for _, option := range options {
		option(chooser)
	}
	return chooser
}

// Choose returns the index of the candidate to ask, or -1 where there is none.
func (c *Chooser) Choose(candidates []Candidate, now time.Duration) int {
	allowed := c.withoutEjected(candidates, now)
	if len(allowed) == 0 {
		return -1
	}
	switch c.policy.(type) {
	case Random:
		return c.draw(candidates, allowed, -1)
	case LeastOutstanding:
		return c.lowest(allowed, func(i int) float64 { return float64(c.record(candidates[i].Leaf).outstanding) })
	}
	best := c.draw(candidates, allowed, -1)
	for range draws - 1 {
		other := c.draw(candidates, allowed, best)
		if other >= 0 && c.score(candidates[other].Leaf, now) < c.score(candidates[best].Leaf, now) {
			best = other
		}
	}
	return best
}

// OnSent counts a request of this instance to the leaf.
func (c *Chooser) OnSent(leaf assigner.LeafID) { c.record(leaf).outstanding++ }

// OnEnded takes back the count of OnSent.
func (c *Chooser) OnEnded(leaf assigner.LeafID) {
	r := c.record(leaf)
	r.outstanding = max(0, r.outstanding-1)
}

// OnReport takes what the owner said of the leaf.
func (c *Chooser) OnReport(leaf assigner.LeafID, report Report, now time.Duration) {
	r := c.record(leaf)
	r.report = report
	r.reportedAt = now
}

// OnAnswer takes the time from sending to the answer.
func (c *Chooser) OnAnswer(leaf assigner.LeafID, latency, now time.Duration) {
	r := c.record(leaf)
	r.faults = 0
	r.ejection = 0
	r.away = 0
	if r.latency == 0 {
		r.latency = latency
	}
	r.latency = r.latencyAt(now)
	r.latency += time.Duration(latencyGain * float64(latency-r.latency))
	r.measuredAt = now
}

// OnLate takes the time that a request has had no answer when it was given up.
func (c *Chooser) OnLate(leaf assigner.LeafID, waited, now time.Duration) {
	r := c.record(leaf)
	latency := r.latencyAt(now)
	if waited <= latency {
		return
	}
	r.latency = latency + time.Duration(lateGain*float64(waited-latency))
	r.measuredAt = now
}

// OnFault counts an error of the leaf and ejects it after several in a row.
func (c *Chooser) OnFault(leaf assigner.LeafID, now time.Duration) {
	r := c.record(leaf)
	r.faults++
	if r.faults < ejectAfterFaults || now < r.ejectedUntil {
		return
	}
	r.ejection = min(ejectLongest, max(ejectFirst, 2*r.ejection))
	r.ejectedUntil = now + r.ejection
	r.faults = 0
}

// OnUnavailable notes that nothing can be sent to the leaf; it is asked last for a while that doubles each time.
func (c *Chooser) OnUnavailable(leaf assigner.LeafID, now time.Duration) {
	r := c.record(leaf)
	if now < r.awayUntil {
		return
	}
	r.away = min(unavailableLongest, max(unavailableFirst, 2*r.away))
	r.awayUntil = now + r.away
}

// Threshold returns the overload threshold that the owner of the leaf last reported.
func (c *Chooser) Threshold(leaf assigner.LeafID, now time.Duration) float64 {
	r := c.record(leaf)
	if now-r.reportedAt > reportLifetime {
		return 0
	}
	return r.report.Threshold
}

// Usable tells whether a hedge to the leaf is reasonable: it is neither cold, resting nor ejected.
func (c *Chooser) Usable(leaf assigner.LeafID, now time.Duration) bool {
	r := c.record(leaf)
	return !r.report.Cold && !r.report.Resting && now >= r.ejectedUntil && now >= r.awayUntil
}

func (c *Chooser) record(leaf assigner.LeafID) *record {
	r := c.leafs[leaf]
	if r == nil {
		r = &record{}
		c.leafs[leaf] = r
	}
	return r
}

// latencyAt returns the measured latency, which fades, so that a leaf that was slow is tried again.
func (r *record) latencyAt(now time.Duration) time.Duration {
	halvings := float64(now-r.measuredAt) / float64(latencyHalfLife)
	return time.Duration(float64(r.latency) * math.Exp2(-halvings))
}

// withoutEjected leaves out ejected leafs, but never more than the allowed share of the candidates.
func (c *Chooser) withoutEjected(candidates []Candidate, now time.Duration) []int {
	var kept, ejected, away []int
	for i, candidate := range candidates {
		r := c.record(candidate.Leaf)
		switch {
		case now < r.awayUntil:
			away = append(away, i)
		case now < r.ejectedUntil:
			ejected = append(ejected, i)
		default:
			kept = append(kept, i)
		}
	}
	if len(kept) == 0 {
		return append(ejected, away...)
	}
	if len(ejected)*100 > len(candidates)*ejectSharePercent {
		return append(kept, ejected...)
	}
	return kept
}

func (c *Chooser) draw(candidates []Candidate, allowed []int, except int) int {
	total := 0
	for _, i := range allowed {
		if i != except {
			total += max(1, candidates[i].Weight)
		}
	}
	if total == 0 {
		return -1
	}
	point := c.random.IntN(total)
	for _, i := range allowed {
		if i == except {
			continue
		}
		point -= max(1, candidates[i].Weight)
		if point < 0 {
			return i
		}
	}
	return -1
}

func (c *Chooser) lowest(allowed []int, score func(int) float64) int {
	best := allowed[0]
	for _, i := range allowed[1:] {
		if score(i) < score(best) {
			best = i
		}
	}
	return best
}

// score is the expected time to an answer in nanoseconds.
func (c *Chooser) score(leaf assigner.LeafID, now time.Duration) float64 {
	r := c.record(leaf)
	service := r.report.Latency
	if service == 0 {
		service = defaultLatency
	}
	ahead := float64(r.outstanding)
	if now-r.reportedAt <= reportLifetime {
		ahead = max(ahead, float64(r.report.Running+r.report.Queued))
	}
	wait := max(0, ahead+1-r.report.Limit) / max(1, r.report.Limit) * float64(service)
	score := float64(max(service, r.latencyAt(now))) + wait
	if r.report.Resting && now-r.reportedAt < reportLifetime {
		score += float64(restPenalty)
	}
	return score
}
