// Where the deployment calls for it, leafs are compared by the work that they
// still have to do. This instance learns the costs of requests, and for the
// plain services that it is responsible for it places the requests of all
// instances of its data centre.

package gatekeeper

import (
	"maps"
	"slices"
	"strings"
	"time"

	"lovagedeck/pkg/aggregator"
	"lovagedeck/pkg/arbiter"
	"lovagedeck/pkg/estimator"
	"lovagedeck/pkg/placer"
	"lovagedeck/pkg/slicer"
)

const (
	// placeTimeout bounds the wait for the advice of the placing instance: about a tenth of the work of a plain request.
	placeTimeout = 25 * time.Millisecond
	// placePause is how long a placing instance is not asked after it has failed to reply.
	placePause = time.Second
	// maxTickets bounds the requests of other instances that this one keeps track of.
	maxTickets = 4096
)

type (
	// placement holds what this instance needs to place requests by their work.
	placement struct {
		mode placer.Mode
		// timeout bounds the wait for the advice of a placing instance.
		timeout time.Duration
		costs   *estimator.Estimator
		// plan has the placing instances of the plain services that are placed by work, and peers their addresses.
		plan  slicer.Plan
		peers map[string]string
		// pausedUntil holds, by placing instance, until when it is not asked.
		pausedUntil map[string]time.Duration
		tickets     map[uint64]ticket
		// queues decide, by service, on the requests that this instance places.
		queues map[string]*arbiter.Queue
		// lastHeardAt is when another instance last asked for a leaf of a service.
		lastHeardAt map[string]time.Duration
	}

	// ticket is a request that another instance has sent to a leaf.
	ticket struct {
		leaf   *placer.Leaf
		key    estimator.Key
		endsBy time.Duration
	}

	// advice is the leaf that the placing instance of a service has named for a request.
	advice struct {
		instance string
		reply    aggregator.PlaceReply
	}
)

func newPlacement(mode placer.Mode) placement {
	return placement{mode: mode, timeout: placeTimeout, costs: estimator.New(), pausedUntil: map[string]time.Duration{}, tickets: map[uint64]ticket{}, queues: map[string]*arbiter.Queue{}, lastHeardAt: map[string]time.Duration{}}
}

// costKey returns the group of requests that the request is expected to cost as much as.
func costKey(in *inboundRequest, bodyBytes int, service string) estimator.Key {
	key := estimator.Key{Route: in.route.Fields().Host + in.route.Fields().Prefix, SizeGroup: estimator.SizeGroup(bodyBytes)}
	if !in.route.Scatters() {
		key.Service = service
	}
	if in.tenant != nil {
		key.Tenant = in.tenant.Name()
	}
	return key
}

// estimateCost returns the expected work of a request and the group of requests that it is expected to cost as much as. Both are empty if
// the service is not placed by work.
func (f *fleet) estimateCost(s *service, in *inboundRequest, bodyBytes int, typicalLatency, now time.Duration) (estimator.Key, estimator.Estimate) {
	if !s.isPlacedByWork {
		return estimator.Key{}, estimator.Estimate{}
	}
	key := costKey(in, bodyBytes, s.name)
	return key, f.placement.costs.Estimate(key, typicalLatency, now)
}

// updatePlacement decides which services are placed by work, and which instances place the plain ones.
func (f *fleet) updatePlacement() {
	if f.table == nil {
		return
	}
	isShard := map[string]bool{}
	for _, name := range f.table.ShardServices() {
		isShard[name] = true
	}
	var plain []slicer.Shard
	for _, name := range f.table.TargetServices() {
		s := f.services[name]
		if s == nil {
			continue
		}
		if isShard[name] {
			s.isPlacedByWork = f.placement.mode.IsForShards()
			continue
		}
		slotsPerLeaf, localSlots := f.slots(s)
		s.isPlacedByWork = f.placement.mode.IsForPlain(slotsPerLeaf, localSlots, f.instanceSet.Instances[f.dataCentre])
		if s.isPlacedByWork {
			plain = append(plain, slicer.Shard{Service: name, DataCentres: []string{f.dataCentre}})
		}
	}
	slices.SortFunc(plain, func(a, b slicer.Shard) int { return strings.Compare(a.Service, b.Service) })
	f.removeQueues()
	peers := map[string]string{}
	f.placement.plan = slicer.New(f.members, plain, f.dataCentre)
	for _, shard := range plain {
		for _, instance := range f.placement.plan.Gatherers(shard.Service) {
			if address := f.addresses[instance]; instance != f.self && address != "" {
				peers[instance] = address
			}
		}
	}
	if !maps.Equal(peers, f.placement.peers) {
		f.placement.peers = peers
		f.updatePeers()
		f.log.Info("gatekeeper: services placed by work", "plain", len(plain), "placing-instances", slices.Sorted(maps.Keys(peers)))
	}
}

