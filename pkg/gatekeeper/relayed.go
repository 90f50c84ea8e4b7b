package gatekeeper

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/aggregator"
	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/router"
)

// maxRelayed is the number of requests of other instances' callers that are served at a time. Beyond it, those of the own callers
// would suffer.
const maxRelayed = 128

// reasonCutOffHelper is the reason for which an instance returns a relayed request without a result.
const reasonCutOffHelper = "the instance reaches no leaf any more"

type (
	// relayedSet holds the requests that this instance serves for other instances.
	relayedSet struct {
		mu      sync.Mutex
		running map[aggregator.SliceID]context.CancelFunc
	}

	// responseBuffer is the response to a relayed request. It implements http.ResponseWriter.
	responseBuffer struct {
		header http.Header
		status int
		body   []byte
	}
)

func newRelayedSet() *relayedSet {
	return &relayedSet{running: map[aggregator.SliceID]context.CancelFunc{}}
}

// TakesWork reports whether the instance takes slices and relayed requests of other instances.
func (g *Gatekeeper) TakesWork() bool { return g.Ready() && g.fleet.reachesLeafs() > 0 }

// ServeRelayed serves a request of another instance's caller and returns the response.
func (g *Gatekeeper) ServeRelayed(query aggregator.RelayQuery) aggregator.RelayReply {
	if reason := g.relayRefusalReason(query); reason != "" {
		g.config.Log.Info("gatekeeper: relayed request refused", "request", query.Request, "from", query.From, "reason", reason)
		return aggregator.RelayReply{NotRun: reason, TakesNoWork: !g.TakesWork()}
	}
	size := int64(len(query.Head) + len(query.Body))
	if !g.bodyMemory.Reserve(size) {
		return aggregator.RelayReply{NotRun: "no memory is left for bodies"}
	}
	defer g.bodyMemory.Release(size)
	ctx, cancel := context.WithTimeout(context.Background(), query.CallerLeft)
	defer cancel()
	if !g.relayed.add(query.RelayID(), cancel) {
		return aggregator.RelayReply{NotRun: "too many relayed requests are under way"}
	}
	defer g.relayed.remove(query.RelayID())
	g.counters.relayedServed.Inc()
	response := &responseBuffer{header: http.Header{}}
	cutOff := g.fleet.noticeOfCutOff()
	if query.Route.Idempotent {
		go cancelOn(ctx, cutOff, cancel)
	}
	in := g.newRelayedRequest(query)
	g.serveBuffered(ctx, response, in)
	switch {
	case in.isAnswered:
		return newRelayReply(in, response)
	case g.service.Err() != nil:
		return returnRelayed(in, response, reasonStopping)
	case isClosed(cutOff):
		return returnRelayed(in, response, reasonCutOffHelper)
	}
	return newRelayReply(in, response)
}

func newRelayReply(in *inboundRequest, response *responseBuffer) aggregator.RelayReply {
	return aggregator.RelayReply{Status: response.status, Header: response.header, Body: response.body, Progress: in.progress()}
}

// returnRelayed returns the reply of an instance that could not serve the request because it stops or reaches no leaf. The instance of
// the caller goes on with a request that may be sent again.
func returnRelayed(in *inboundRequest, response *responseBuffer, reason string) aggregator.RelayReply {
	reply := newRelayReply(in, response)
	if progress := in.progress(); !progress.MayHaveRun() && response.status != http.StatusGatewayTimeout {
		reply = aggregator.RelayReply{NotRun: reason, Progress: progress}
	} else if response.status == http.StatusBadGateway && (in.route.Idempotent() || reason == reasonCutOffHelper) {
		reply = aggregator.RelayReply{IsCutOff: true, UsedAttempts: in.usedAttempts(), Progress: progress}
	}
	reply.TakesNoWork = true
	return reply
}

// cancelOn cancels a context when the notice is closed.
func cancelOn(ctx context.Context, notice <-chan struct{}, cancel context.CancelFunc) {
	select {
	case <-notice:
		cancel()
	case <-ctx.Done():
	}
}

