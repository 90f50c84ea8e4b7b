// A query is admitted if the instance holds a valid lease, the table has rows
// for all of its services, and its priority reaches the overload threshold of
// the leafs that it needs.

package dispatcher

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagedeck/pkg/coordinator"
)

// admit counts the query as open and returns its limits, or returns the reason for which it is refused.
func (d *Dispatcher) admit(request Request, startedAt time.Duration) (coordinator.Limits, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isDraining {
		return coordinator.Limits{}, ReasonShuttingDown
	}
	if !d.config.LeaseHeld(startedAt) {
		return coordinator.Limits{}, ReasonNoLease
	}
	if d.config.Transport.IsCutOff() {
		return coordinator.Limits{}, ReasonCutOff
	}
	limits, ok := d.limitsFor(request, startedAt)
	if !ok {
		return coordinator.Limits{}, ReasonUnknownService
	}
	d.openCount++
	return limits, ""
}

// release ends the count of a query that admit accepted.
func (d *Dispatcher) release() {
	d.mu.Lock()
	d.openCount--
	d.mu.Unlock()
}

// limitsFor returns the strictest limits of the request and of the rows of its services, or false if a service has no rows.
func (d *Dispatcher) limitsFor(request Request, startedAt time.Duration) (coordinator.Limits, bool) {
	limits := coordinator.Limits{Idempotent: request.Idempotent, HedgePercent: -1}
	deadline := request.Deadline
	for _, service := range request.Services {
		rows := d.rowsByService[service]
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
	limits.Deadline = startedAt + deadline
	return limits, true
}

// admissionThreshold returns the lowest priority at which each shard of the plan has a replica that accepts the query.
func (d *Dispatcher) admissionThreshold(plan coordinator.Plan, now time.Duration) float64 {
	threshold := 0.0
	for _, shard := range plan.Shards {
		lowest := 1.0
		for _, leaf := range shard.Candidates {
			lowest = min(lowest, d.chooser.Threshold(leaf, now))
		}
		if len(shard.Candidates) > 0 {
			threshold = max(threshold, lowest)
		}
	}
	return threshold
}

// priorityOf returns a priority from 0 to 1 that is derived from the query identifier. Priorities are evenly distributed, and
// a query has the same priority at every leaf.
func priorityOf(id string) float64 {
	return float64(xxhash.Sum64String(id)>>(64-priorityBits)) / (1 << priorityBits)
}

func retryAfter(reason string) time.Duration {
	if reason != ReasonOverloaded {
		return retryAfterUnavailable
	}
	return retryAfterOverload
}
