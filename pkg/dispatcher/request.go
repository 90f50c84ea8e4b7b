package dispatcher

import (
	"time"

	"lovagedeck/pkg/coordinator"
)

type (
	// Request is a validated query of a caller.
	Request struct {
		Caller   string
		Weight   float64
		Services []string
		Text     string
		// Deadline is the time allowed for the query, which the table may shorten. Zero means the deadline in the table.
		Deadline time.Duration
		// MinCoverage is the share of the shards, from 0 to 1, that must answer. The table may require a larger share, and
		// nil means the share in the table.
		MinCoverage *float64
		Idempotent  bool
	}

	// Result is the answer to a query with the query identifier and the time taken.
	Result struct {
		ID   string
		Took time.Duration
		// RetryAfter is how long the caller of a refused query should wait before a retry.
		RetryAfter time.Duration
		Answer     coordinator.Answer
	}
)

const (
	// ReasonUnknownService means that the table has no row for a service of the query.
	ReasonUnknownService = "unknown-service"
	// ReasonNoHoldings means that no leaf of a service has reported its holdings.
	ReasonNoHoldings = "no-known-holdings"
	// ReasonNoLease means that the instance has no valid lease on the table.
	ReasonNoLease = "no-lease-on-the-table"
	// ReasonCutOff means that most of the other instances do not acknowledge what this one sends.
	ReasonCutOff = "cut-off-from-other-instances"
	// ReasonOverloaded means that the leafs of the query currently refuse queries of its priority.
	ReasonOverloaded = "overloaded"
	// ReasonShuttingDown means that the instance is shutting down.
	ReasonShuttingDown = coordinator.ReasonShuttingDown
	// ReasonCallerGone means that the caller disconnected before the answer was ready.
	ReasonCallerGone = "caller-gone"

	retryAfterOverload    = 200 * time.Millisecond
	retryAfterUnavailable = time.Second
)
