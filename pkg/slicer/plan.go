// A plan gives each shard of the queries an instance that gathers it, for all
// instances of a data centre. Every instance works the plan out by itself, from
// the members and the leafs that it knows; where two of them differ for a
// moment, a shard is gathered at either place:
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
	// shardsPerInstance is how many shards one instance gathers for its data centre at least: each slice costs a call between
	// instances, of about the processor time of three requests to leafs.
	shardsPerInstance = 12
	// leastInstances is the number of instances of a data centre from which on shards are gathered in slices: with fewer of
	// them each asks every leaf several times a second and keeps its own connections.
	leastInstances = 8
	// spareShards is how many shards beyond an even share an instance may gather, so that few of them move when instances
	// come and go.
	spareShards = 2
	// choices is how many instances may gather a shard, the usual one first.
	choices = 2
)

type (
	// Member is an instance that may gather shards.
	Member struct {
		Instance   string
		DataCentre string
	}

	// Shard is a service with the data centres in which it has a leaf that takes work.
	Shard struct {
		Service     string
		DataCentres []string
	}

	// Plan is who gathers the shards, for the instances of one data centre.
	Plan struct {
		gatherers map[string][]string
	}
)

// New returns the plan of the instances of a data centre.
func New(members []Member, shards []Shard, dataCentre string) Plan {
	byCentre := make(map[string][]string)
	for _, member := range members {
		byCentre[member.DataCentre] = append(byCentre[member.DataCentre], member.Instance)
	}
	plan := Plan{gatherers: make(map[string][]string, len(shards))}
	if len(byCentre[dataCentre]) < leastInstances {
		return plan
	}
	places := placesOf(shards, dataCentre)
	for place, services := range servicesByPlace(shards) {
		if instances := byCentre[place]; len(instances) >= leastInstances {
			plan.add(place, assign(chosen(instances, len(services)), services), places)
		}
	}
	return plan
}

// Made tells whether the plan was worked out.
func (p Plan) Made() bool { return p.gatherers != nil }

// Gatherers returns the instances that may gather a shard, the usual one first; none where each instance asks the leafs itself.
func (p Plan) Gatherers(service string) []string { return p.gatherers[service] }

// Gathers tells whether the instance is the usual gatherer of a shard.
func (p Plan) Gathers(instance, service string) bool {
	gatherers := p.gatherers[service]
	return len(gatherers) > 0 && gatherers[0] == instance
}

// add takes the gatherers of one data centre for those shards that are gathered there.
func (p Plan) add(place string, assigned map[string][]string, places map[string][]string) {
	for service, instances := range assigned {
		switch rank := slices.Index(places[service], place); {
		case rank < 0:
		case len(places[service]) == 1:
			p.gatherers[service] = instances
		case rank == 0:
			p.gatherers[service] = slices.Insert(p.gatherers[service], 0, instances[0])
		default:
			p.gatherers[service] = append(p.gatherers[service], instances[0])
		}
	}
}

// placesOf returns the data centres in which each shard is gathered: the own one where it has a leaf, else two of those that
// have one, so that the loss of one is no gap.
func placesOf(shards []Shard, dataCentre string) map[string][]string {
	places := make(map[string][]string, len(shards))
	for _, shard := range shards {
		if slices.Contains(shard.DataCentres, dataCentre) {
			places[shard.Service] = []string{dataCentre}
			continue
		}
		ranked := ranking(shard.Service, shard.DataCentres)
		places[shard.Service] = ranked[:min(choices, len(ranked))]
	}
	return places
}

func servicesByPlace(shards []Shard) map[string][]string {
	services := make(map[string][]string)
	for _, shard := range shards {
		for _, place := range shard.DataCentres {
			services[place] = append(services[place], shard.Service)
		}
	}
	return services
}

// chosen returns the instances of a data centre that gather its shards. They are the same ones whatever the shards are, but
// for their number.
func chosen(instances []string, shards int) []string {
	count := (shards + shardsPerInstance - 1) / shardsPerInstance
	ranked := ranking("", instances)
	return ranked[:min(len(ranked), max(choices, count))]
}

// assign gives each service its gatherers by rendezvous hashing; an instance that has its share passes further ones on.
func assign(instances, services []string) map[string][]string {
	limit := (len(services)+len(instances)-1)/len(instances) + spareShards
	load := make(map[string]int, len(instances))
	assigned := make(map[string][]string, len(services))
	sorted := slices.Sorted(slices.Values(services))
	for _, service := range sorted {
		ranked := ranking(service, instances)
		first := slices.IndexFunc(ranked, func(instance string) bool { return load[instance] < limit })
		load[ranked[first]]++
		ranked[0], ranked[first] = ranked[first], ranked[0]
		assigned[service] = ranked[:min(choices, len(ranked))]
	}
	return assigned
}

// ranking orders names by their hash with the key.
func ranking(key string, names []string) []string {
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
	sorted := make([]string, 0, len(names))
	for _, r := range scored {
		sorted = append(sorted, r.name)
	}
	return sorted
}
