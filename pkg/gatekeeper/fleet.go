// The fleet is every leaf that this instance knows, by service, with the
// connections to it and what the answers said of it.

package gatekeeper

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lovagedeck/pkg/aggregator"
	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/hedger"
	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/placer"
	"lovagedeck/pkg/router"
	"lovagedeck/pkg/slicer"
	"lovagedeck/pkg/spreader"
	"lovagedeck/pkg/tabulator"
)

const (
	// memberMemory is how long an instance that left still has its rank, so that a restart moves no connections.
	memberMemory = time.Minute
)

type (
	fleet struct {
		config *exchanger.Config
		log    logr.Logger
		budget hedger.SharedBound
		load   *hedger.Load
		// allRequests is how many requests all instances had in the window of the budget, 0 where that is not known.
		allRequests int
		// opensAhead tells that connections are opened before a request needs them: from the first request on, or some time
		// after the start.
		opensAhead  bool
		centre      string
		now         func() time.Duration
		mu          sync.Mutex
		random      *rand.Rand
		services    map[string]*service
		leafs       map[string]*upstream
		kinds       map[string]*kind
		table       *router.Table
		out         map[string]bool
		self        string
		seen        map[string]lastSeen
		instanceSet placer.InstanceSet
		instances   int
		lastID      uint64
		// tell takes what this instance saw of a leaf; nil tells nobody.
		tell     func(spreader.Observation)
		badShare float64
		warming  chan struct{}
		// peers gather shards for this instance; nil where each instance asks all leafs itself.
		peers *aggregator.Peers
		// members are the instances of the newest view, with their addresses.
		members   []slicer.Member
		addresses map[string]string
		slicing   slicing
	}

	// lastSeen is when an instance was a member for the last time.
	lastSeen struct {
		at         time.Duration
		dataCentre string
	}

	service struct {
		name      string
		upstreams []*upstream
		states    []*placer.Leaf
		allowance *hedger.Allowance
	}

	upstream struct {
		leaf *placer.Leaf
		pool *exchanger.Pool
	}
)

func newFleet(exchange *exchanger.Config, config Config) *fleet {
	f := &fleet{
		config: exchange, log: config.Log, tell: config.Tell, budget: config.Budget,
		load: hedger.NewLoad(config.Budget.Window), self: config.Instance, centre: config.DataCentre, now: config.Now,
		random: config.Random, instances: 1,
		services: map[string]*service{}, leafs: map[string]*upstream{}, kinds: map[string]*kind{}, out: map[string]bool{},
		seen: map[string]lastSeen{}, instanceSet: placer.InstanceSet{DataCentre: config.DataCentre, Instances: map[string]int{config.DataCentre: 1}},
		warming: make(chan struct{}, 1), peers: config.Peers,
	}
	if f.peers != nil {
		f.peers.OnSilent(f.tellSilent)
	}
	go f.warmLoop()
	time.AfterFunc(warmAfter, f.openAhead)
	return f
}

// setView takes the data centres and the number of instances.
func (f *fleet) setView(view *tabulator.View) {
	f.mu.Lock()
	out, instances := map[string]bool{}, f.instances
	for _, centre := range view.DataCentres() {
		if centre.State == tabulator.StateOut {
			out[centre.Name] = true
		}
	}
	if !maps.Equal(out, f.out) {
		f.log.Info("gatekeeper: data centres out of service", "out", slices.Sorted(maps.Keys(out)), "revision", view.Revision())
	}
	f.out = out
	f.setMembers(view.Members())
	if f.instances != instances {
		f.log.Info("gatekeeper: instances share the leafs", "instances", f.instances, "rank", f.instanceSet.Rank, "revision", view.Revision())
	}
	f.share()
	flushed := f.outPools()
	f.mu.Unlock()
	for _, pool := range flushed {
		pool.Flush()
	}
}

// setTable takes a new version of the routes.
func (f *fleet) setTable(table *router.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table = table
	f.share()
	f.wantWarm()
}

// setRoster takes a new list of leafs.
func (f *fleet) setRoster(roster lister.Roster) {
	f.mu.Lock()
	now := f.now()
	kept := make(map[string]*upstream, len(roster.Leafs))
	services := map[string]*service{}
	var closed []*exchanger.Pool
	for _, entry := range roster.Leafs {
		m := f.update(entry, now-roster.Age, now)
		if old := f.leafs[entry.ID]; old != nil && old != m {
			closed = append(closed, old.pool)
		}
		kept[entry.ID] = m
		f.join(services, m)
	}
	for id, m := range f.leafs {
		if kept[id] == nil {
			closed = append(closed, m.pool)
		}
	}
	f.leafs, f.services = kept, services
	f.share()
	f.wantWarm()
	f.mu.Unlock()
	for _, pool := range closed {
		pool.Close()
	}
}

// update returns the upstream of an entry: the present one where it is the same leaf at the same address.
func (f *fleet) update(entry lister.RosterLeaf, readAt, now time.Duration) *upstream {
	fields := placer.Fields{
		ID: entry.ID, Service: entry.Service, DataCentre: entry.DataCentre, Address: entry.Address,
		Slots: entry.Slots, Leaving: entry.Leaving,
	}
	coldUntil := readAt + entry.ColdFor
	if m := f.leafs[entry.ID]; m != nil && m.pool.Address() == entry.Address {
		if entry.Leaving && !m.leaf.Fields().Leaving {
			go m.pool.Flush()
		}
		m.leaf.Update(fields, coldUntil, now)
		return m
	}
	return &upstream{leaf: placer.New(fields, coldUntil, now), pool: exchanger.New(f.config, entry.Address, entry.ID, 1)}
}

func (f *fleet) join(services map[string]*service, m *upstream) {
	name := m.leaf.Fields().Service
	s := services[name]
	if s == nil {
		s = &service{name: name}
		if old := f.services[name]; old != nil {
			s.allowance = old.allowance
		} else {
			s.allowance = hedger.NewAllowance(f.budget, f.budgetPart(), f.random.Float64(), f.now())
		}
		services[name] = s
	}
	s.upstreams = append(s.upstreams, m)
	s.states = append(s.states, m.leaf)
}

// setMembers ranks this instance among those that live or left lately.
func (f *fleet) setMembers(members []tabulator.Member) {
	now := f.now()
	f.seen[f.self] = lastSeen{at: now, dataCentre: f.centre}
	for _, member := range members {
		f.seen[member.Instance()] = lastSeen{at: now, dataCentre: member.DataCentre()}
	}
	f.members, f.addresses = make([]slicer.Member, 0, len(members)), make(map[string]string, len(members))
	for _, member := range members {
		f.members = append(f.members, slicer.Member{Instance: member.Instance(), DataCentre: member.DataCentre()})
		f.addresses[member.Instance()] = member.FellowAddress()
	}
	f.instances, f.instanceSet = 0, placer.InstanceSet{DataCentre: f.centre, Instances: map[string]int{}}
	for name, seen := range f.seen {
		if now-seen.at > memberMemory {
			delete(f.seen, name)
			continue
		}
		f.instances++
		f.instanceSet.Instances[seen.dataCentre]++
		if name >= f.self {
			continue
		}
		f.instanceSet.Rank++
		if seen.dataCentre == f.centre {
			f.instanceSet.LocalRank++
		}
	}
}
