package gatekeeper

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/custodian"
	"lovagedeck/pkg/drainer"
	"lovagedeck/pkg/router"
)

const (
	// reasonStopping is the reason of a refusal because the service of this instance ends.
	reasonStopping = "the instance stops"
	// answerTime is the least time for answering the requests that are in progress at the end of service, also if the process was held
	// up until then.
	answerTime = 150 * time.Millisecond
	// peerCheckInterval is the time between checks of other instances while this one drains.
	peerCheckInterval = 500 * time.Millisecond
	// answerCheckInterval is the time between checks whether all requests have been answered.
	answerCheckInterval = 5 * time.Millisecond
)

var (
	// errStopping is returned if the service ended before a request had been read.
	errStopping = errors.New(reasonStopping)
	// pastDeadline makes reads from a connection fail at once.
	pastDeadline = time.Unix(1, 0)
)

type (
	// drain is a planned stop in progress. Requests that are still in progress at serviceEnd are answered then.
	drain struct {
		startedAt  time.Time
		serviceEnd time.Time
	}

	// callerConn is the state of one connection of a caller. Its requests are served one after the other.
	callerConn struct {
		requests int
		// client is the connection in the account of all clients, or nil.
		client *custodian.Conn
	}

	callerConnKey struct{}
)

// Drain ends readiness and makes each response close its connection, so that callers move to other instances. Service ends at
// serviceEnd; a second call has no effect.
func (g *Gatekeeper) Drain(serviceEnd time.Time) {
	if g.drain.CompareAndSwap(nil, &drain{startedAt: time.Now(), serviceEnd: serviceEnd}) && g.config.Peers != nil {
		go g.checkPeers()
	}
}

// checkPeers keeps up to date which instances could serve the callers that this one refuses, until the service ends.
func (g *Gatekeeper) checkPeers() {
	ticker := time.NewTicker(peerCheckInterval)
	defer ticker.Stop()
	for g.service.Err() == nil {
		g.config.Peers.CheckAll()
		select {
		case <-g.service.Done():
		case <-ticker.C:
		}
	}
}

// endService ends the service: nothing more is sent to leafs, and what is in progress is answered or returned.
func (g *Gatekeeper) endService() {
	g.fleet.endService()
	g.cancelService()
}

func (f *fleet) endService() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasServiceEnded = true
}

func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, &callerConn{client: custodian.Of(conn)})
}

// clientOf returns the connection of a request in the account of all clients, or nil if there is no account.
func clientOf(r *http.Request) *custodian.Conn {
	if conn, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok {
		return conn.client
	}
	return nil
}

// countOnConnection counts a request on its connection and reports whether the connection has carried an earlier one.
func countOnConnection(r *http.Request) (isKept bool) {
	conn, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	if !ok {
		return false
	}
	conn.requests++
	return conn.requests > 1
}

// takes reports whether the request can be expected to end before the service does.
func (g *Gatekeeper) takes(route *router.Route, arrived, deadline time.Time) bool {
	stop := g.drain.Load()
	if stop == nil {
		return true
	}
	if g.isIntakeClosed.Load() || g.service.Err() != nil {
		return false
	}
	return g.fleet.takesWhileDraining(route, time.Until(stop.serviceEnd), time.Until(giveUpTime(route, arrived, deadline)))
}

func (f *fleet) takesWhileDraining(route *router.Route, left, limit time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latencyOf(route).history.Takes(left, drainer.Request{Limit: limit, Objective: route.Objective(), IsIdempotent: route.Idempotent()})
}

// refuseStopping refuses a request of which nothing was sent because this instance stops. It does not wait for the rest of a body.
func (g *Gatekeeper) refuseStopping(w http.ResponseWriter, r *http.Request, refused refusal) {
	abandonBody(w, r)
	refused.status, refused.reason, refused.retryAfter = http.StatusServiceUnavailable, reasonStopping, g.stopRetryAfter()
	g.refuse(w, refused)
}

// stopRetryAfter returns when the caller of a request that this instance no longer serves should retry.
func (g *Gatekeeper) stopRetryAfter() time.Duration {
	left := time.Duration(0)
	if stop := g.drain.Load(); stop != nil {
		left = time.Until(stop.serviceEnd)
	}
	return drainer.RetryAfter(left, g.fleet.othersServe())
}

// flushIfDraining writes a response out before its request counts as answered.
func (g *Gatekeeper) flushIfDraining(w http.ResponseWriter) {
	if g.drain.Load() != nil {
		_ = http.NewResponseController(w).Flush()
	}
}

// logIfDraining logs a request that is taken although this instance stops.
func (g *Gatekeeper) logIfDraining(r *http.Request, id string, route *router.Route, isKept bool) {
	if stop := g.drain.Load(); stop != nil {
		g.config.Log.Info("gatekeeper: request taken while draining", "request", id, "route", route.Name(), "after-stop-ms", time.Since(stop.startedAt).Milliseconds(),
			"left-ms", time.Until(stop.serviceEnd).Milliseconds(), "kept-connection", isKept, "body-bytes", r.ContentLength)
	}
}

// logUnfinished logs a request that is still in progress at the end of service.
func (g *Gatekeeper) logUnfinished(in *inboundRequest, state []string) {
	fields := []any{"request", in.id, "route", in.route.Name(), "age-ms", time.Since(in.arrivedAt).Milliseconds(), "relayed", in.isRelayed, "state", state}
	if stop := g.drain.Load(); stop != nil {
		fields = append(fields, "arrived-after-stop-ms", in.arrivedAt.Sub(stop.startedAt).Milliseconds())
	}
	g.config.Log.Info("gatekeeper: request in progress at the end of service", fields...)
}
