package coordinator

import (
	"time"

	"lovagedeck/pkg/assigner"
)

const (
	// OutcomeComplete means that every shard of the version answered.
	OutcomeComplete Outcome = "complete"
	// OutcomePartial means that enough shards answered to reach the minimum coverage; the others are listed as missing.
	OutcomePartial Outcome = "partial"
	// OutcomeRefused means that no leaf ran any part of the query.
	OutcomeRefused Outcome = "refused-not-run"
	// OutcomeFailed means that there is no usable answer and that leafs may have run parts of the query.
	OutcomeFailed Outcome = "failed-may-have-run"
)

const (
	// AttemptFirst is the first request for a shard.
	AttemptFirst AttemptKind = "first"
	// AttemptRetry is a request that replaces one which ended without an answer.
	AttemptRetry AttemptKind = "retry"
	// AttemptHedge is a duplicate of a request in flight that takes longer than usual.
	AttemptHedge AttemptKind = "hedge"
)

type (
	// Outcome is the result class of a query.
	Outcome string

	// AttemptKind is the reason why a request was sent.
	AttemptKind string

	// MissingShard is a shard without an answer, with the reason.
	MissingShard struct {
		Shard  Shard
		Reason string
	}

	// Part is the partial result of one shard.
	Part struct {
		Shard Shard
		Body  []byte
	}

	// Timing is how long the steps of one request took at the owner of the leaf.
	Timing struct {
		// QueueTime is the time in the admission queue.
		QueueTime time.Duration
		// ConnectTime is the time to open a connection to the leaf.
		ConnectTime time.Duration
		// LeafTime is the time from sending the request to the leaf's answer.
		LeafTime time.Duration
		// Limit is the concurrency limit of the leaf when its owner replied, in requests.
		Limit int
		// Slots is the number of requests that the leaf may run at once when fully warmed up.
		Slots int
		// SinceLimitReset is the time since the last reset of the concurrency limit before the request was sent.
		SinceLimitReset time.Duration
		// LimitResetReason is the reason for that reset.
		LimitResetReason string
	}

	// AttemptRecord describes one request of a query, for traces.
	AttemptRecord struct {
		ID    uint64
		Shard Shard
		Leaf  assigner.LeafID
		Kind  AttemptKind
		// Sent is the time at which the request was sent.
		Sent time.Duration
		// Ended is the time at which the request was answered, failed or was cancelled.
		Ended time.Duration
		// Result is "answered", "cancelled", or a text with the reason.
		Result  string
		Timing  Timing
		Version Version
	}

	// Answer is the result of a query.
	Answer struct {
		Outcome Outcome
		Version Version
		// Answered is the number of shards that answered.
		Answered int
		// Total is the number of shards of the version.
		Total   int
		Missing []MissingShard
		Parts   []Part
		// Reason is the reason of an outcome other than OutcomeComplete.
		Reason   string
		Attempts []AttemptRecord
		// Restarts is the number of times that the query started again with a newer version.
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

// RefusedAnswer returns the answer to a query of which no leaf has run any part.
func RefusedAnswer(reason string) Answer {
	return Answer{Outcome: OutcomeRefused, Reason: reason}
}
