// Each leaf has one responsible instance, its allocator, by rendezvous hashing
// over the members of the newest view. If the allocator cannot be reached, its
// standby hands out permits at a fraction of the rate, and if that cannot be
// reached either, each instance permits itself a share of such a fraction.

package permitter

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/limiter"
	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/tabulator"
)

const (
	// callTimeout bounds a call. It covers a round trip between data centres and a short stall of the processor.
	callTimeout = 150 * time.Millisecond
	// unreachablePeriod is how long an instance is not called after a failed call.
	unreachablePeriod = time.Second
	callReserve       = "Permitter.Reserve"
)

type (
	// Config has the dependencies of a Permitter.
	Config struct {
		// Instance is the name of this instance.
		Instance string
		Linker   *linker.Linker
		Now      func() time.Duration
		Log      logr.Logger
		Service  *Service
	}

	// Permitter gets permits from the instances that are responsible for the leafs.
	Permitter struct {
		config Config
		mu     sync.Mutex
		owners *assigner.Map
		size   int
		peers  map[string]*peer
		// own paces the requests that this instance permits itself.
		own *limiter.Allocator
	}

	// peer is an instance that is responsible for leafs. While a call to it is in progress, demands gather in pending.
	peer struct {
		name      string
		conn      *linker.Peer
		pending   []pendingDemand
		isCalling bool
		// unreachableUntil is when the peer is called again after a failed call, or 0.
		unreachableUntil time.Duration
	}

	pendingDemand struct {
		demand     limiter.Demand
		dataCentre string
		done       func(limiter.Grant)
	}
)

// New returns a Permitter that knows no other instances and is responsible for all leafs itself.
func New(config Config) *Permitter {
	return &Permitter{config: config, peers: map[string]*peer{}, own: limiter.NewAllocator()}
}

// SetView applies the members of a new view.
func (p *Permitter) SetView(view *tabulator.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := map[string]string{}
	for _, member := range view.Members() {
		addresses[member.Instance()] = member.PeerAddress()
	}
	p.size = len(addresses)
	if p.owners == nil {
		p.owners = assigner.NewMap(view)
	} else {
		p.owners = p.owners.Next(view)
	}
	for name, known := range p.peers {
		if addresses[name] != known.conn.Address() {
			known.conn.Close()
			delete(p.peers, name)
		}
	}
}

// Observe records what this instance has learned of the limit of a leaf, for which it may be responsible.
func (p *Permitter) Observe(leaf string, limit limiter.Limit) { p.config.Service.observe(leaf, limit) }

// Report tells the allocator of a leaf of the given data centre what the leaf has stated to this instance.
func (p *Permitter) Report(leaf, dataCentre string, limit limiter.Limit) {
	p.Observe(leaf, limit)
	p.submit(pendingDemand{demand: limiter.Demand{Leaf: leaf, Limit: limit, IsReport: true}, dataCentre: dataCentre, done: func(limiter.Grant) {}})
}

// Acquire requests a permit for a leaf of the given data centre and calls done once, from another goroutine, when the permit
// is valid or has been denied.
func (p *Permitter) Acquire(demand limiter.Demand, dataCentre string, done func(limiter.Grant)) {
	p.submit(pendingDemand{demand: demand, dataCentre: dataCentre, done: done})
}

// Close closes the connections.
func (p *Permitter) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.peers {
		known.conn.Close()
	}
}

// submit passes a demand to the allocator of the leaf, to its standby, or to the share of this instance.
func (p *Permitter) submit(d pendingDemand) {
	p.mu.Lock()
	now := p.config.Now()
	target, isStandby, isFound := p.targetFor(assigner.NewLeaf(assigner.LeafID(d.demand.Leaf), d.dataCentre), now)
	d.demand.IsStandby = isStandby
	if !isFound {
		grant := p.allocateOwnShare(d.demand, now)
		p.mu.Unlock()
		deliver(d, grant)
		return
	}
	if target == nil {
		p.mu.Unlock()
		deliver(d, p.config.Service.allocate(d.demand, now))
		return
	}
	target.pending = append(target.pending, d)
	if !target.isCalling {
		target.isCalling = true
		go p.callLoop(target)
	}
	p.mu.Unlock()
}

