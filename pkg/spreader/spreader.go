package spreader

import (
	"slices"
	"strings"
	"time"
)

const (
	// forwardRounds is the number of rounds in which an observation is sent. With three peers per round, three rounds reach 64
	// instances.
	forwardRounds = 3
	// duplicateTolerance is how much later a copy of a known observation may appear to be. The age of an observation does not
	// include the network delay between instances.
	duplicateTolerance = 20 * time.Millisecond
	// retention is the age at which an observation is dropped. By then its effect at the instances that applied it has decayed.
	retention = 10 * time.Second
)

type (
	// Observation is the condition of a leaf as observed by one instance:
	//
	//	{Leaf:"i-7f3a" Slowness:4.2 FailureRate:0 IsSlow:true SlowFor:700ms SeenAt:12.4s}
	Observation struct {
		// Leaf is the identifier of the leaf. An observation of an instance has a prefix before the name of the instance.
		Leaf string
		// Slowness is the ratio of the response time to the usual response time.
		Slowness float64
		// FailureRate is the fraction of requests that failed, from 0 to 1.
		FailureRate float64
		// IsSlow reports whether the last answer was slow.
		IsSlow bool
		// IsGone reports whether another leaf now has the address of the leaf, or whether the observed instance does not answer.
		IsGone bool
		// SlowFor is the time for which the leaf has been continuously slow, or 0 if it is not slow.
		SlowFor time.Duration
		// IsRateLimited reports whether the leaf limits its request rate, and RatePerSecond the rate. They are used only in
		// observations made by NewRateLimit.
		IsRateLimited bool
		RatePerSecond float64
		// SeenAt is the time of the observation on the monotonic clock of the instance that holds it.
		SeenAt time.Duration
	}

	// Spreader holds the latest observations that one instance knows. It is not safe for concurrent use.
	Spreader struct {
		entries map[string]*entry
	}

	entry struct {
		observation Observation
		roundsLeft  int
	}
)

// rateLimitPrefix marks observations of the rate limit of a leaf, so that they do not replace those of its condition.
const rateLimitPrefix = "rate-limit:"

// NewRateLimit returns an observation of the rate limit of a leaf, in requests a second, or that it has none. It is meant for
// the instances of all data centres.
func NewRateLimit(leaf string, isLimited bool, perSecond float64, seenAt time.Duration) Observation {
	return Observation{Leaf: rateLimitPrefix + leaf, IsRateLimited: isLimited, RatePerSecond: perSecond, SeenAt: seenAt}
}

// RateLimitedLeaf returns the leaf of an observation made by NewRateLimit, and false for any other observation.
func (o Observation) RateLimitedLeaf() (leaf string, isRateLimit bool) {
	return strings.CutPrefix(o.Leaf, rateLimitPrefix)
}

// New returns a spreader without observations.
func New() *Spreader { return &Spreader{entries: map[string]*entry{}} }

// Add stores an observation if it is newer than the known one of the same leaf, and reports whether it is.
func (s *Spreader) Add(observation Observation) bool {
	if known := s.entries[observation.Leaf]; known != nil && observation.SeenAt <= known.observation.SeenAt+duplicateTolerance {
		return false
	}
	s.entries[observation.Leaf] = &entry{observation: observation, roundsLeft: forwardRounds}
	return true
}

// NextRound returns the observations to send in the next round, latest first, and at most limit of them.
func (s *Spreader) NextRound(now time.Duration, limit int) []Observation {
	var due []*entry
	for leaf, e := range s.entries {
		if now-e.observation.SeenAt > retention {
			delete(s.entries, leaf)
			continue
		}
		if e.roundsLeft > 0 {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int { return int(b.observation.SeenAt - a.observation.SeenAt) })
	due = due[:min(limit, len(due))]
	observations := make([]Observation, 0, len(due))
	for _, e := range due {
		e.roundsLeft--
		observations = append(observations, e.observation)
	}
	return observations
}
