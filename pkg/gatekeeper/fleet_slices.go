// Who gathers which shards, worked out from the members and leafs that this
// instance knows.

package gatekeeper

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"lovagedeck/pkg/hedger"
	"lovagedeck/pkg/slicer"
)

const (
	// gathererShare divides the connections that a leaf takes among the instances that gather its shard: one in each of three
	// data centres, and as many of their stand-ins.
	gathererShare = 1.0 / 6
	// gathererKept is how many connections a gatherer keeps to a leaf of its data centre without a request: one carries a
	// request, the next one comes beside it in one case of ten.
	gathererKept = 2
	// standInConnections is how many an instance may open to leafs whose shard another one gathers.
	standInConnections = 4
	// reportQuantile is the share of first reports that come before an instance counts as silent.
	reportQuantile = 0.98
)

type (
	// slicing is who gathers what, and what that was worked out from.
	slicing struct {
		members   []slicer.Member
		addresses map[string]string
		shards    []slicer.Shard
		plan      slicer.Plan
		// direct tells that each instance has so many requests that it asks the leafs itself.
		direct bool
	}
)

// gatherersOf groups shards by the instance that should gather them for this one; those that this instance asks are left out.
func (f *fleet) gatherersOf(services []string) map[string][]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peers == nil || f.slicing.direct {
		return nil
	}
	var groups map[string][]int
	for shard, service := range services {
		for _, instance := range f.slicing.plan.Gatherers(service) {
			if instance == f.self {
				break
			}
			if f.peers.Usable(instance) {
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

// slice works the plan out anew where members or leafs have changed.
func (f *fleet) slice() {
	if f.peers == nil || f.table == nil {
		return
	}
	shards := f.shardsWithLeafs()
	if f.slicing.plan.Made() && slices.Equal(f.slicing.members, f.members) && reflect.DeepEqual(f.slicing.shards, shards) &&
		reflect.DeepEqual(f.slicing.addresses, f.addresses) {
		return
	}
	f.slicing = slicing{
		members: f.members, addresses: f.addresses, shards: shards, plan: slicer.New(f.members, shards, f.centre),
		direct: f.slicing.direct,
	}
	wanted := map[string]string{}
	own := 0
	for _, shard := range shards {
		gatherers := f.slicing.plan.Gatherers(shard.Service)
		if len(gatherers) > 0 && gatherers[0] == f.self {
			own++
		}
		for _, instance := range gatherers {
			if address := f.addresses[instance]; instance != f.self && address != "" {
				wanted[instance] = address
			}
		}
	}
	f.peers.Set(wanted)
	f.log.Info("gatekeeper: shards divided among instances", "members", len(f.members), "shards", len(shards), "own", own, "peers", len(wanted))
}

// chooseSlices decides by the load whether shards are gathered in slices, and shares the connections anew where that changed.
func (f *fleet) chooseSlices() {
	perInstance := float64(f.allRequests) / f.budget.Window.Seconds() / float64(max(1, f.instances))
	direct := !slicer.Pays(!f.slicing.direct, perInstance)
	if direct == f.slicing.direct {
		return
	}
	f.slicing.direct = direct
	f.log.Info("gatekeeper: way of queries changed", "direct", direct, "requests-a-second", perInstance, "instances", f.instances)
	f.share()
	f.wantWarm()
}

// shardsWithLeafs returns the shards of the routes with the data centres of their leafs that take work, in a fixed order.
func (f *fleet) shardsWithLeafs() []slicer.Shard {
	var shards []slicer.Shard
	for _, name := range f.table.ShardServices() {
		s := f.services[name]
		if s == nil {
			continue
		}
		var centres []string
		for _, m := range s.upstreams {
			fields := m.leaf.Fields()
			if !fields.Leaving && !f.out[fields.DataCentre] && !slices.Contains(centres, fields.DataCentre) {
				centres = append(centres, fields.DataCentre)
			}
		}
		slices.Sort(centres)
		shards = append(shards, slicer.Shard{Service: name, DataCentres: centres})
	}
	slices.SortFunc(shards, func(a, b slicer.Shard) int { return strings.Compare(a.Service, b.Service) })
	return shards
}

// shareGathered limits the connections to the leafs of a shard that is gathered in slices, and tells whether it is.
func (f *fleet) shareGathered(s *service) bool {
	gatherers := f.slicing.plan.Gatherers(s.name)
	if len(gatherers) == 0 || f.slicing.direct {
		return false
	}
	own := f.slicing.plan.Gathers(f.self, s.name)
	limit := max(1, int(gathererShare*openShare*float64(f.connections(s.name))))
	for _, m := range s.upstreams {
		m.leaf.SetHome(own)
		switch {
		case own && m.leaf.Fields().DataCentre == f.centre:
			m.pool.SetLimit(limit, gathererKept, spareIdle)
		case own:
			m.pool.SetLimit(limit, warmConnections, spareIdle)
		default:
			m.pool.SetLimit(min(limit, standInConnections), 0, foreignIdle)
		}
	}
	return true
}

// nextID returns a number that this instance has not used for an attempt or a slice.
func (f *fleet) nextID() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	return f.lastID
}

// reportTime returns how long another instance may take to report on shards of the request.
func (g *Gatekeeper) reportTime(in *inbound) time.Duration {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	kind := g.fleet.kindOf(in.route)
	latest := in.route.Objective() - g.config.Travel - mergeMargin - time.Duration(hedgeReserve*float64(kind.typical))
	return slicer.Patience(kind.report.Value(), latest)
}

// learnReport takes the time of a first report.
func (g *Gatekeeper) learnReport(in *inbound, took time.Duration) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	g.fleet.kindOf(in.route).report.Add(took)
}

func newReportQuantile(objective float64) *hedger.Quantile {
	return hedger.NewQuantileAt(reportQuantile, time.Duration(firstLate*objective))
}
