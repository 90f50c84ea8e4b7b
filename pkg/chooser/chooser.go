// Replicas are ranked by what the replies of a leaf's owner report: queue
// length, limit, latency and refusals. Health endpoints are not polled. By
// default two candidates are drawn at random by weight, and the one with the
// lower expected time to an answer is used.

package chooser

import (
	"math"
	"math/rand/v2"
	"time"

	"lovagedeck/pkg/assigner"
)

const (
	latencyGain       = 0.2
	cancelledGain     = 0.5
	defaultLatency    = 5 * time.Millisecond
	errorsToEject     = 5
	minEjection       = 500 * time.Millisecond
	maxEjection       = 10 * time.Second
	maxEjectedPercent = 50
	backoffPenalty    = 200 * time.Millisecond
	// rateLimitPenalty prefers every other replica, because a rate-limited one takes only some of its usual requests.
	rateLimitPenalty = 200 * time.Millisecond
	reportLifetime   = 2 * time.Second
	drawsPerChoice   = 2
	latencyHalfLife  = 10 * time.Second
	minUnavailable   = 100 * time.Millisecond
	// maxUnavailable is short so that a leaf that is available again is soon used again.
	maxUnavailable = time.Second
)

type (
	// Policy selects how replicas are compared: PowerOfTwoChoices, LeastOutstanding or Random.
	Policy interface {
		isPolicy()
	}

	// PowerOfTwoChoices draws two candidates at random by weight and uses the one with the lower expected time to an answer.
	PowerOfTwoChoices struct{}

	// LeastOutstanding uses the replica with the fewest outstanding requests of this instance.
	LeastOutstanding struct{}

	// Random draws a replica at random by weight.
	Random struct{}

	// Candidate is a replica of a shard that may be sent a request.
	Candidate struct {
		Leaf   assigner.LeafID
		Weight int
	}

	// Report is the admission state of a leaf as its owner reports it in a reply.
	Report struct {
		Limit     float64
		Running   int
		Queued    int
		Latency   time.Duration
		Threshold float64
		InBackoff bool
		IsCold    bool
		// IsRateLimited is set while the leaf states a rate limit, and SlotWait is the time until it takes another request.
		IsRateLimited bool
		SlotWait      time.Duration
	}

	// Option configures a Chooser.
	Option func(*Chooser)

	// Chooser chooses among replicas by their state in earlier replies; it is not safe for concurrent use.
	Chooser struct {
		policy Policy
		leafs  map[assigner.LeafID]*leafState
		random *rand.Rand
	}

	leafState struct {
		report            Report
		reportedAt        time.Duration
		outstanding       int
		latency           time.Duration
		measuredAt        time.Duration
		consecutiveErrors int
		ejectionTime      time.Duration
		ejectedUntil      time.Duration
		unavailableTime   time.Duration
		unavailableUntil  time.Duration
	}
)

func (PowerOfTwoChoices) isPolicy() {}
func (LeastOutstanding) isPolicy()  {}
func (Random) isPolicy()            {}

// WithPolicy sets how replicas are compared; the default is PowerOfTwoChoices.
func WithPolicy(policy Policy) Option {
	return func(c *Chooser) { c.policy = policy }
}

// New returns a Chooser that uses random as its source of randomness.
func New(random *rand.Rand, options ...Option) *Chooser {
	chooser := &Chooser{policy: PowerOfTwoChoices{}, leafs: map[assigner.LeafID]*leafState{}, random: random}
	for _, option := range options {
		option(chooser)
	}
	return chooser
}

// Choose returns the index of the candidate to send a request to, or -1 if there are no candidates.
func (c *Chooser) Choose(candidates []Candidate, now time.Duration) int {
	allowed := c.eligible(candidates, now)
	if len(allowed) == 0 {
		return -1
	}
	switch c.policy.(type) {
	case Random:
		return c.drawWeighted(candidates, allowed, -1)
	case LeastOutstanding:
		return c.minBy(allowed, func(i int) float64 { return float64(c.stateOf(candidates[i].Leaf).outstanding) })
	}
	best := c.drawWeighted(candidates, allowed, -1)
	for range drawsPerChoice - 1 {
		other := c.drawWeighted(candidates, allowed, best)
		if other >= 0 && c.expectedTime(candidates[other].Leaf, now) < c.expectedTime(candidates[best].Leaf, now) {
			best = other
		}
	}
	return best
}

// OnSent counts an outstanding request of this instance to the leaf.
func (c *Chooser) OnSent(leaf assigner.LeafID) { c.stateOf(leaf).outstanding++ }

// OnEnded removes a request counted by OnSent.
func (c *Chooser) OnEnded(leaf assigner.LeafID) {
	state := c.stateOf(leaf)
	state.outstanding = max(0, state.outstanding-1)
}

// OnReport records the state of the leaf that its owner reported.
func (c *Chooser) OnReport(leaf assigner.LeafID, report Report, now time.Duration) {
	state := c.stateOf(leaf)
	state.report = report
	state.reportedAt = now
}

// OnAnswer records the latency of an answered request, which also ends the count of consecutive errors.
func (c *Chooser) OnAnswer(leaf assigner.LeafID, latency, now time.Duration) {
	state := c.stateOf(leaf)
	state.consecutiveErrors = 0
	state.ejectionTime = 0
	state.unavailableTime = 0
	if state.latency == 0 {
		state.latency = latency
	}
	state.latency = state.decayedLatency(now)
	state.latency += time.Duration(latencyGain * float64(latency-state.latency))
	state.measuredAt = now
}

