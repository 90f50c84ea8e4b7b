package gatekeeper

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// counters holds the metrics of the gatekeeper.
type counters struct {
	set                 *metrics.Set
	mu                  *sync.Mutex
	connectionsOpened   *metrics.Counter
	connectionsFailed   *metrics.Counter
	hedges              *metrics.Counter
	retries             *metrics.Counter
	partial             *metrics.Counter
	complete            *metrics.Counter
	passed              *metrics.Counter
	callersDisconnected *metrics.Counter
	deniedNoLeaf        *metrics.Counter
	deniedOverBudget    *metrics.Counter
	deniedRateLimit     *metrics.Counter
	deniedRest          *metrics.Counter
	slices              *metrics.Counter
	slicesTakenBack     *metrics.Counter
	relayed             *metrics.Counter
	relayedServed       *metrics.Counter
	requestsPlaced      *metrics.Counter
	placedHere          *metrics.Counter
	placedByAdvice      *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	return counters{
		set: set, mu: &sync.Mutex{},
		connectionsOpened:   set.NewCounter("gatekeeper_connections_opened_total"),
		connectionsFailed:   set.NewCounter("gatekeeper_connections_failed_total"),
		hedges:              set.NewCounter("gatekeeper_hedges_total"),
		retries:             set.NewCounter("gatekeeper_retries_total"),
		partial:             set.NewCounter(`gatekeeper_answers_total{kind="partial"}`),
		complete:            set.NewCounter(`gatekeeper_answers_total{kind="complete"}`),
		passed:              set.NewCounter(`gatekeeper_answers_total{kind="passed"}`),
		callersDisconnected: set.NewCounter("gatekeeper_callers_left_total"),
		deniedNoLeaf:        set.NewCounter(`gatekeeper_attempts_denied_total{reason="no leaf"}`),
		slices:              set.NewCounter("gatekeeper_slices_gathered_total"),
		slicesTakenBack:     set.NewCounter("gatekeeper_slices_taken_back_total"),
		relayed:             set.NewCounter("gatekeeper_requests_relayed_total"),
		relayedServed:       set.NewCounter("gatekeeper_relayed_requests_served_total"),
		requestsPlaced:      set.NewCounter("gatekeeper_requests_placed_for_others_total"),
		placedHere:          set.NewCounter(`gatekeeper_plain_attempts_by_work_total{sight="own"}`),
		placedByAdvice:      set.NewCounter(`gatekeeper_plain_attempts_by_work_total{sight="shared"}`),
		deniedOverBudget:    set.NewCounter(`gatekeeper_attempts_denied_total{reason="budget"}`),
		deniedRest:          set.NewCounter(`gatekeeper_attempts_denied_total{reason="rest"}`),
		deniedRateLimit:     set.NewCounter(`gatekeeper_attempts_denied_total{reason="rate limit"}`),
	}
}

// countDenial counts an attempt that was not started.
func (c *counters) countDenial(reason denial) {
	switch reason {
	case denialNoLeaf:
		c.deniedNoLeaf.Inc()
	case denialBudget:
		c.deniedOverBudget.Inc()
	case denialRateLimit:
		c.deniedRateLimit.Inc()
	case denialRest:
		c.deniedRest.Inc()
	}
}

// refusals returns the counter of a refusal reason. Reasons are a fixed set of texts.
func (c *counters) refusals(reason string) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf("gatekeeper_refusals_total{reason=%q}", reason))
}

// duration returns the latency histogram of a kind of route.
func (c *counters) duration(kind string) *metrics.Histogram {
	return c.set.GetOrCreateHistogram(fmt.Sprintf("gatekeeper_request_seconds{kind=%q}", kind))
}
