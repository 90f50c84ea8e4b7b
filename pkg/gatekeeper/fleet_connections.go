// Connections are kept to the homes of a service, opened ahead one by one, and
// shared with the other instances.

package gatekeeper

import (
	"time"

	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/placer"
)

const (
	// keptShare is the part of a leaf's connections that instances keep together. After a power loss the leaf still counts
	// the connections of the instances that are gone, and must have room for as many new ones.
	keptShare = 0.5
	// openShare is the part that they may have open together; the rest covers instances that come and go, and requests to
	// leafs without a kept connection.
	openShare = 0.92
	// spareIdle is how long connections to a home beyond the first stay open without a request.
	spareIdle = 2 * time.Second
	// foreignIdle is how long a connection to a leaf that is no home stays open without a request.
	foreignIdle = time.Second
	// warmPause is the pause between connections that are opened ahead: each holds a slot of its leaf for a moment, and
	// after a loss all instances open theirs together.
	warmPause = 8 * time.Millisecond
	// defaultConnections is assumed of a service that states no limit.
	defaultConnections = 16
	// warmAfter is how long an instance that gets no requests waits before it opens connections ahead: after a loss of all
	// instances leafs count the connections of the lost ones for about five seconds, and callers come to half of the
	// instances in that time.
	warmAfter = 5 * time.Second
	// warmConnections are opened ahead to each home of a service in use.
	warmConnections = 1
)

// share splits the connections of each leaf and the budget of each service over the instances.
func (f *fleet) share() {
	f.shareBudget()
	f.slice()
	for _, s := range f.services {
		if f.shareGathered(s) {
			continue
		}
		locations := make([]placer.Location, 0, len(s.upstreams))
		for _, m := range s.upstreams {
			if fields := m.leaf.Fields(); !fields.Leaving {
				locations = append(locations, placer.Location{ID: fields.ID, DataCentre: fields.DataCentre})
			}
		}
		limits := placer.Homes(locations, f.instanceSet, f.connectionLimits(s.name))
		for _, m := range s.upstreams {
			limit, home := limits[m.leaf.Fields().ID]
			m.leaf.SetHome(home)
			if home {
				m.pool.SetLimit(limit, warmConnections, spareIdle)
			} else {
				m.pool.SetLimit(1, 0, foreignIdle)
			}
		}
	}
}

func (f *fleet) connectionLimits(name string) placer.ConnectionLimits {
	connections := float64(f.connections(name))
	return placer.ConnectionLimits{Kept: int(keptShare * connections), Open: int(openShare * connections)}
}

// connections returns how many connections a leaf of the service takes from all instances.
func (f *fleet) connections(name string) int {
	if f.table != nil {
		if fields, ok := f.table.Service(name); ok && fields.MaxConnections > 0 {
			return fields.MaxConnections
		}
	}
	return defaultConnections
}

// wantWarm wakes the loop that opens connections ahead.
func (f *fleet) wantWarm() {
	select {
	case f.warming <- struct{}{}:
	default:
	}
}

// openAhead lets the instance open connections ahead of their use.
func (f *fleet) openAhead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.opensAhead = true
	f.wantWarm()
}

// warmLoop opens connections ahead, one after the other in a random order.
func (f *fleet) warmLoop() {
	for range f.warming {
		for _, pool := range f.coldPools() {
			if pool.Warm(warmConnections) {
				time.Sleep(warmPause)
			}
		}
	}
}

// coldPools returns the pools of homes of services that routes name.
func (f *fleet) coldPools() []*exchanger.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil || !f.opensAhead {
		return nil
	}
	var pools []*exchanger.Pool
	for _, name := range f.table.TargetServices() {
		s := f.services[name]
		if s == nil {
			continue
		}
		for _, m := range s.upstreams {
			if m.leaf.Home() && !m.leaf.Fields().Leaving && !f.out[m.leaf.Fields().DataCentre] {
				pools = append(pools, m.pool)
			}
		}
	}
	f.random.Shuffle(len(pools), func(i, j int) { pools[i], pools[j] = pools[j], pools[i] })
	return pools
}

func (f *fleet) outPools() []*exchanger.Pool {
	var pools []*exchanger.Pool
	for _, m := range f.leafs {
		if f.out[m.leaf.Fields().DataCentre] {
			pools = append(pools, m.pool)
		}
	}
	return pools
}
