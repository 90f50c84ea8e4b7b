package gatekeeper

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// counters are the metrics of the gatekeeper.
type counters struct {
	set           *metrics.Set
	mu            *sync.Mutex
	connects      *metrics.Counter
	connectFaults *metrics.Counter
	hedges        *metrics.Counter
	retries       *metrics.Counter
	partial       *metrics.Counter
	complete      *metrics.Counter
	passed        *metrics.Counter
	callerLeft    *metrics.Counter
	noLeaf        *metrics.Counter
	overBudget    *metrics.Counter
	slices        *metrics.Counter
	slicesLost    *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	return counters{
		set: set, mu: &sync.Mutex{},
		connects:      set.NewCounter("gatekeeper_connections_opened_total"),
		connectFaults: set.NewCounter("gatekeeper_connections_failed_total"),
		hedges:        set.NewCounter("gatekeeper_hedges_total"),
		retries:       set.NewCounter("gatekeeper_retries_total"),
		partial:       set.NewCounter(`gatekeeper_answers_total{kind="partial"}`),
		complete:      set.NewCounter(`gatekeeper_answers_total{kind="complete"}`),
		passed:        set.NewCounter(`gatekeeper_answers_total{kind="passed"}`),
		callerLeft:    set.NewCounter("gatekeeper_callers_left_total"),
		noLeaf:        set.NewCounter(`gatekeeper_attempts_denied_total{reason="no leaf"}`),
		slices:        set.NewCounter("gatekeeper_slices_gathered_total"),
		slicesLost:    set.NewCounter("gatekeeper_slices_taken_back_total"),
		overBudget:    set.NewCounter(`gatekeeper_attempts_denied_total{reason="budget"}`),
	}
}

// denied counts an attempt that was not begun.
func (c *counters) denied(why denial) {
	switch why {
	case denialNoLeaf:
		c.noLeaf.Inc()
	case denialBudget:
		c.overBudget.Inc()
	}
}

// refused returns the counter of a reason; reasons are a fixed set of sentences.
func (c *counters) refused(reason string) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf("gatekeeper_refusals_total{reason=%q}", reason))
}

// duration returns the latency histogram of a kind of route.
func (c *counters) duration(kind string) *metrics.Histogram {
	return c.set.GetOrCreateHistogram(fmt.Sprintf("gatekeeper_request_seconds{kind=%q}", kind))
}
