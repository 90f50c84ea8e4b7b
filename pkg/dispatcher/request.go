package dispatcher

import (
	"time"

	"lovagedeck/pkg/coordinator"
)

type (
	// Request is a checked query of a caller.
	Request struct {
		Caller      string
		Weight      float64
		Services    []string
		Text        string
		Deadline    time.Duration
		MinCoverage *float64
		Idempotent  bool
	}

	// Result is an answer under the identifier of its query.
	Result struct {
		ID         string
		Took       time.Duration
		RetryAfter time.Duration
		Answer     coordinator.Answer
	}
)

const (
	// ReasonNoService says that no row of the table names the service.
	ReasonNoService = "unknown-service"
	// ReasonNoHoldings says that no leaf of the services has told what it holds.
	ReasonNoHoldings = "no-known-holdings"
	// ReasonNotReady says that the instance holds no lease on the table.
	ReasonNotReady = "no-lease-on-the-table"
	// ReasonCutOff says that most other instances do not take what this one sends.
	ReasonCutOff = "cut-off-from-other-instances"
	// ReasonOverloaded says that the leafs of the query refuse queries of its priority.
	ReasonOverloaded = "overloaded"
	// ReasonShuttingDown says that the instance is shutting down.
	ReasonShuttingDown = "shutting-down"
	// ReasonCallerGone says that the caller left before the answer.
	ReasonCallerGone = "caller-gone"

	retryAfterOverload = 200 * time.Millisecond
	retryAfterNotReady = time.Second
)
