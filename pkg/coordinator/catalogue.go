// The catalogue holds the leafs that the platform lists and the shards that
// they report to hold. For each index version, a leaf holds one of the shards
// into which that version is divided:
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
	// Version identifies one snapshot of an index.
	Version struct {
		Index  string
		Number uint64
	}

	// Shard identifies one shard of a service.
	Shard struct {
		Service string
		Number  int
	}

	// Holding is a shard of a version that a leaf holds.
	Holding struct {
		Version Version
		// Shard is the number of the shard, from 0.
		Shard int
		// Shards is the number of shards of the version.
		Shards int
	}

	// LeafRecord describes a leaf that the platform lists.
	LeafRecord struct {
		ID         assigner.LeafID
		Service    string
		DataCentre string
		Address    string
		// IsDraining means that the platform is removing the leaf, so that it must not be sent new requests.
		IsDraining bool
	}

	// Catalogue holds the known leafs and their holdings; it is not safe for concurrent use.
	Catalogue struct {
		leafs     map[assigner.LeafID]LeafRecord
		services  map[string][]assigner.LeafID
		holdings  map[assigner.LeafID][]Holding
		refusedAt map[assigner.LeafID]time.Duration
	}

	// ShardPlan is one shard with the replicas that requests for it may be sent to.
	ShardPlan struct {
		Shard      Shard
		Candidates []assigner.LeafID
		// Weights are the relative weights of the candidates, in the same order.
		Weights []int
	}

	// Plan is the version that a query reads and the shards of that version.
	Plan struct {
		Version Version
		Shards  []ShardPlan
	}
)

// NewCatalogue returns an empty catalogue.
func NewCatalogue() *Catalogue {
	return &Catalogue{
		leafs: map[assigner.LeafID]LeafRecord{}, services: map[string][]assigner.LeafID{},
		holdings: map[assigner.LeafID][]Holding{}, refusedAt: map[assigner.LeafID]time.Duration{},
	}
}

// SetLeafs replaces the list of leafs and keeps the holdings of those that remain.
func (c *Catalogue) SetLeafs(records []LeafRecord) {
	c.leafs = make(map[assigner.LeafID]LeafRecord, len(records))
	c.services = map[string][]assigner.LeafID{}
	for _, record := range records {
		c.leafs[record.ID] = record
		c.services[record.Service] = append(c.services[record.Service], record.ID)
	}
}

// Leaf returns the record of a leaf, and false if the platform does not list it.
func (c *Catalogue) Leaf(id assigner.LeafID) (LeafRecord, bool) {
	record, ok := c.leafs[id]
	return record, ok
}

// LeafsOf returns the identifiers of the leafs of a service.
func (c *Catalogue) LeafsOf(service string) []assigner.LeafID { return c.services[service] }

// Services returns the sorted names of the services that have leafs.
func (c *Catalogue) Services() []string {
	names := make([]string, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// SetHoldings records the holdings that a leaf reported; an empty list is ignored.
func (c *Catalogue) SetHoldings(leaf assigner.LeafID, holdings []Holding) {
	if len(holdings) > 0 {
		c.holdings[leaf] = holdings
	}
}

// RemoveVersion removes a version from the holdings of a leaf that reported not to hold it.
func (c *Catalogue) RemoveVersion(leaf assigner.LeafID, version Version) {
	kept := make([]Holding, 0, len(c.holdings[leaf]))
	for _, holding := range c.holdings[leaf] {
		if holding.Version != version {
			kept = append(kept, holding)
		}
	}
	c.holdings[leaf] = kept
}

// LeafsWithoutHoldings returns the leafs of the services for which no holdings are known.
func (c *Catalogue) LeafsWithoutHoldings(services []string) []assigner.LeafID {
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

// PlanQuery returns a plan for the newest version of which every shard has a candidate, or else for the version with the
// largest share of such shards. It returns false if no version is known that all services hold.
func (c *Catalogue) PlanQuery(services []string, view *tabulator.View) (Plan, bool) {
	var best Plan
	found := false
	bestMissing := 0
	for _, version := range c.versionsOf(services) {
		plan, ok := c.planVersion(version, services, view)
		if !ok {
			continue
		}
		missing := plan.countUnreachable()
		if missing == 0 {
			return plan, true
		}
		if !found || missing*len(best.Shards) < bestMissing*len(plan.Shards) {
			best, bestMissing, found = plan, missing, true
		}
	}
	return best, found
}

// versionsOf returns the versions that any leaf of the services holds, newest first.
func (c *Catalogue) versionsOf(services []string) []Version {
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
	sort.Slice(versions, func(i, j int) bool { return versions[j].isOlderThan(versions[i]) })
	return versions
}

// planVersion returns the plan for a version, and false if a service has no leaf that holds it.
func (c *Catalogue) planVersion(version Version, services []string, view *tabulator.View) (Plan, bool) {
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
		if holding, ok := c.holdingOf(id, version); ok {
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
		holding, ok := c.holdingOf(id, version)
		if !ok || holding.Shards != count || holding.Shard < 0 || holding.Shard >= count {
			continue
		}
		record := c.leafs[id]
		row, acceptsRequests := view.AcceptsRequests(tabulator.Key{Service: service, DataCentre: record.DataCentre})
		if !acceptsRequests || record.IsDraining {
			continue
		}
		shard := &shards[holding.Shard]
		shard.Candidates = append(shard.Candidates, id)
		shard.Weights = append(shard.Weights, row.Weight())
	}
	return shards, true
}

func (c *Catalogue) holdingOf(leaf assigner.LeafID, version Version) (Holding, bool) {
	for _, holding := range c.holdings[leaf] {
		if holding.Version == version {
			return holding, true
		}
	}
	return Holding{}, false
}

// IsComplete reports whether every shard has a candidate.
func (p Plan) IsComplete() bool { return p.countUnreachable() == 0 }

func (p Plan) countUnreachable() int {
	missing := 0
	for _, shard := range p.Shards {
		if len(shard.Candidates) == 0 {
			missing++
		}
	}
	return missing
}

func (v Version) isOlderThan(other Version) bool {
	if v.Number != other.Number {
		return v.Number < other.Number
	}
	return v.Index < other.Index
}
