// One instance among many sends a leaf less than one request a second, so that
// each would have to find out by itself that a leaf is slow or fails. Instead
// an observation goes to a few others for a few rounds, and each of them passes on
// what is news to it:
//
//	{Leaf:"i-7f3a" Slowness:4.2 Faults:0 Slow:true SlowFor:700ms SeenAt:12.4s}

package spreader

import (
	"slices"
	"time"
)

const (
	// rounds is how often news is passed on. With three peers a round, three rounds reach 64 instances.
	rounds = 3
	// tolerance is how much later a copy of a known observation may seem: the way between instances is not part of its age.
	tolerance = 20 * time.Millisecond
	// memory is how long an observation is known; by then it has faded where it was believed.
	memory = 10 * time.Second
)

type (
	// Observation is what some instance saw of a leaf.
	Observation struct {
		Leaf string
		// Slowness is the time of its answers in usual times.
		Slowness float64
		// Faults is the share of requests that failed, from 0 to 1.
		Faults float64
		// Slow tells that the last answer was slow.
		Slow bool
		// Gone tells that another leaf has its address.
		Gone bool
		// SlowFor is how long the leaf had been slow without a break, 0 where it was not.
		SlowFor time.Duration
		SeenAt  time.Duration
	}

	// Spreader holds the observations of one instance; it belongs to one lock.
	Spreader struct {
		rumours map[string]*rumour
	}

	rumour struct {
		observation Observation
		left        int
	}
)

// New returns a spreader that knows nothing.
func New() *Spreader { return &Spreader{rumours: map[string]*rumour{}} }

// Take keeps an observation where it is news, and tells whether it was.
func (s *Spreader) Take(observation Observation) bool {
	if known := s.rumours[observation.Leaf]; known != nil && observation.SeenAt <= known.observation.SeenAt+tolerance {
		return false
	}
	s.rumours[observation.Leaf] = &rumour{observation: observation, left: rounds}
	return true
}

// Next returns what goes out in one round, the latest first, at most limit of them.
func (s *Spreader) Next(now time.Duration, limit int) []Observation {
	var due []*rumour
	for leaf, r := range s.rumours {
		if now-r.observation.SeenAt > memory {
			delete(s.rumours, leaf)
			continue
		}
		if r.left > 0 {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *rumour) int { return int(b.observation.SeenAt - a.observation.SeenAt) })
	due = due[:min(limit, len(due))]
	observations := make([]Observation, 0, len(due))
	for _, r := range due {
		r.left--
		observations = append(observations, r.observation)
	}
	return observations
}