// targetFor returns the peer that hands out permits for a leaf, or nil if this instance does. It returns false if neither the
// allocator nor its standby can be reached.
func (p *Permitter) targetFor(leaf assigner.Leaf, now time.Duration) (target *peer, isStandby, isFound bool) {
	if p.owners == nil || p.size == 0 {
		return nil, false, true
	}
	owner, ok := p.owners.Owner(leaf)
	if !ok {
		return nil, false, false
	}
	if target, isFound = p.reachablePeer(owner, now); isFound {
		return target, false, true
	}
	standby, ok := p.owners.PreviousOwner(leaf, owner.ID())
	if !ok {
		return nil, false, false
	}
	target, isFound = p.reachablePeer(standby, now)
	return target, true, isFound
}

// reachablePeer returns the peer of a member, or nil for this instance, and false if the last call to it has failed.
func (p *Permitter) reachablePeer(member tabulator.Member, now time.Duration) (*peer, bool) {
	name := member.Instance()
	if name == p.config.Instance {
		return nil, true
	}
	known := p.peers[name]
	if known == nil {
		known = &peer{name: name, conn: p.config.Linker.NewPeer(member.PeerAddress())}
		p.peers[name] = known
	}
	return known, now >= known.unreachableUntil
}

// allocateOwnShare permits this instance its share of what a standby hands out.
func (p *Permitter) allocateOwnShare(demand limiter.Demand, now time.Duration) limiter.Grant {
	demand.IsStandby, demand.Instances = true, p.size
	return p.own.Allocate(demand, now)
}

// callLoop calls the peer until no demands are pending.
func (p *Permitter) callLoop(target *peer) {
	for {
		p.mu.Lock()
		count := min(maxDemands, len(target.pending))
		batch := target.pending[:count:count]
		target.pending = target.pending[count:]
		target.isCalling = count > 0
		p.mu.Unlock()
		if count == 0 {
			return
		}
		p.call(target, batch)
	}
}

// call passes demands to a peer. Demands for the peer as allocator and as standby go in separate calls. If a call fails, its
// demands go to the next instance.
func (p *Permitter) call(target *peer, batch []pendingDemand) {
	for _, isStandby := range []bool{false, true} {
		var demands []pendingDemand
		query := ReserveQuery{IsStandby: isStandby}
		now := p.config.Now()
		for _, d := range batch {
			if d.demand.IsStandby == isStandby {
				demands = append(demands, d)
				query.Demands = append(query.Demands, toDemandFields(d.demand, now))
			}
		}
		if len(demands) > 0 {
			p.reserve(target, query, demands)
		}
	}
}

func (p *Permitter) reserve(target *peer, query ReserveQuery, demands []pendingDemand) {
	var reply ReserveReply
	err := target.conn.Call(callReserve, query, &reply, callTimeout)
	now := p.config.Now()
	if err != nil || !reply.isValid(len(demands)) {
		p.onFailure(target, err, now)
		for _, d := range demands {
			p.submit(d)
		}
		return
	}
	p.onReply(target)
	for i, d := range demands {
		deliver(d, reply.Grants[i].toGrant(now))
	}
}

func (p *Permitter) onReply(target *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if target.unreachableUntil > 0 {
		target.unreachableUntil = 0
		p.config.Log.Info("permitter: instance used again", "peer", target.name)
	}
}

// onFailure leaves a peer out for a while.
func (p *Permitter) onFailure(target *peer, err error, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if target.unreachableUntil == 0 {
		p.config.Log.Info("permitter: instance left out", "peer", target.name, "cause", failureCause(err))
	}
	target.unreachableUntil = now + unreachablePeriod
}

func failureCause(err error) string {
	if err == nil {
		return "the reply is invalid"
	}
	return err.Error()
}

// deliver reports a grant once its permit is valid.
func deliver(d pendingDemand, grant limiter.Grant) {
	if !grant.IsGranted || grant.Wait <= 0 {
		go d.done(grant)
		return
	}
	time.AfterFunc(grant.Wait, func() { d.done(grant) })
}
