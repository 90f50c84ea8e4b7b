// The catalogue is what an instance knows of leafs: the roster from the
// platform and the holdings from the leafs themselves. A leaf holds, for
// each index version, one shard out of that version's shard count:
//
//	leaf customs-desk-01/ub-a/0 holds agency@41 shard 0 of 2, agency@42 shard 0 of 2

package coordinator

import (
	"sort"
	"time"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/tabulator"
)

type (
	// Version names one snapshot of an index.
	Version struct {
		Index  string
		Number uint64
	}

	// Shard names one shard of a service.
	Shard struct {
		Service string
		Number  int
	}

	// Holding is one shard of one version that a leaf holds.
	Holding struct {
		Version Version
		Shard   int
		Shards  int
	}

	// LeafRecord is the roster entry of a leaf.
	LeafRecord struct {
		ID         assigner.LeafID
		Service    string
		DataCentre string
		Address    string
		Leaving    bool
	}

	// Catalogue holds the roster and the holdings; it belongs to one goroutine.
	Catalogue struct {
		leafs     map[assigner.LeafID]LeafRecord
		services  map[string][]assigner.LeafID
		holdings  map[assigner.LeafID][]Holding
		refusedAt map[assigner.LeafID]time.Duration
	}

	// ShardPlan is one shard with the replicas that may be asked.
	ShardPlan struct {
		Shard      Shard
		Candidates []assigner.LeafID
		Weights    []int
	}

	// Plan pins one version and lists its shards.
	Plan struct {
		Version Version
		Shards  []ShardPlan
	}
)

// NewCatalogue returns a catalogue that knows no leaf.
func NewCatalogue() *Catalogue {
	return &Catalogue{
		leafs: map[assigner.LeafID]LeafRecord{}, services: map[string][]assigner.LeafID{},
		holdings: map[assigner.LeafID][]Holding{}, refusedAt: map[assigner.LeafID]time.Duration{},
	}
}

// SetRoster replaces the roster and keeps the holdings of the leafs that remain.
func (c *Catalogue) SetRoster(records []LeafRecord) {
	c.leafs = make(map[assigner.LeafID]LeafRecord, len(records))
	c.services = map[string][]assigner.LeafID{}
	for _, record := range records {
		c.leafs[record.ID] = record
		c.services[record.Service] = append(c.services[record.Service], record.ID)
	}
}

// Leaf returns the roster entry of a leaf.
func (c *Catalogue) Leaf(id assigner.LeafID) (LeafRecord, bool) {
	record, ok := c.leafs[id]
	return record, ok
}

// LeafsOf returns the leafs of a service.
func (c *Catalogue) LeafsOf(service string) []assigner.LeafID { return c.services[service] }

// Services returns the names of all services in the roster.
func (c *Catalogue) Services() []string {
	names := make([]string, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Learn takes the holdings that a leaf stated.
func (c *Catalogue) Learn(leaf assigner.LeafID, holdings []Holding) {
	if len(holdings) > 0 {
		c.holdings[leaf] = holdings
	}
}

// Unlearn forgets one version of a leaf that said it does not hold it.
func (c *Catalogue) Unlearn(leaf assigner.LeafID, version Version) {
	kept := make([]Holding, 0, len(c.holdings[leaf]))
	for _, holding := range c.holdings[leaf] {
		if holding.Version != version {
			kept = append(kept, holding)
		}
	}
	c.holdings[leaf] = kept
}

// Unknown returns the leafs of the services whose holdings are not known.
func (c *Catalogue) Unknown(services []string) []assigner.LeafID {
	var unknown []assigner.LeafID
	for _, service := range services {
		for _, id := range c.services[service] {
			if len(c.holdings[id]) == 0 {
				unknown = append(unknown, id)
			}
		}
	}
	return unknown
}

// Pin returns the plan of the newest version that is wholly reachable, else of the version with the largest reachable share.
func (c *Catalogue) Pin(services []string, view *tabulator.View) (Plan, bool) {
	var best Plan
	found := false
	bestMissing := 0
	for _, version := range c.versions(services) {
		plan, ok := c.plan(version, services, view)
		if !ok {
			continue
		}
		missing := plan.unreachable()
		if missing == 0 {
			return plan, true
		}
		if !found || missing*len(best.Shards) < bestMissing*len(plan.Shards) {
			best, bestMissing, found = plan, missing, true
		}
	}
	return best, found
}

// versions returns the versions that any leaf of the services holds, newest first.
func (c *Catalogue) versions(services []string) []Version {
	seen := map[Version]bool{}
	var versions []Version
	for _, service := range services {
		for _, id := range c.services[service] {
			for _, holding := range c.holdings[id] {
				if !seen[holding.Version] {
					seen[holding.Version] = true
					versions = append(versions, holding.Version)
				}
			}
		}
	}
	sort.Slice(versions, func(i, j int) bool { return versions[j].before(versions[i]) })
	return versions
}

func (c *Catalogue) plan(version Version, services []string, view *tabulator.View) (Plan, bool) {
	plan := Plan{Version: version}
	for _, service := range services {
		shards, ok := c.planService(version, service, view)
		if !ok {
			return Plan{}, false
		}
		plan.Shards = append(plan.Shards, shards...)
	}
	return plan, true
}

func (c *Catalogue) planService(version Version, service string, view *tabulator.View) ([]ShardPlan, bool) {
	count := 0
	for _, id := range c.services[service] {
		if holding, ok := c.holds(id, version); ok {
			count = holding.Shards
		}
	}
	if count == 0 {
		return nil, false
	}
	shards := make([]ShardPlan, count)
	for i := range shards {
		shards[i].Shard = Shard{Service: service, Number: i}
	}
	for _, id := range c.services[service] {
		holding, ok := c.holds(id, version)
		if !ok || holding.Shards != count || holding.Shard < 0 || holding.Shard >= count {
			continue
		}
		record := c.leafs[id]
		row, takes := view.TakesWork(tabulator.Key{Service: service, DataCentre: record.DataCentre})
		if !takes || record.Leaving {
			continue
		}
		shard := &shards[holding.Shard]
		shard.Candidates = append(shard.Candidates, id)
		shard.Weights = append(shard.Weights, row.Weight())
	}
	return shards, true
}

func (c *Catalogue) holds(leaf assigner.LeafID, version Version) (Holding, bool) {
	for _, holding := range c.holdings[leaf] {
		if holding.Version == version {
			return holding, true
		}
	}
	return Holding{}, false
}

// Whole tells whether every shard has a replica that may be asked.
func (p Plan) Whole() bool { return p.unreachable() == 0 }

func (p Plan) unreachable() int {
	missing := 0
	for _, shard := range p.Shards {
		if len(shard.Candidates) == 0 {
			missing++
		}
	}
	return missing
}

func (v Version) before(other Version) bool {
	if v.Number != other.Number {
		return v.Number < other.Number
	}
	return v.Index < other.Index
}
