// An answer states its outcome and its coverage.

package coordinator

import (
	"time"

	"lovagedeck/pkg/assigner"
)

const (
	// OutcomeComplete says that every shard of the version answered.
	OutcomeComplete Outcome = "complete"
	// OutcomePartial says that enough shards answered and lists the others.
	OutcomePartial Outcome = "partial"
	// OutcomeRefused says that no leaf ran any part of the query.
	OutcomeRefused Outcome = "refused-not-run"
	// OutcomeFailed says that there is no usable answer and that leafs may have run the query.
	OutcomeFailed Outcome = "failed-may-have-run"
)

const (
	// AttemptFirst is the first request for a shard.
	AttemptFirst AttemptKind = "first"
	// AttemptRetry replaces a request that ended without an answer.
	AttemptRetry AttemptKind = "retry"
	// AttemptHedge runs beside a request that takes long.
	AttemptHedge AttemptKind = "hedge"
)

type (
	// Outcome is the result of a query as a typed word.
	Outcome string

	// AttemptKind says why a request was sent.
	AttemptKind string

	// MissingShard is a shard without an answer and the reason.
	MissingShard struct {
		Shard  Shard
		Reason string
	}

	// Part is the answer of one shard.
	Part struct {
		Shard Shard
		Body  []byte
	}

	// Timing is how long the steps of one request took at the owner.
	Timing struct {
		Queue   time.Duration
		Connect time.Duration
		Leaf    time.Duration
		// Limit and Slots describe the leaf when the request was sent.
		Limit int
		Slots int
		// ClosedFor is the time since the leaf's limit was closed, and ClosedReason why.
		ClosedFor    time.Duration
		ClosedReason string
	}

	// AttemptRecord is the course of one request, for explanations.
	AttemptRecord struct {
		ID      uint64
		Shard   Shard
		Leaf    assigner.LeafID
		Kind    AttemptKind
		Sent    time.Duration
		Ended   time.Duration
		Result  string
		Timing  Timing
		Version Version
	}

	// Answer is what the caller is told.
	Answer struct {
		Outcome  Outcome
		Version  Version
		Answered int
		Total    int
		Missing  []MissingShard
		Parts    []Part
		Reason   string
		Attempts []AttemptRecord
		Restarts int
	}
)

// Coverage returns the answered share of the shards, 0 to 1.
func (a Answer) Coverage() float64 {
	if a.Total == 0 {
		return 0
	}
	return float64(a.Answered) / float64(a.Total)
}

// Refuse returns an answer that says truly that nothing ran.
func Refuse(reason string) Answer {
	return Answer{Outcome: OutcomeRefused, Reason: reason}
}
