package gatekeeper

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"lovagedeck/pkg/arbiter"
	"lovagedeck/pkg/forecaster"
	"lovagedeck/pkg/placer"
)

// maxUnusable bounds the unusable shards that an explanation lists.
const maxUnusable = 24

// explainQuery says where the shards of a query go. It holds the lock for one shard at a time, so that it delays no request for long.
func (f *fleet) explainQuery(in *inboundRequest, bodyBytes int) *forecaster.Query {
	shards := in.route.Shards()
	groups := f.groupsFor(in.route)
	query := &forecaster.Query{Shards: len(shards), MinParts: in.route.MinParts(), OwnShards: len(shards), Why: f.explainGathering(in, len(groups) > 0)}
	isDelegated := map[int]bool{}
	for instance, group := range groups {
		for _, shard := range group {
			isDelegated[shard] = true
		}
		query.OwnShards -= len(group)
		query.Gatherers = append(query.Gatherers, forecaster.Instance{Name: instance, DataCentre: f.dataCentreOf(instance), IsAvailable: true, Shards: len(group)})
	}
	slices.SortFunc(query.Gatherers, func(a, b forecaster.Instance) int {
		return cmp.Or(strings.Compare(a.DataCentre, b.DataCentre), strings.Compare(a.Name, b.Name))
	})
	query.Room, query.Chance = f.explainRoom(in, groups)
	counts := map[string]int{}
	for shard, name := range shards {
		best, reason := f.explainBestLeaf(in, name, bodyBytes)
		switch {
		case best == nil:
			if query.UnusableCount++; len(query.Unusable) < maxUnusable {
				query.Unusable = append(query.Unusable, forecaster.UnusableShard{Service: name, Reason: reason})
			}
		case !isDelegated[shard]:
			counts[best.Fields().DataCentre]++
		}
	}
	for dataCentre, count := range counts {
		query.OwnLeafs = append(query.OwnLeafs, forecaster.LeafCount{DataCentre: dataCentre, Shards: count})
	}
	slices.SortFunc(query.OwnLeafs, func(a, b forecaster.LeafCount) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return query
}

// explainShard explains one shard in full: the instances that may gather it, and its leafs as this instance sees them.
func (f *fleet) explainShard(in *inboundRequest, name string, bodyBytes int) []forecaster.Target {
	groups := f.groupsFor(in.route)
	why := f.explainGathering(in, len(groups) > 0)
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := f.explainLeafs(in, name, bodyBytes)
	for i := range targets {
		target := &targets[i]
		target.Decider, target.Why = f.self, why
		if len(groups) == 0 {
			continue
		}
		for _, instance := range f.assignment.plan.Gatherers(name) {
			isAvailable := instance == f.self || f.peers.IsAvailable(instance)
			target.Asked = append(target.Asked, forecaster.Instance{Name: instance, DataCentre: f.memberDataCentre(instance), IsAvailable: isAvailable})
		}
		if first := slices.IndexFunc(target.Asked, func(asked forecaster.Instance) bool { return asked.IsAvailable }); first >= 0 {
			target.Decider = target.Asked[first].Name
		}
	}
	return targets
}

// explainGathering says why other instances gather shards of a query, or not.
func (f *fleet) explainGathering(in *inboundRequest, isDelegated bool) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case isDelegated:
		return "each shard is gathered by one instance for its data centre"
	case !in.route.Idempotent():
		return "a request that must not run twice is not handed to other instances"
	case f.peers == nil:
		return "this instance works without other instances"
	case f.assignment.isDirect:
		return "there are so many requests for each instance that it keeps its own connections to all leafs"
	case !slices.ContainsFunc(in.route.Shards(), func(name string) bool { return len(f.assignment.plan.Gatherers(name)) > 0 }):
		return "the data centre has too few instances for gatherers"
	}
	return "this instance gathers all shards of the route, or no gatherer can be asked"
}

// explainBestLeaf returns the leaf of a shard that this instance would choose, also at its concurrency limit, or why there is none.
func (f *fleet) explainBestLeaf(in *inboundRequest, name string, bodyBytes int) (*placer.Leaf, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[name]
	if s == nil {
		return nil, "no leaf is in the list of leafs"
	}
	now, split := f.now(), f.currentSplit(s)
	_, estimate := f.estimateCost(s, in, bodyBytes, f.typicalLatencyOf(in.route), now)
	var candidates []placer.Candidate
	for _, side := range sidesOf(&split) {
		if candidates, _, _ = f.explainSide(s, in.route, &split, side.side, estimate, now); len(candidates) > 0 && candidates[0].MayBeChosen {
			return candidates[0].Leaf, ""
		}
	}
	return nil, describeExclusions(candidates)
}

// describeExclusions counts why leafs are left out.
func describeExclusions(candidates []placer.Candidate) string {
	counts := map[placer.Exclusion]int{}
	for _, candidate := range candidates {
		counts[candidate.Exclusion]++
	}
	var reasons []string
	for exclusion, count := range counts {
		reasons = append(reasons, fmt.Sprintf("%d of %d leafs: %s", count, len(candidates), exclusion))
	}
	slices.Sort(reasons)
	return strings.Join(reasons, "; ")
}

// explainRoom returns the share of the queries that the leafs have room for, and the chance of the query without regard to the use that
// its tenant makes of its allowance.
func (f *fleet) explainRoom(in *inboundRequest, groups map[string][]int) (share, chance float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	share, competition, competes := f.roomFor(in.route, groups, f.now())
	if !competes {
		return 1, 1
	}
	return share, arbiter.Judge(share, arbiter.Query{Rank: max(0, in.priority()-competition.TopPriority)}, 0, 0).Chance
}

func (f *fleet) dataCentreOf(instance string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.memberDataCentre(instance)
}

// memberDataCentre returns the data centre of a member, or an empty string if it has left.
func (f *fleet) memberDataCentre(instance string) string {
	for _, member := range f.members {
		if member.Instance == instance {
			return member.DataCentre
		}
	}
	return ""
}
