// The course of a request decides its version once. An extra attempt goes to
// the old version, so that hedges and retries do not raise the share of the new one.

package splitter

import "lovagedeck/pkg/tabulator"

const (
	// Undecided is the side of a request before its first attempt.
	Undecided Side = iota
	// Old is the side of requests to leafs of other versions than the new one.
	Old
	// New is the side of requests to leafs of the new version.
	New
)

const (
	// ReasonNone means that no roll-out divides the requests.
	ReasonNone Reason = ""
	// ReasonDrawn means that the share decided.
	ReasonDrawn Reason = "drawn by the share"
	// ReasonRepeated means that the request may have reached a leaf before.
	ReasonRepeated Reason = "another attempt keeps to the old version"
	// ReasonFallback means that no leaf of the new version could take the request.
	ReasonFallback Reason = "no leaf of the new version takes it"
	// ReasonWhole means that all requests go to the new version.
	ReasonWhole Reason = "the new version gets all requests"
	// ReasonControlLost means that this instance may have missed a change of the share.
	ReasonControlLost Reason = "control lost"
	// ReasonNoShare means that the new version gets no requests.
	ReasonNoShare Reason = "the new version gets no requests"
)

type (
	// Side says whether a request goes to the new version.
	Side int

	// Reason says why a request got its side.
	Reason string

	// Course is the decision for one request to one service. The zero value is undecided.
	Course struct {
		side   Side
		reason Reason
	}
)

// Decide returns the course of a request. The draw is random, uniform in [0,1). A repeated request may have reached a leaf of the service
// before.
func (s *Split) Decide(draw float64, isRepeated bool) Course {
	if !s.hasRollout {
		return Course{side: Old}
	}
	share := s.Share()
	switch {
	case share >= tabulator.WholeShare:
		return Course{side: New, reason: ReasonWhole}
	case share == 0 && s.rollout.State == tabulator.RolloutRunning && s.rollout.Share > 0:
		return Course{side: Old, reason: ReasonControlLost}
	case share == 0:
		return Course{side: Old, reason: ReasonNoShare}
	case isRepeated:
		return Course{side: Old, reason: ReasonRepeated}
	case draw < float64(share)/tabulator.WholeShare:
		return Course{side: New, reason: ReasonDrawn}
	}
	return Course{side: Old, reason: ReasonDrawn}
}

// IsDecided reports whether the request has its side.
func (c Course) IsDecided() bool { return c.side != Undecided }

// Side returns the side of the next attempt.
func (c Course) Side() Side { return c.side }

// Reason returns why the request has this side.
func (c Course) Reason() Reason { return c.reason }

// AfterAttempt returns the course after an attempt was made: any further one goes to the old version, while that gets requests.
func (c Course) AfterAttempt() Course { return Course{side: Old, reason: ReasonRepeated} }

// Fallback returns the course of a request that no leaf of the new version takes.
func (c Course) Fallback() Course { return Course{side: Old, reason: ReasonFallback} }
