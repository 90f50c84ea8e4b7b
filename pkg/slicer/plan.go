// A plan assigns the shards of queries to gathering instances, for all instances
// of one data centre. Every instance computes the plan on its own from the
// members and leafs that it knows. While the views of two instances differ, a
// shard may be gathered at different instances:
//
//	data centre a, 56 instances   customs-desk-17 -> a-front-3, then a-front-41
//	data centre d, no leaf        customs-desk-17 -> b-front-9, then c-front-2

package slicer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// shardsPerInstance is the least number of shards that one instance gathers for its data centre: each slice costs a call
	// between instances, which takes about as much processor time as three requests to leafs.
	shardsPerInstance = 12
	// minInstances is the size of a data centre, in instances, from which shards are gathered in slices: in a smaller one each
	// instance asks every leaf several times per second and keeps its own connections.
	minInstances = 8
	// shardSlack is the number of shards beyond an even share that an instance may gather, so that few shards move when
	// instances join or leave.
	shardSlack = 2
	// gatherersPerShard is the number of instances that may gather a shard: the primary and a backup.
	gatherersPerShard = 2
)

type (
	// Member is an instance that may gather shards.
	Member struct {
		Instance   string
		DataCentre string
	}

	// Shard is a shard, named by its service, with the data centres in which it has a leaf that accepts requests.
	Shard struct {
		Service     string
		DataCentres []string
	}

	// Plan maps the shards to their gatherers for the instances of one data centre.
	Plan struct {
		gatherers map[string][]string
	}
)

// New computes the plan for the instances of a data centre; the plan has no gatherers if the data centre has too few instances
// for slices.
func New(members []Member, shards []Shard, dataCentre string) Plan {
	byDataCentre := make(map[string][]string)
	for _, member := range members {
		byDataCentre[member.DataCentre] = append(byDataCentre[member.DataCentre], member.Instance)
	}
	plan := Plan{gatherers: make(map[string][]string, len(shards))}
	if len(byDataCentre[dataCentre]) < minInstances {
		return plan
	}
	centres := gatheringCentres(shards, dataCentre)
	for centre, services := range servicesByDataCentre(shards) {
		if instances := byDataCentre[centre]; len(instances) >= minInstances {
			plan.add(centre, assign(selectGatherers(instances, len(services)), services), centres)
		}
	}
	return plan
}

// IsComputed reports whether the plan was computed, as opposed to the zero value.
func (p Plan) IsComputed() bool { return p.gatherers != nil }

// Gatherers returns the instances that may gather a shard, the primary first, or none if each instance asks the leafs
// directly.
func (p Plan) Gatherers(service string) []string { return p.gatherers[service] }

// IsPrimary reports whether the instance is the primary gatherer of a shard.
func (p Plan) IsPrimary(instance, service string) bool {
	gatherers := p.gatherers[service]
	return len(gatherers) > 0 && gatherers[0] == instance
}

// Helpers returns up to count instances that serve the requests of the given one while it reaches no leaf, by rendezvous hashing
// over all data centres, so that the requests of many such instances are spread over all others.
func Helpers(instance string, members []Member, count int) []string {
	others := make([]string, 0, len(members))
	for _, member := range members {
		if member.Instance != instance {
			others = append(others, member.Instance)
		}
	}
	ranked := rankByHash(instance, others)
	return ranked[:min(count, len(ranked))]
}

// add records the assignments made in one data centre for the shards that are gathered there; centres holds the data centres
// of each shard in order of preference.
func (p Plan) add(centre string, assigned map[string][]string, centres map[string][]string) {
	for service, instances := range assigned {
		switch rank := slices.Index(centres[service], centre); {
		case rank < 0:
		case len(centres[service]) == 1:
			p.gatherers[service] = instances
		case rank == 0:
			p.gatherers[service] = slices.Insert(p.gatherers[service], 0, instances[0])
		default:
			p.gatherers[service] = append(p.gatherers[service], instances[0])
		}
	}
}

// gatheringCentres returns the data centres in which each shard is gathered: the local one if it has a leaf of the shard,
// otherwise two that have one, so that the shard remains covered if one of them fails.
func gatheringCentres(shards []Shard, dataCentre string) map[string][]string {
	centres := make(map[string][]string, len(shards))
	for _, shard := range shards {
		if slices.Contains(shard.DataCentres, dataCentre) {
			centres[shard.Service] = []string{dataCentre}
			continue
		}
		ranked := rankByHash(shard.Service, shard.DataCentres)
		centres[shard.Service] = ranked[:min(gatherersPerShard, len(ranked))]
	}
	return centres
}

func servicesByDataCentre(shards []Shard) map[string][]string {
	services := make(map[string][]string)
	for _, shard := range shards {
		for _, dataCentre := range shard.DataCentres {
			services[dataCentre] = append(services[dataCentre], shard.Service)
		}
	}
	return services
}

// selectGatherers returns the instances of a data centre that gather its shards. The selection depends on the number of
// shards, but not on which shards they are.
func selectGatherers(instances []string, shards int) []string {
	count := (shards + shardsPerInstance - 1) / shardsPerInstance
	ranked := rankByHash("", instances)
	return ranked[:min(len(ranked), max(gatherersPerShard, count))]
}

// assign assigns gatherers to each service by rendezvous hashing. An instance at its load limit is passed over as the primary
// in favour of the next one below the limit.
func assign(instances, services []string) map[string][]string {
	limit := (len(services)+len(instances)-1)/len(instances) + shardSlack
	load := make(map[string]int, len(instances))
	assigned := make(map[string][]string, len(services))
	sorted := slices.Sorted(slices.Values(services))
	for _, service := range sorted {
		ranked := rankByHash(service, instances)
		first := slices.IndexFunc(ranked, func(instance string) bool { return load[instance] < limit })
		load[ranked[first]]++
		ranked[0], ranked[first] = ranked[first], ranked[0]
		assigned[service] = ranked[:min(gatherersPerShard, len(ranked))]
	}
	return assigned
}

// rankByHash returns the names in descending order of their hash with the key, as in rendezvous hashing.
func rankByHash(key string, names []string) []string {
	type ranked struct {
		name  string
		score uint64
	}
	scored := make([]ranked, 0, len(names))
	for _, name := range names {
		scored = append(scored, ranked{name: name, score: xxhash.Sum64String(key + "\x00" + name)})
	}
	slices.SortFunc(scored, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	ordered := make([]string, 0, len(names))
	for _, r := range scored {
		ordered = append(ordered, r.name)
	}
	return ordered
}
