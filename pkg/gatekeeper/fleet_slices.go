// An instance may have another instance gather some shards of a query, called a
// slice. The assignment of shards to gathering instances is computed from the
// members and leafs that this instance knows.

package gatekeeper

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"lovagedeck/pkg/hedger"
	"lovagedeck/pkg/router"
	"lovagedeck/pkg/slicer"
)

const (
	// gathererConnectionShare is the share of a leaf's connections that one gatherer of its shard may open. A shard is
	// gathered by one instance in each of three data centres, and each of these has a standby.
	gathererConnectionShare = 1.0 / 6
	// gathererKeptConnections is how many idle connections a gatherer keeps to a leaf of its data centre. One carries a
	// request, and in one case of ten the next request arrives meanwhile.
	gathererKeptConnections = 2
	// standbyConnections limits the connections to a leaf whose shard another instance gathers.
	standbyConnections = 4
	// reportQuantile is the share of first reports that arrive before an instance is considered unresponsive.
	reportQuantile = 0.98
)

type (
	// sliceAssignment is the plan of which instances gather which shards, and the input it was computed from.
	sliceAssignment struct {
		members   []slicer.Member
		addresses map[string]string
		shards    []slicer.Shard
		plan      slicer.Plan
		// peers are the addresses of the instances that gather shards for this one.
		peers map[string]string
		// isDirect reports whether this instance queries the leafs itself, because the request rate per instance is too
		// high for slices.
		isDirect bool
	}
)

// groupsFor returns the shards of the route to delegate, by the instance that gathers them. Requests that are not idempotent are not
// delegated.
func (f *fleet) groupsFor(route *router.Route) map[string][]int {
	if !route.Idempotent() {
		return nil
	}
	return f.groupShards(route.Shards())
}

// groupShards groups shards by the instance that should gather them for this one. It omits the shards that this
// instance queries itself.
func (f *fleet) groupShards(services []string) map[string][]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peers == nil || f.assignment.isDirect {
		return nil
	}
	var groups map[string][]int
	for shard, service := range services {
		for _, instance := range f.assignment.plan.Gatherers(service) {
			if instance == f.self {
				break
			}
			if f.peers.IsAvailable(instance) {
				if groups == nil {
					groups = map[string][]int{}
				}
				groups[instance] = append(groups[instance], shard)
				break
			}
		}
	}
	return groups
}

// updateAssignment recomputes the assignment if members, their addresses or leafs have changed.
func (f *fleet) updateAssignment() {
	if f.peers == nil || f.table == nil {
		return
	}
	shards := f.shardsWithLeafs()
	if f.assignment.plan.IsComputed() && slices.Equal(f.assignment.members, f.members) && reflect.DeepEqual(f.assignment.shards, shards) &&
		reflect.DeepEqual(f.assignment.addresses, f.addresses) {
		return
	}
	f.assignment = sliceAssignment{
		members: f.members, addresses: f.addresses, shards: shards, plan: slicer.New(f.members, shards, f.dataCentre),
		isDirect: f.assignment.isDirect,
	}
	peers := map[string]string{}
	ownShards := 0
	for _, shard := range shards {
		gatherers := f.assignment.plan.Gatherers(shard.Service)
		if len(gatherers) > 0 && gatherers[0] == f.self {
			ownShards++
		}
		for _, instance := range gatherers {
			if address := f.addresses[instance]; instance != f.self && address != "" {
				peers[instance] = address
			}
		}
	}
	f.assignment.peers = peers
	f.updatePeers()
	f.log.Info("gatekeeper: shards divided among instances", "members", len(f.members), "shards", len(shards), "own", ownShards, "peers", len(peers))
}

// chooseQueryMode decides by the request rate whether shards are gathered in slices, and reallocates the connections if
// that changes.
func (f *fleet) chooseQueryMode() {
	requestsPerSecond := float64(f.totalRequests) / f.retryLimit.Window.Seconds() / float64(max(1, f.instanceCount))
	direct := !slicer.ShouldSlice(!f.assignment.isDirect, requestsPerSecond)
	if direct == f.assignment.isDirect {
		return
	}
	f.assignment.isDirect = direct
	f.log.Info("gatekeeper: way of queries changed", "direct", direct, "requests-a-second", requestsPerSecond, "instances", f.instanceCount)
	f.allocate()
	f.requestPrewarm()
}

// shardsWithLeafs returns the shards that routes refer to, sorted, with the data centres in which they have available
// leafs.
func (f *fleet) shardsWithLeafs() []slicer.Shard {
	var shards []slicer.Shard
	for _, name := range f.table.ShardServices() {
		s := f.services[name]
		if s == nil {
			continue
		}
		var dataCentres []string
		for _, u := range s.upstreams {
			fields := u.leaf.Fields()
			if !fields.IsDraining && !f.outOfService[fields.DataCentre] && !slices.Contains(dataCentres, fields.DataCentre) {
				dataCentres = append(dataCentres, fields.DataCentre)
			}
		}
		slices.Sort(dataCentres)
		shards = append(shards, slicer.Shard{Service: name, DataCentres: dataCentres})
	}
	slices.SortFunc(shards, func(a, b slicer.Shard) int { return strings.Compare(a.Service, b.Service) })
	return shards
}

// allocateGathered limits the connections to the leafs of a shard that is gathered in slices, and reports whether the
// shard is.
func (f *fleet) allocateGathered(s *service) bool {
	gatherers := f.assignment.plan.Gatherers(s.name)
	if len(gatherers) == 0 || f.assignment.isDirect {
		return false
	}
	isGatherer := f.assignment.plan.IsPrimary(f.self, s.name)
	limit := max(1, int(gathererConnectionShare*openConnectionShare*float64(f.connections(s.name))))
	for _, u := range s.upstreams {
		u.leaf.SetInSubset(isGatherer)
		switch {
		case isGatherer && u.leaf.Fields().DataCentre == f.dataCentre:
			u.pool.SetLimit(limit, gathererKeptConnections, spareIdleTimeout)
		case isGatherer:
			u.pool.SetLimit(limit, prewarmedConnections, spareIdleTimeout)
		default:
			u.pool.SetLimit(min(limit, standbyConnections), 0, outsideIdleTimeout)
		}
	}
	return true
}

// nextID returns an ID that this instance has not used for an attempt or a slice.
func (f *fleet) nextID() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	return f.lastID
}

// reportTimeout returns how long another instance may take to report on shards of the request.
func (g *Gatekeeper) reportTimeout(in *inboundRequest) time.Duration {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	latency := g.fleet.latencyOf(in.route)
	latest := in.route.Objective() - g.config.CallerRoundTrip - mergeMargin - time.Duration(hedgeReserveFactor*float64(latency.typical))
	return slicer.ReportTimeout(latency.reportTime.Value(), latest)
}

// recordReportTime records the time until a first report.
func (g *Gatekeeper) recordReportTime(in *inboundRequest, took time.Duration) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	g.fleet.latencyOf(in.route).reportTime.Add(took)
}

func newReportQuantile(objective float64) *hedger.Quantile {
	return hedger.NewQuantileAt(reportQuantile, time.Duration(initialTailShare*objective))
}
