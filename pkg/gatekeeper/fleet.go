// The fleet holds the leafs that this instance knows, by service, with the
// connection pool and the observed state of each leaf.

package gatekeeper

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lovagedeck/pkg/aggregator"
	"lovagedeck/pkg/detector"
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
	// memberRetention is how long an instance that has left keeps its rank, so that a restart moves no connections, and may be asked to
	// serve requests: it may only have lost contact with the control instances.
	memberRetention = time.Minute
)

type (
	fleet struct {
		config         *exchanger.Config
		log            logr.Logger
		retryLimit     hedger.RetryLimit
		requestCounter *hedger.RequestCounter
		// totalRequests is the number of requests that all instances received in the budget window, or 0 if unknown.
		totalRequests int
		// allowsPrewarming reports whether connections may be opened before a request needs them. This is set by the
		// first request, or prewarmDelay after the start.
		allowsPrewarming bool
		dataCentre       string
		now              func() time.Duration
		mu               sync.Mutex
		random           *rand.Rand
		services         map[string]*service
		// rollouts holds, by service, how its requests are divided between versions. rolloutCounters may be nil.
		rollouts        map[string]*serviceRollout
		rolloutCounters *rolloutCounters
		// hasControl is set while this instance hears of changes of a roll-out. holdsLease tells that earlier; it may be nil.
		hasControl bool
		holdsLease func() bool
		leafs      map[string]*upstream
		latencies  map[string]*latencyStats
		// rosterStamp is the stamp of the list of leafs in use, zero if this instance has fetched it itself.
		rosterStamp lister.RosterStamp
		// hasServiceEnded is set at the end of service of a planned stop.
		hasServiceEnded bool
		table           *router.Table
		// learnedAt is when this instance last learned of routes, leafs and members.
		learnedAt     learnedAt
		outOfService  map[string]bool
		self          string
		recentMembers map[string]recentMember
		instanceSet   placer.InstanceSet
		instanceCount int
		lastID        uint64
		// publish sends an observation of a leaf to the other instances; it may be nil.
		publish func(spreader.Observation)
		// permits hands out the permits for rate-limited leafs.
		permits Permits
		// hasSeenRateLimit is set once a rate limit or a rest was known. Until then, queries need not look for them.
		hasSeenRateLimit bool
		slowShare        float64
		prewarmRequests  chan struct{}
		// peers gather shards for this instance; if nil, this instance queries all leafs itself.
		peers *aggregator.Peers
		// members are the instances of the newest view, and addresses their addresses.
		members    []slicer.Member
		addresses  map[string]string
		assignment sliceAssignment
		helpers    helperSet
		// room is the part of the queries that the leafs of the shards have room for.
		room room
		// cutOffNotice is closed while this instance is cut off from the leafs.
		cutOffNotice chan struct{}
		placement    placement
		// detector decides whether this instance is cut off from the leafs. isEvaluating is set while its evaluation is scheduled,
		// and isChecking while a check runs.
		detector     *detector.Detector
		isEvaluating bool
		isChecking   bool
		// mayBeStale reports whether this process may have been paused; it may be nil.
		mayBeStale func() bool
	}

	// learnedAt holds the times of the newest routing table, list of leafs and view. readAt is when the list was last read.
	learnedAt struct {
		table, roster, view time.Duration
		readAt              time.Duration
	}

	// recentMember records when an instance was last a member, in which data centre, and its address for other instances.
	recentMember struct {
		lastSeenAt time.Duration
		dataCentre string
		address    string
	}

	service struct {
		name      string
		rollout   *serviceRollout
		upstreams []*upstream
		leafs     []*placer.Leaf
		budget    *hedger.WindowBudget
		// noPermitUntil is when another instance, which gathers this shard, expects a permit for one of the leafs.
		noPermitUntil time.Duration
		// isPlacedByWork is set if leafs are compared by the work that they still have to do.
		isPlacedByWork bool
	}

	upstream struct {
		leaf *placer.Leaf
		pool *exchanger.Pool
		// unusedPermits holds, for each permit whose request ended early, until when another request may use it.
		unusedPermits []time.Duration
		// hasRateProblem and hasRestProblem are set once the leaf has stated an invalid rate or rest.
		hasRateProblem bool
		hasRestProblem bool
	}
)

