// An instance that reaches no leaf has another instance serve the requests of
// its callers. That instance never relays them further.

package gatekeeper

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/aggregator"
	"lovagedeck/pkg/detector"
	"lovagedeck/pkg/retrier"
	"lovagedeck/pkg/slicer"
)

const (
	// maxRelayTries is the number of instances that a request is offered to.
	maxRelayTries = 3
	// initialHelpers is the number of instances to which an instance keeps connections for relayed requests.
	initialHelpers = 8
	// minHelpers is the number of available instances below which an instance that is cut off connects to twice as many.
	minHelpers = 2
	// helperGrowthInterval is the least time between two increases, in which the new instances are connected and asked.
	helperGrowthInterval = 100 * time.Millisecond
	// cutOffRetryAfter is the Retry-After of a request that no instance could take.
	cutOffRetryAfter = 300 * time.Millisecond
	// reasonCutOff and reasonNoReply are the reasons of refusals.
	reasonCutOff  = "this instance reaches no leaf, and no other instance took the request"
	reasonNoReply = "the instance that served the request did not answer"
)

type (
	// priorAttempts are the attempts at a request before it is relayed.
	priorAttempts struct {
		history retrier.History
		// isCounted is set if the request has been counted for the retry budget of its services.
		isCounted bool
	}

	// helperSet holds the instances that serve requests of this one while it reaches no leaf: size of them, last increased at grown.
	helperSet struct {
		names []string
		size  int
		grown time.Duration
	}
)

// canRelay reports whether another instance may serve a request after the given attempts.
func (g *Gatekeeper) canRelay(in *inboundRequest, prior priorAttempts) bool {
	return !in.isRelayed && g.config.Peers != nil && g.keyStateOf(in.identity, in.version) == keyHeld && prior.history.Allows(in.route.Idempotent(), in.route.MaxAttempts())
}

// relay offers the request to other instances until one serves it, and reports whether the caller has been answered. Without an
// answer, nothing has been sent to another instance.
func (g *Gatekeeper) relay(ctx context.Context, w http.ResponseWriter, in *inboundRequest, prior priorAttempts) bool {
	if !prior.isCounted {
		g.fleet.countRequest(nil)
	}
	callContext, cancel := context.WithDeadline(ctx, in.giveUpAt())
	defer cancel()
	stopWaiting := context.AfterFunc(g.service, cancel)
	defer stopWaiting()
	reason := reasonCutOff
	for _, instance := range g.fleet.helpersFor(maxRelayTries) {
		if callContext.Err() != nil || !g.canRelay(in, prior) {
			break
		}
		reply, err := g.config.Peers.Relay(callContext, instance, g.newRelayQuery(in, prior))
		g.logRelay(in, instance, reply, err)
		if err == nil && reply.NotRun == "" && !reply.IsCutOff {
			g.counters.relayed.Inc()
			in.isAnswered = reply.Status < http.StatusBadRequest
			g.writeRelayed(w, in, reply, prior.history.MayHaveRun())
			return true
		}
		if errors.Is(err, aggregator.ErrNotRelayed) {
			continue
		}
		if prior = prior.after(reply, err, in.route.MaxAttempts()); prior.history.MayHaveRun() {
			reason = reasonNoReply
		}
		if ctx.Err() != nil {
			g.counters.callersDisconnected.Inc()
			panic(http.ErrAbortHandler)
		}
		if g.service.Err() != nil {
			reason = reasonStopping
		}
	}
	if prior.history.MayHaveRun() {
		g.refuseRelayed(w, in, reason)
		return true
	}
	return false
}

// after returns the attempts after an instance did not serve the request, which may have used maxAttempts if there is no reply.
func (p priorAttempts) after(reply aggregator.RelayReply, err error, maxAttempts int) priorAttempts {
	if err != nil {
		return priorAttempts{history: p.history.WithAttempts(retrier.Unknown, maxAttempts), isCounted: true}
	}
	return priorAttempts{history: p.history.WithAttempts(reply.Known(), reply.UsedAttempts), isCounted: p.isCounted || reply.NotRun == ""}
}

// refuseRelayed answers a request that may have run and that no instance can serve any more.
func (g *Gatekeeper) refuseRelayed(w http.ResponseWriter, in *inboundRequest, reason string) {
	status := http.StatusBadGateway
	if !time.Now().Before(in.giveUpAt()) {
		status = http.StatusGatewayTimeout
	}
	g.refuseUnserved(w, in, refusal{status: status, reason: reason})
}

// refuseCutOff refuses a request of which nothing was sent.
func (g *Gatekeeper) refuseCutOff(w http.ResponseWriter, in *inboundRequest) {
	g.refuseUnserved(w, in, refusal{status: http.StatusServiceUnavailable, retryAfter: cutOffRetryAfter, reason: reasonCutOff})
}

