package dispatcher

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"lovagedeck/pkg/coordinator"
)

func newCounters(set *metrics.Set) counters {
	c := counters{
		queries:          map[coordinator.Outcome]*metrics.Counter{},
		first:            set.GetOrCreateCounter(`lovagedeck_attempts_total{kind="first"}`),
		retries:          set.GetOrCreateCounter(`lovagedeck_attempts_total{kind="retry"}`),
		hedges:           set.GetOrCreateCounter(`lovagedeck_attempts_total{kind="hedge"}`),
		unmatchedReplies: set.GetOrCreateCounter("lovagedeck_stray_replies_total"),
		duration:         set.GetOrCreateHistogram("lovagedeck_query_seconds"),
	}
	for _, outcome := range []coordinator.Outcome{
		coordinator.OutcomeComplete, coordinator.OutcomePartial, coordinator.OutcomeRefused, coordinator.OutcomeFailed,
	} {
		c.queries[outcome] = set.GetOrCreateCounter(fmt.Sprintf("lovagedeck_queries_total{outcome=%q}", outcome))
	}
	return c
}

func (c counters) record(result Result) {
	c.queries[result.Answer.Outcome].Inc()
	c.duration.Update(result.Took.Seconds())
	for _, attempt := range result.Answer.Attempts {
		switch attempt.Kind {
		case coordinator.AttemptRetry:
			c.retries.Inc()
		case coordinator.AttemptHedge:
			c.hedges.Inc()
		default:
			c.first.Inc()
		}
	}
}