// OnCancelled records how long a cancelled request has waited without an answer; this can only raise the latency
// estimate of the leaf.
func (c *Chooser) OnCancelled(leaf assigner.LeafID, waited, now time.Duration) {
	state := c.stateOf(leaf)
	latency := state.decayedLatency(now)
	if waited <= latency {
		return
	}
	state.latency = latency + time.Duration(cancelledGain*float64(waited-latency))
	state.measuredAt = now
}

// OnError counts an error of the leaf and ejects the leaf after several consecutive errors. The ejection time doubles
// until the leaf answers.
func (c *Chooser) OnError(leaf assigner.LeafID, now time.Duration) {
	state := c.stateOf(leaf)
	state.consecutiveErrors++
	if state.consecutiveErrors < errorsToEject || now < state.ejectedUntil {
		return
	}
	state.ejectionTime = min(maxEjection, max(minEjection, 2*state.ejectionTime))
	state.ejectedUntil = now + state.ejectionTime
	state.consecutiveErrors = 0
}

// OnUnavailable records that the leaf cannot be sent requests. It is used only as a last resort for a time that doubles
// until the leaf answers.
func (c *Chooser) OnUnavailable(leaf assigner.LeafID, now time.Duration) {
	state := c.stateOf(leaf)
	if now < state.unavailableUntil {
		return
	}
	state.unavailableTime = min(maxUnavailable, max(minUnavailable, 2*state.unavailableTime))
	state.unavailableUntil = now + state.unavailableTime
}

// Threshold returns the overload threshold that the owner of the leaf last reported, or 0 if the report is out of date.
func (c *Chooser) Threshold(leaf assigner.LeafID, now time.Duration) float64 {
	state := c.stateOf(leaf)
	if now-state.reportedAt > reportLifetime {
		return 0
	}
	return state.report.Threshold
}

// AllowsHedge reports whether a hedge may be sent to the leaf: it is not cold, in backoff, ejected or unavailable.
func (c *Chooser) AllowsHedge(leaf assigner.LeafID, now time.Duration) bool {
	state := c.stateOf(leaf)
	return !state.report.IsCold && !state.report.InBackoff && !state.report.IsRateLimited && now >= state.ejectedUntil && now >= state.unavailableUntil
}

func (c *Chooser) stateOf(leaf assigner.LeafID) *leafState {
	state := c.leafs[leaf]
	if state == nil {
		state = &leafState{}
		c.leafs[leaf] = state
	}
	return state
}

// decayedLatency returns the latency estimate, which decays over time so that a leaf that was slow is tried again.
func (s *leafState) decayedLatency(now time.Duration) time.Duration {
	halfLives := float64(now-s.measuredAt) / float64(latencyHalfLife)
	return time.Duration(float64(s.latency) * math.Exp2(-halfLives))
}

// eligible returns the indexes of the candidates that are neither unavailable nor ejected. Ejection has no effect while
// it concerns more than maxEjectedPercent of the candidates, and if all are excluded, all are returned.
func (c *Chooser) eligible(candidates []Candidate, now time.Duration) []int {
	var kept, ejected, unavailable []int
	for i, candidate := range candidates {
		state := c.stateOf(candidate.Leaf)
		switch {
		case now < state.unavailableUntil:
			unavailable = append(unavailable, i)
		case now < state.ejectedUntil:
			ejected = append(ejected, i)
		default:
			kept = append(kept, i)
		}
	}
	if len(kept) == 0 {
		return append(ejected, unavailable...)
	}
	if len(ejected)*100 > len(candidates)*maxEjectedPercent {
		return append(kept, ejected...)
	}
	return kept
}

// drawWeighted draws one of the allowed candidates other than excluded at random by weight, or returns -1.
func (c *Chooser) drawWeighted(candidates []Candidate, allowed []int, excluded int) int {
	total := 0
	for _, i := range allowed {
		if i != excluded {
			total += max(1, candidates[i].Weight)
		}
	}
	if total == 0 {
		return -1
	}
	point := c.random.IntN(total)
	for _, i := range allowed {
		if i == excluded {
			continue
		}
		point -= max(1, candidates[i].Weight)
		if point < 0 {
			return i
		}
	}
	return -1
}

func (c *Chooser) minBy(allowed []int, value func(int) float64) int {
	best := allowed[0]
	for _, i := range allowed[1:] {
		if value(i) < value(best) {
			best = i
		}
	}
	return best
}

// expectedTime returns the expected time to an answer, in nanoseconds.
func (c *Chooser) expectedTime(leaf assigner.LeafID, now time.Duration) float64 {
	state := c.stateOf(leaf)
	latency := state.report.Latency
	if latency == 0 {
		latency = defaultLatency
	}
	ahead := float64(state.outstanding)
	if now-state.reportedAt <= reportLifetime {
		ahead = max(ahead, float64(state.report.Running+state.report.Queued))
	}
	wait := max(0, ahead+1-state.report.Limit) / max(1, state.report.Limit) * float64(latency)
	total := float64(max(latency, state.decayedLatency(now))) + wait
	if state.report.InBackoff && now-state.reportedAt < reportLifetime {
		total += float64(backoffPenalty)
	}
	if state.report.IsRateLimited && now-state.reportedAt < reportLifetime {
		total += float64(max(rateLimitPenalty, state.report.SlotWait))
	}
	return total
}