func newFleet(exchange *exchanger.Config, config Config) *fleet {
	f := &fleet{
		config: exchange, log: config.Log, publish: config.PublishObservation, permits: config.Permits, retryLimit: config.Budget,
		requestCounter: hedger.NewRequestCounter(config.Budget.Window), self: config.Instance, dataCentre: config.DataCentre, now: config.Now,
		random: config.Random, instanceCount: 1, holdsLease: config.HoldsLease,
		services: map[string]*service{}, rollouts: map[string]*serviceRollout{}, leafs: map[string]*upstream{}, latencies: map[string]*latencyStats{}, outOfService: map[string]bool{},
		recentMembers: map[string]recentMember{}, instanceSet: placer.InstanceSet{DataCentre: config.DataCentre, Instances: map[string]int{config.DataCentre: 1}},
		placement:       newPlacement(config.PlacementMode),
		prewarmRequests: make(chan struct{}, 1), peers: config.Peers, detector: detector.New(), cutOffNotice: make(chan struct{}), helpers: helperSet{size: initialHelpers}, room: newRoom(), mayBeStale: config.MayBeStale,
	}
	if f.peers != nil {
		f.peers.SetFailureHandler(f.publishUnresponsiveInstance)
	}
	go f.prewarmLoop()
	time.AfterFunc(prewarmDelay, f.startPrewarming)
	return f
}

// setView applies the states of the data centres and the members of a new view.
func (f *fleet) setView(view *tabulator.View) {
	f.mu.Lock()
	outOfService, previousCount := map[string]bool{}, f.instanceCount
	for _, dataCentre := range view.DataCentres() {
		if dataCentre.State == tabulator.StateOut {
			outOfService[dataCentre.Name] = true
		}
	}
	if !maps.Equal(outOfService, f.outOfService) {
		f.log.Info("gatekeeper: data centres out of service", "out", slices.Sorted(maps.Keys(outOfService)), "revision", view.Revision())
	}
	f.outOfService, f.learnedAt.view = outOfService, f.now()
	f.setRollouts(view.Rollouts())
	f.setMembers(view.Members())
	f.updatePeers()
	if f.instanceCount != previousCount {
		f.log.Info("gatekeeper: number of instances changed", "instances", f.instanceCount, "rank", f.instanceSet.Rank, "revision", view.Revision())
	}
	f.allocate()
	f.mu.Unlock()
}

// setTable applies a new routing table.
func (f *fleet) setTable(table *router.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table, f.learnedAt.table = table, f.now()
	f.room.setCompetitions(table)
	f.allocate()
	f.requestPrewarm()
}

// setRoster replaces the list of leafs and closes the pools of leafs that were removed or have a new address. It ignores a list that was
// read before the one in use, and reports whether it took it over.
func (f *fleet) setRoster(roster lister.Roster) bool {
	f.mu.Lock()
	now := f.now()
	if len(f.leafs) > 0 && roster.ReadAt < f.learnedAt.readAt {
		f.mu.Unlock()
		return false
	}
	leafs := make(map[string]*upstream, len(roster.Leafs))
	services := map[string]*service{}
	var replaced []*exchanger.Pool
	for _, entry := range lister.UniqueLeafs(roster.Leafs) {
		u := f.upstreamFor(entry, roster, now)
		if previous := f.leafs[entry.ID]; previous != nil && previous != u {
			replaced = append(replaced, previous.pool)
		}
		leafs[entry.ID] = u
		f.addToService(services, u)
	}
	for id, u := range f.leafs {
		if leafs[id] == nil {
			replaced = append(replaced, u.pool)
		}
	}
	f.leafs, f.services = leafs, services
	f.rosterStamp, f.learnedAt.roster, f.learnedAt.readAt = roster.Stamp, now, roster.ReadAt
	f.setVersions(roster.Stamp == lister.RosterStamp{})
	f.allocate()
	f.requestPrewarm()
	f.mu.Unlock()
	for _, pool := range replaced {
		pool.Close()
	}
	return true
}

