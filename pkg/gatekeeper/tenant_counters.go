package gatekeeper

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxCountedTenants bounds the tenants with counters of their own. The rest count as otherTenants.
	maxCountedTenants = 1000
	otherTenants      = "(others)"
)

type (
	// tenantCounters counts the requests of each tenant.
	tenantCounters struct {
		set    *metrics.Set
		mu     sync.Mutex
		byName map[string]*tenantCounter
	}

	// tenantCounter counts the requests of one tenant: all, those that leafs or other instances answered, those beyond the allowance, and
	// those refused or failed for another reason.
	tenantCounter struct {
		asked    *metrics.Counter
		served   *metrics.Counter
		limited  *metrics.Counter
		unserved *metrics.Counter
		// waiting is the number of requests in progress.
		waiting *metrics.Counter
	}
)

func newTenantCounters(set *metrics.Set) *tenantCounters {
	return &tenantCounters{set: set, byName: map[string]*tenantCounter{}}
}

// of returns the counter of a tenant.
func (t *tenantCounters) of(name string) *tenantCounter {
	t.mu.Lock()
	defer t.mu.Unlock()
	counter := t.byName[name]
	if counter != nil {
		return counter
	}
	if len(t.byName) >= maxCountedTenants {
		name = otherTenants
		if counter = t.byName[name]; counter != nil {
			return counter
		}
	}
	total := func(outcome string) *metrics.Counter {
		return t.set.GetOrCreateCounter(fmt.Sprintf("gatekeeper_tenant_requests_total{tenant=%q,outcome=%q}", name, outcome))
	}
	counter = &tenantCounter{
		asked: total("asked"), served: total("served"), limited: total("limited"), unserved: total("unserved"),
		waiting: t.set.GetOrCreateCounter(fmt.Sprintf("gatekeeper_tenant_requests_waiting{tenant=%q}", name)),
	}
	t.byName[name] = counter
	return counter
}

// begin counts a request and returns the function that counts its end.
func (c *tenantCounter) begin(in *inboundRequest) (end func()) {
	c.asked.Inc()
	c.waiting.Inc()
	return func() {
		c.waiting.Dec()
		switch {
		case in.isAnswered:
			c.served.Inc()
		case in.isOverAllowance:
			c.limited.Inc()
		default:
			c.unserved.Inc()
		}
	}
}