// slots returns the slots of a leaf of the service and the slots of all its leafs in this data centre.
func (f *fleet) slots(s *service) (perLeaf, local int) {
	for _, u := range s.upstreams {
		fields := u.leaf.Fields()
		perLeaf = max(perLeaf, fields.Slots)
		if fields.DataCentre == f.dataCentre {
			local += fields.Slots
		}
	}
	return perLeaf, local
}

// placingInstance returns the instance to ask which leaf of a service a request should get, or "" if this instance decides itself.
func (f *fleet) placingInstance(service string) string {
	if f.peers == nil {
		return ""
	}
	for _, instance := range f.placement.plan.Gatherers(service) {
		if instance == f.self {
			return ""
		}
		if f.now() >= f.placement.pausedUntil[instance] && f.peers.IsAvailable(instance) {
			return instance
		}
	}
	return ""
}

// askPlacement asks the placing instance of a plain service which leaf a request should get, and whether it is turned away if admission is
// not nil. It returns nil if there is no placing instance or it does not reply in time, and the request is not turned away.
func (f *fleet) askPlacement(in *inboundRequest, service string, tried []*placer.Leaf, selection leafSelection, admission *aggregator.AdmissionQuery) *advice {
	f.mu.Lock()
	instance := f.placingInstance(service)
	query := aggregator.PlaceQuery{
		Request: in.id, From: f.self, Key: costKey(in, len(in.request.Body), service), Prior: f.latencyOf(in.route).typical, IsNonIdempotent: !in.route.Idempotent(),
		RequiresHealthy: selection == selectHealthy, TimeLeft: time.Until(in.giveUpAt()), Admission: admission,
	}
	if instance == "" {
		defer f.mu.Unlock()
		return f.judgeOwn(query, tried)
	}
	for _, leaf := range tried {
		query.Tried = append(query.Tried, leaf.Fields().ID)
	}
	f.mu.Unlock()
	reply, err := f.peers.Place(instance, query, f.placement.timeout)
	if err != nil {
		f.mu.Lock()
		f.placement.pausedUntil[instance] = f.now() + placePause
		advised := f.judgeAlone(query, tried)
		f.mu.Unlock()
		f.log.Info("gatekeeper: no advice on the leaf", "request", in.id, "service", service, "peer", instance, "cause", err.Error())
		return advised
	}
	reply.IsTurnedAway = reply.IsTurnedAway && admission != nil
	if reply.Leaf == "" && !reply.IsTurnedAway {
		return nil
	}
	return &advice{instance: instance, reply: reply}
}

// choose returns the advised leaf, unless this instance knows it to be unfit, or else the best one that this instance knows.
func (f *fleet) choose(s *service, criteria placer.Criteria, advised *advice) *placer.Leaf {
	if advised != nil {
		known := f.leafs[advised.reply.Leaf]
		if known != nil && known.leaf.Fields().Service == s.name && isFitForAdvice(known.leaf, criteria) {
			return known.leaf
		}
	}
	return placer.Choose(s.leafs, criteria)
}

// isFitForAdvice reports whether the leaf is taken if the placing instance names it.
func isFitForAdvice(leaf *placer.Leaf, criteria placer.Criteria) bool {
	criteria.RequiresHealthy = true
	return placer.Choose([]*placer.Leaf{leaf}, criteria) != nil
}

// startWork records an attempt with the work that it is expected to cost.
func (f *fleet) startWork(a *attempt, key estimator.Key, cost, now time.Duration, advised *advice) {
	leaf := a.upstream.leaf
	a.costKey, a.cost, a.slowness = key, cost, leaf.Stats(now).Slowness
	a.wait = leaf.WorkStats(now).Wait
	if advised != nil {
		a.advice = advised
		if advised.reply.Leaf == leaf.Fields().ID {
			a.cost, a.wait = advised.reply.Cost, advised.reply.Wait
		}
	}
	a.expectedDuration = leaf.ExpectedWork(a.cost, now)
	leaf.OnSendWork(a.id, a.latency.typical, a.cost, now)
}

// endWork learns from an attempt that has ended, and tells the instance that has placed it. The time to the answer is 0 if there is none.
func (f *fleet) endWork(a *attempt, took, now time.Duration) {
	if a.cost == 0 {
		return
	}
	work := estimator.Work(took, a.wait, a.slowness)
	if work > 0 {
		f.placement.costs.Record(a.costKey, work, now)
	}
	if a.advice != nil {
		f.peers.EndPlaced(a.advice.instance, aggregator.PlacedNotice{Ticket: a.advice.reply.Ticket, Work: work})
	}
}

// discard tells the placing instance that a request will not be sent on its advice.
func (f *fleet) discard(advised *advice) {
	if advised != nil && !advised.reply.IsTurnedAway {
		f.peers.EndPlaced(advised.instance, aggregator.PlacedNotice{Ticket: advised.reply.Ticket})
	}
}