func (g *Gatekeeper) refuseUnserved(w http.ResponseWriter, in *inboundRequest, r refusal) {
	r.id, r.route, r.version, r.took = in.id, in.route.Name(), in.version, time.Since(in.arrivedAt)
	r.callerTimeout = in.deadline.Sub(in.arrivedAt)
	if r.status == http.StatusServiceUnavailable {
		g.keyStateOf(in.identity, in.version).applyTo(&r)
	}
	g.refuse(w, r)
}

func (g *Gatekeeper) newRelayQuery(in *inboundRequest, prior priorAttempts) aggregator.RelayQuery {
	return aggregator.RelayQuery{
		ID: g.fleet.nextID(), From: g.config.Instance, Request: in.id, Head: in.request.Head, Body: in.request.Body,
		HasNoResponseBody: in.request.HasNoResponseBody, Route: in.route.Fields(), Version: in.version,
		Elapsed: time.Since(in.arrivedAt) + hopMargin, CallerLeft: time.Until(in.deadline) - hopMargin,
		UsedAttempts: prior.history.Used(), Progress: prior.history.Progress(), IsCounted: prior.isCounted,
		Tenant: in.tenantName(), Key: in.peerKey(),
	}
}

func (g *Gatekeeper) logRelay(in *inboundRequest, instance string, reply aggregator.RelayReply, err error) {
	cause := reply.NotRun
	if err != nil {
		cause = err.Error()
	}
	g.config.Log.Info("gatekeeper: relayed", "request", in.id, "peer", instance, "route", in.route.Name(), "version", in.version, "status", reply.Status,
		"cause", cause, "known", reply.Known().String(), "took-ms", time.Since(in.arrivedAt).Milliseconds())
}

// writeRelayed copies the response of another instance to the caller. Its status does not state that the request has not run if an
// earlier attempt may have run or, for one that is not idempotent, if the instance does not state it as well.
func (g *Gatekeeper) writeRelayed(w http.ResponseWriter, in *inboundRequest, reply aggregator.RelayReply, mayHaveRun bool) {
	if mayHaveRun && reply.Status == http.StatusServiceUnavailable || !in.route.Idempotent() && statesNotRun(reply.Status) && reply.Known().MayHaveRun() {
		g.refuseRelayed(w, in, "no leaf had room for another attempt")
		return
	}
	header := w.Header()
	for name, values := range reply.Header {
		if !hopByHopHeaders[name] {
			header[name] = values
		}
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, isSet := header[name]; !isSet {
			header[name] = nil
		}
	}
	if !in.request.HasNoResponseBody && statusAllowsBody(reply.Status) {
		header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	}
	g.writeHead(w, reply.Status)
	g.writeBody(w, in, reply.Body)
}

// servesItself reports whether this instance serves a new request itself, and whether it is cut off from the leafs.
func (f *fleet) servesItself() (servesItself, isCutOff bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peers == nil {
		return true, false
	}
	return f.detector.ServesItself(f.random.Float64(), f.now()), f.detector.State() == detector.CutOff
}

// helpersFor returns up to count instances, the available ones first and each kind in random order. If few are available, it connects
// to more. The others are last resorts: a stopping instance may still serve a request that nobody else can.
func (f *fleet) helpersFor(count int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var available, lastResorts []string
	for _, name := range f.helpers.names {
		switch {
		case f.peers.IsAvailable(name):
			available = append(available, name)
		case f.peers.IsLastResort(name):
			lastResorts = append(lastResorts, name)
		}
	}
	if now := f.now(); len(available) < minHelpers && now-f.helpers.grown >= helperGrowthInterval && f.helpers.size < len(f.recentMembers) {
		f.helpers.size, f.helpers.grown = 2*f.helpers.size, now
		f.updatePeers()
	}
	for _, names := range [][]string{available, lastResorts} {
		f.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	}
	helpers := append(available, lastResorts...)
	return helpers[:min(count, len(helpers))]
}

// othersServe reports whether an instance that could serve requests of this one is known to be available.
func (f *fleet) othersServe() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.helpers.names, func(name string) bool { return f.peers.IsAvailable(name) })
}

// updatePeers sets the instances to keep connections to: those that gather shards, and the helpers.
func (f *fleet) updatePeers() {
	if f.peers == nil {
		return
	}
	candidates := make([]slicer.Member, 0, len(f.recentMembers))
	for name, member := range f.recentMembers {
		candidates = append(candidates, slicer.Member{Instance: name, DataCentre: member.dataCentre})
	}
	f.helpers.names = slicer.Helpers(f.self, candidates, f.helpers.size)
	peers := maps.Clone(f.assignment.peers)
	if peers == nil {
		peers = map[string]string{}
	}
	maps.Copy(peers, f.placement.peers)
	for _, name := range f.helpers.names {
		if address := f.recentMembers[name].address; address != "" {
			peers[name] = address
		}
	}
	f.peers.SetPeers(peers)
}
