// A query is admitted while the instance holds its lease, the rows of its
// services give it limits, and its priority is not below what their leafs
// refuse at present.

package dispatcher

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagedeck/pkg/coordinator"
)

// admit checks that the query may run here and returns its limits.
func (d *Dispatcher) admit(request Request, begun time.Duration) (coordinator.Limits, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return coordinator.Limits{}, ReasonShuttingDown
	}
	if !d.config.LeaseHeld(begun) {
		return coordinator.Limits{}, ReasonNotReady
	}
	if d.config.Transport.CutOff() {
		return coordinator.Limits{}, ReasonCutOff
	}
	limits, ok := d.limits(request, begun)
	if !ok {
		return coordinator.Limits{}, ReasonNoService
	}
	d.open++
	return limits, ""
}

func (d *Dispatcher) leave() {
	d.mu.Lock()
	d.open--
	d.mu.Unlock()
}

// limits narrows the rows of the services by the request.
func (d *Dispatcher) limits(request Request, begun time.Duration) (coordinator.Limits, bool) {
	limits := coordinator.Limits{Idempotent: request.Idempotent, HedgePercent: -1}
	deadline := request.Deadline
	for _, service := range request.Services {
		rows := d.rows[service]
		if len(rows) == 0 {
			return limits, false
		}
		for _, row := range rows {
			if deadline == 0 || row.Deadline() < deadline {
				deadline = row.Deadline()
			}
			limits.MinCoverage = max(limits.MinCoverage, row.MinCoverage())
			if limits.HedgePercent < 0 || row.HedgePercent() < limits.HedgePercent {
				limits.HedgePercent = row.HedgePercent()
			}
		}
	}
	if request.MinCoverage != nil {
		limits.MinCoverage = max(limits.MinCoverage, *request.MinCoverage)
	}
	limits.Deadline = begun + deadline
	return limits, true
}

// threshold returns the priority that a query needs so that each shard has a replica that takes it.
func (d *Dispatcher) threshold(plan coordinator.Plan, now time.Duration) float64 {
	needed := 0.0
	for _, shard := range plan.Shards {
		lowest := 1.0
		for _, leaf := range shard.Candidates {
			lowest = min(lowest, d.chooser.Threshold(leaf, now))
		}
		if len(shard.Candidates) > 0 {
			needed = max(needed, lowest)
		}
	}
	return needed
}

// priorityOf spreads queries evenly over 0 to 1, the same at every leaf.
func priorityOf(id string) float64 {
	return float64(xxhash.Sum64String(id)>>(64-priorityBits)) / (1 << priorityBits)
}

func retryAfter(reason string) time.Duration {
	if reason != ReasonOverloaded {
		return retryAfterNotReady
	}
	return retryAfterOverload
}