// place returns the leaf that a request of another instance should get, and records the request as sent to it.
func (f *fleet) place(query aggregator.PlaceQuery) aggregator.PlaceReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.expireTickets(now)
	s := f.services[query.Key.Service]
	if s == nil || len(f.placement.tickets) >= maxTickets || s.rollout.split.IsDivided() {
		// During a roll-out the instance that has the request decides its version.
		return aggregator.PlaceReply{}
	}
	var tried []*placer.Leaf
	for _, u := range s.upstreams {
		if slices.Contains(query.Tried, u.leaf.Fields().ID) {
			tried = append(tried, u.leaf)
		}
	}
	cost := f.placement.costs.Estimate(query.Key, query.Prior, now).Cost
	leaf := placer.Choose(s.leafs, f.placingCriteria(query, tried, cost, now))
	if leaf == nil {
		return aggregator.PlaceReply{}
	}
	if refusal, isTurnedAway := f.judgePlaced(query, leaf, cost, now); isTurnedAway {
		return refusal
	}
	f.lastID++
	reply := aggregator.PlaceReply{Leaf: leaf.Fields().ID, Ticket: f.lastID, Cost: cost, Wait: leaf.WorkStats(now).Wait}
	if heardAt, ok := f.placement.lastHeardAt[s.name]; ok {
		reply.SightAge = now - heardAt
	}
	f.placement.lastHeardAt[s.name] = now
	endsBy := now + max(0, query.TimeLeft)
	leaf.OnForeignSend(reply.Ticket, cost, endsBy, now)
	f.placement.tickets[reply.Ticket] = ticket{leaf: leaf, key: query.Key, endsBy: endsBy}
	return reply
}

// placingCriteria returns the requirements on the leaf for a request of any instance.
func (f *fleet) placingCriteria(query aggregator.PlaceQuery, tried []*placer.Leaf, cost, now time.Duration) placer.Criteria {
	return placer.Criteria{
		Now: now, DataCentre: f.dataCentre, IsOutOfService: func(dataCentre string) bool { return f.outOfService[dataCentre] }, Tried: tried,
		IsExcluded: func(leaf *placer.Leaf) bool { return f.isHeld(leaf, now) }, RequiresHealthy: query.RequiresHealthy, IsNonIdempotent: query.IsNonIdempotent, IgnoresLimit: true, Cost: cost, TieBreaker: f.random.Float64(),
	}
}

// endPlaced records that a request that was placed for another instance has ended.
func (f *fleet) endPlaced(notice aggregator.PlacedNotice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	placed, ok := f.placement.tickets[notice.Ticket]
	if !ok {
		return
	}
	now := f.now()
	delete(f.placement.tickets, notice.Ticket)
	placed.leaf.OnForeignEnd(notice.Ticket, now)
	if notice.Work > 0 {
		f.placement.costs.Record(placed.key, notice.Work, now)
	}
}

// expireTickets removes the requests whose end was not reported, for example because their instance was lost.
func (f *fleet) expireTickets(now time.Duration) {
	for id, placed := range f.placement.tickets {
		if now >= placed.endsBy {
			placed.leaf.OnForeignEnd(id, now)
			delete(f.placement.tickets, id)
		}
	}
}

// PlaceRequest returns the leaf that a plain request of another instance should get.
func (g *Gatekeeper) PlaceRequest(query aggregator.PlaceQuery) aggregator.PlaceReply {
	if !g.TakesWork() {
		return aggregator.PlaceReply{}
	}
	reply := g.fleet.place(query)
	g.counters.requestsPlaced.Inc()
	g.config.Log.V(1).Info("gatekeeper: request placed", "request", query.Request, "from", query.From, "service", query.Key.Service, "leaf", reply.Leaf,
		"expected-cost-ms", reply.Cost.Milliseconds(), "expected-wait-ms", reply.Wait.Milliseconds(), "sight-age-ms", reply.SightAge.Milliseconds())
	return reply
}

// EndPlacedRequest records that a request that this instance has placed has ended.
func (g *Gatekeeper) EndPlacedRequest(notice aggregator.PlacedNotice) { g.fleet.endPlaced(notice) }

// countPlacement counts an attempt at a plain request whose leaf was chosen by work.
func (g *Gatekeeper) countPlacement(a *attempt) {
	switch {
	case a == nil || a.cost == 0:
	case a.advice != nil:
		g.counters.placedByAdvice.Inc()
	default:
		g.counters.placedHere.Inc()
	}
}

// placedBy returns the instance that named the leaf of the attempt, or "" if this instance has chosen it.
func (a *attempt) placedBy() string {
	if a.advice == nil {
		return ""
	}
	return a.advice.instance
}

// sightAge returns how long the instance that named the leaf had not heard of other requests to the service.
func (a *attempt) sightAge() time.Duration {
	if a.advice == nil {
		return 0
	}
	return a.advice.reply.SightAge
}