// confirmRoster records that the list with the given stamp was read at readAt, and reports whether the list in use is that one or was read
// later.
func (f *fleet) confirmRoster(stamp lister.RosterStamp, readAt time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if readAt <= f.learnedAt.readAt {
		return true
	}
	if stamp != f.rosterStamp {
		return false
	}
	f.learnedAt.readAt = readAt
	f.endRefutedBeliefs(readAt)
	return true
}

// upstreamFor returns the upstream of an entry of the roster: the existing one if the leaf has kept its address, or else a new
// one.
func (f *fleet) upstreamFor(entry lister.RosterLeaf, roster lister.Roster, now time.Duration) *upstream {
	fields := placer.Fields{
		ID: entry.ID, Service: entry.Service, DataCentre: entry.DataCentre, Address: entry.Address,
		Slots: entry.Slots, IsDraining: entry.Leaving, Version: entry.Version, IsCandidate: entry.IsCandidate, ListedAt: now,
	}
	warmUpUntil := now - roster.Age + entry.ColdFor
	if u := f.leafs[entry.ID]; u != nil && u.pool.Address() == entry.Address {
		if entry.Leaving && !u.leaf.Fields().IsDraining {
			f.onDraining(u)
		}
		fields.ListedAt = u.leaf.Fields().ListedAt
		if u.leaf.Update(fields, warmUpUntil, roster.ReadAt, now) {
			f.onRestarted(u, roster.ReadAt, now)
		}
		return u
	}
	u := &upstream{leaf: placer.New(fields, warmUpUntil, now), pool: exchanger.New(f.config, entry.Address, entry.ID, 1)}
	u.pool.SetGate(leafGate{fleet: f, upstream: u})
	return u
}

func (f *fleet) addToService(services map[string]*service, u *upstream) {
	name := u.leaf.Fields().Service
	s := services[name]
	if s == nil {
		s = &service{name: name, rollout: f.rolloutOf(name)}
		if previous := f.services[name]; previous != nil {
			s.budget, s.noPermitUntil = previous.budget, previous.noPermitUntil
		} else {
			s.budget = hedger.NewWindowBudget(f.retryLimit, f.budgetShare(), f.random.Float64(), f.now())
		}
		services[name] = s
	}
	s.upstreams = append(s.upstreams, u)
	s.leafs = append(s.leafs, u.leaf)
}

// setMembers ranks this instance among the current members and those that left within memberRetention.
func (f *fleet) setMembers(members []tabulator.Member) {
	now := f.now()
	f.recentMembers[f.self] = recentMember{lastSeenAt: now, dataCentre: f.dataCentre}
	for _, member := range members {
		f.recentMembers[member.Instance()] = recentMember{lastSeenAt: now, dataCentre: member.DataCentre(), address: member.PeerAddress()}
	}
	f.members, f.addresses = make([]slicer.Member, 0, len(members)), make(map[string]string, len(members))
	for _, member := range members {
		f.members = append(f.members, slicer.Member{Instance: member.Instance(), DataCentre: member.DataCentre()})
		f.addresses[member.Instance()] = member.PeerAddress()
	}
	f.instanceCount, f.instanceSet = 0, placer.InstanceSet{DataCentre: f.dataCentre, Instances: map[string]int{}}
	for name, member := range f.recentMembers {
		if now-member.lastSeenAt > memberRetention {
			delete(f.recentMembers, name)
			continue
		}
		f.instanceCount++
		f.instanceSet.Instances[member.dataCentre]++
		if name >= f.self {
			continue
		}
		f.instanceSet.Rank++
		if member.dataCentre == f.dataCentre {
			f.instanceSet.LocalRank++
		}
	}
}
