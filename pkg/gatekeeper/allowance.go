// A request of a tenant with an allowance asks for a token while its body is
// read, and nothing is sent before the answer.

package gatekeeper

import (
	"net/http"
	"time"

	"lovagedeck/pkg/accountant"
	"lovagedeck/pkg/router"
)

const (
	// allowanceSpread is the share by which the Retry-After of a request beyond an allowance is lengthened at random, so that
	// callers that were refused together do not return together.
	allowanceSpread = 0.5
	reasonAllowance = "the allowance of the tenant is used up"
)

// Allowances decides whether requests of tenants may be sent.
type Allowances interface {
	// Ask calls done once, soon, from any goroutine.
	Ask(tenant *router.Tenant, version uint64, done func(accountant.Answer))
	// SetTable applies the allowances of a routing document.
	SetTable(table *router.Table)
}

// askAllowance asks for a token and returns the channel for the answer, or nil if the sender has no limit.
func (g *Gatekeeper) askAllowance(who identity, version uint64) <-chan accountant.Answer {
	if who.tenant == nil {
		return nil
	}
	if perSecond, _ := who.tenant.Allowance(); perSecond <= 0 {
		return nil
	}
	answers := make(chan accountant.Answer, 1)
	g.allowances.Ask(who.tenant, version, func(answer accountant.Answer) { answers <- answer })
	return answers
}

// awaitAllowance reports whether a request may be sent. Otherwise it has answered it, or its caller has left.
func (g *Gatekeeper) awaitAllowance(w http.ResponseWriter, r *http.Request, in *inboundRequest, answers <-chan accountant.Answer) bool {
	if answers == nil {
		return true
	}
	askedAt := time.Now()
	select {
	case answer := <-answers:
		in.allowedBy, in.allowanceWait, in.allowanceUsage = answer.By, time.Since(askedAt), answer.Usage
		if !answer.IsGranted {
			g.refuseOverAllowance(w, in, answer)
		}
		return answer.IsGranted
	case <-g.service.Done():
		g.refuseStopping(w, r, refusal{id: in.id, route: in.route.Name(), version: in.version, took: time.Since(in.arrivedAt), callerTimeout: in.deadline.Sub(in.arrivedAt)})
		return false
	case <-r.Context().Done():
		g.counters.callersDisconnected.Inc()
		g.config.Log.Info("gatekeeper: the caller left", "request", in.id, "tenant", in.tenantName(), "cause", "it left before the allowance was decided")
		panic(http.ErrAbortHandler)
	}
}

func (g *Gatekeeper) refuseOverAllowance(w http.ResponseWriter, in *inboundRequest, answer accountant.Answer) {
	allowance := answer.Allowance
	in.isOverAllowance = true
	g.refuse(w, refusal{
		id: in.id, status: http.StatusTooManyRequests, reason: reasonAllowance, route: in.route.Name(), version: in.version,
		retryAfter: g.fleet.spread(answer.RetryAfter, allowanceSpread), took: time.Since(in.arrivedAt), callerTimeout: in.deadline.Sub(in.arrivedAt),
		details: []any{
			"tenant", in.tenantName(), "rate", allowance.PerSecond, "burst", allowance.Burst, "allowance-version", allowance.Version,
			"decided-by", string(answer.By), "waited-ms", in.allowanceWait.Milliseconds(), "expected-ms", answer.RetryAfter.Milliseconds(),
		},
	})
}

// spread lengthens a time by a random part of the share.
func (f *fleet) spread(d time.Duration, share float64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return d + time.Duration(share*f.random.Float64()*float64(d))
}