func isClosed(notice <-chan struct{}) bool {
	select {
	case <-notice:
		return true
	default:
		return false
	}
}

// CancelRelayed ends a relayed request whose caller has left.
func (g *Gatekeeper) CancelRelayed(id aggregator.SliceID) { g.relayed.cancel(id) }

func (g *Gatekeeper) relayRefusalReason(query aggregator.RelayQuery) string {
	switch {
	case g.table.Load() == nil || !g.hasRoster.Load():
		return "the instance is not ready"
	case !g.takesRelayed(query):
		return reasonStopping
	case g.fleet.reachesLeafs() <= 0:
		return "the instance reaches no leaf either"
	case g.config.MayBeStale != nil && g.config.MayBeStale():
		return "the request may have waited while the process was paused"
	case query.CallerLeft <= 0:
		return "the time is over"
	case g.keyStateOf(g.newPeerIdentity(query.Tenant, query.Key), query.Version) != keyHeld:
		return "the tenant does not hold the key any more"
	case query.Request == "" || query.Route.MaxAttempts <= query.UsedAttempts:
		return "the request allows no attempt"
	}
	return ""
}

// takesRelayed reports whether a relayed request can be expected to end before the service of this instance, as of its own callers.
func (g *Gatekeeper) takesRelayed(query aggregator.RelayQuery) bool {
	now := time.Now()
	return g.takes(router.NewRoute(query.Route), now.Add(-query.Elapsed), now.Add(query.CallerLeft))
}

func (g *Gatekeeper) newRelayedRequest(query aggregator.RelayQuery) *inboundRequest {
	fields := query.Route
	fields.MaxAttempts -= query.UsedAttempts
	route, now := router.NewRoute(fields), time.Now()
	deadline := now.Add(query.CallerLeft)
	return &inboundRequest{
		id: query.Request, arrivedAt: now.Add(-query.Elapsed), route: route, version: query.Version, deadline: deadline,
		identity:  g.newPeerIdentity(query.Tenant, query.Key),
		isRelayed: true, isCounted: query.IsCounted, before: query.History(),
		request: exchanger.Request{
			ID: query.Request, Head: query.Head, Body: query.Body, HasNoResponseBody: query.HasNoResponseBody, Deadline: deadline,
			IsNonIdempotent: !route.Idempotent(), MaxPermitWait: maxPermitWait(route),
		},
	}
}

// serveBuffered serves a request into the buffer. A request that was aborted leaves status 502: it may have run.
func (g *Gatekeeper) serveBuffered(ctx context.Context, response *responseBuffer, in *inboundRequest) {
	defer func() {
		reason := recover()
		if reason == nil {
			return
		}
		*response = responseBuffer{header: http.Header{}, status: http.StatusBadGateway}
		if err, isError := reason.(error); !isError || !errors.Is(err, http.ErrAbortHandler) {
			g.config.Log.Error(errors.Errorf("%v", reason), "gatekeeper: panic while serving a relayed request", "request", in.id)
		}
	}()
	g.serve(ctx, response, in)
}

// Header returns the header map, which can be changed until WriteHeader.
func (b *responseBuffer) Header() http.Header { return b.header }

// WriteHeader sets the status.
func (b *responseBuffer) WriteHeader(status int) { b.status = status }

// Write appends to the body.
func (b *responseBuffer) Write(data []byte) (int, error) {
	b.body = append(b.body, data...)
	return len(data), nil
}

func (s *relayedSet) add(id aggregator.SliceID, cancel context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.running) >= maxRelayed || s.running[id] != nil {
		return false
	}
	s.running[id] = cancel
	return true
}

func (s *relayedSet) remove(id aggregator.SliceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, id)
}

func (s *relayedSet) cancel(id aggregator.SliceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.running[id]; cancel != nil {
		cancel()
	}
}

func (s *relayedSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}
