// Each instance keeps connections to a subset of the leafs of a service, which
// package placer chooses, and opens them one by one before they are needed.
// Their number is limited so that all instances together stay within what a
// leaf accepts.

package gatekeeper

import (
	"time"

	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/placer"
)

const (
	// keptConnectionShare is the share of a leaf's connections that all instances together keep open. After a power
	// loss the leaf still counts the connections of the lost instances, and must have room for as many new ones.
	keptConnectionShare = 0.5
	// openConnectionShare is the share that all instances together may have open. The rest covers instances that join
	// and leave, and requests to leafs without a kept connection.
	openConnectionShare = 0.92
	// spareIdleTimeout is the idle timeout of connections to a leaf of the subset beyond those that are kept.
	spareIdleTimeout = 2 * time.Second
	// outsideIdleTimeout is the idle timeout of connections to leafs outside the subset.
	outsideIdleTimeout = time.Second
	// prewarmPause is the pause between connections opened in advance. Each one occupies a slot of its leaf for a
	// moment, and after a loss all instances open theirs at the same time.
	prewarmPause = 8 * time.Millisecond
	// defaultConnections is assumed for a service without a connection limit.
	defaultConnections = 16
	// prewarmDelay is how long an instance without requests waits before it opens connections in advance. After a loss
	// of all instances, leafs still count the connections of the lost ones for about five seconds, and callers come to
	// only half of the new instances in that time.
	prewarmDelay = 5 * time.Second
	// prewarmedConnections is the number of connections opened in advance to each leaf of the subset.
	prewarmedConnections = 1
)

// allocate divides the retry budget of each service and the connections of each leaf among the instances, and suspends the pools
// of leafs that are out of service.
func (f *fleet) allocate() {
	f.updateAssignment()
	f.allocateBudget()
	f.updatePlacement()
	f.suspendPools()
	for _, s := range f.services {
		if f.allocateGathered(s) {
			continue
		}
		locations := make([]placer.Location, 0, len(s.upstreams))
		for _, u := range s.upstreams {
			if fields := u.leaf.Fields(); !u.leaf.IsDraining() {
				locations = append(locations, placer.Location{ID: fields.ID, DataCentre: fields.DataCentre})
			}
		}
		limits := placer.Subset(locations, f.instanceSet, f.connectionLimits(s.name))
		for _, u := range s.upstreams {
			limit, isInSubset := limits[u.leaf.Fields().ID]
			u.leaf.SetInSubset(isInSubset)
			if isInSubset {
				u.pool.SetLimit(limit, prewarmedConnections, spareIdleTimeout)
			} else {
				u.pool.SetLimit(1, 0, outsideIdleTimeout)
			}
		}
	}
}

func (f *fleet) connectionLimits(name string) placer.ConnectionLimits {
	connections := float64(f.connections(name))
	return placer.ConnectionLimits{MaxIdle: int(keptConnectionShare * connections), MaxOpen: int(openConnectionShare * connections)}
}

// connections returns how many connections a leaf of the service accepts from all instances together.
func (f *fleet) connections(name string) int {
	if f.table != nil {
		if fields, ok := f.table.Service(name); ok && fields.MaxConnections > 0 {
			return fields.MaxConnections
		}
	}
	return defaultConnections
}

// requestPrewarm wakes prewarmLoop.
func (f *fleet) requestPrewarm() {
	select {
	case f.prewarmRequests <- struct{}{}:
	default:
	}
}

// startPrewarming allows connections to be opened in advance.
func (f *fleet) startPrewarming() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.allowsPrewarming = true
	f.requestPrewarm()
}

// prewarmLoop opens connections in advance, one at a time.
func (f *fleet) prewarmLoop() {
	for range f.prewarmRequests {
		for _, pool := range f.poolsToPrewarm() {
			if pool.Preconnect(prewarmedConnections) {
				time.Sleep(prewarmPause)
			}
		}
	}
}

// poolsToPrewarm returns, in random order, the pools of the subset for services that routes refer to.
func (f *fleet) poolsToPrewarm() []*exchanger.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil || !f.allowsPrewarming {
		return nil
	}
	now := f.now()
	var pools []*exchanger.Pool
	for _, name := range f.table.TargetServices() {
		s := f.services[name]
		if s == nil {
			continue
		}
		for _, u := range s.upstreams {
			if u.leaf.IsInSubset() && !u.leaf.IsDraining() && !f.outOfService[u.leaf.Fields().DataCentre] && !f.isHeld(u.leaf, now) {
				pools = append(pools, u.pool)
			}
		}
	}
	f.random.Shuffle(len(pools), func(i, j int) { pools[i], pools[j] = pools[j], pools[i] })
	return pools
}

// suspendPools lets the pools of leafs that must get no requests send nothing, and the others send again.
func (f *fleet) suspendPools() {
	for _, u := range f.leafs {
		f.suspendPool(u)
	}
}

// suspendPool lets the pool of a leaf send nothing while its data centre is out of service, it has been draining for too long, or its
// version gets no requests.
// Requests that wait for a connection then go to other leafs.
func (f *fleet) suspendPool(u *upstream) {
	now := f.now()
	u.pool.SetSuspended(f.outOfService[u.leaf.Fields().DataCentre] || u.leaf.IsClosed(now) || f.isHeld(u.leaf, now))
}

// onDraining makes the requests that wait for a connection to a leaf go to other leafs, now and, since the leaf may still be chosen as a
// last resort for a while, when that is over.
func (f *fleet) onDraining(u *upstream) {
	go u.pool.FailWaiting()
	time.AfterFunc(placer.DrainingGrace, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.suspendPool(u)
	})
}
