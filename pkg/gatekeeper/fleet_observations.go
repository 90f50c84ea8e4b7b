// What one instance sees of a leaf is told to the others of its data centre,
// which would each have to find out with requests of their own.

package gatekeeper

import (
	"strings"
	"time"

	"lovagedeck/pkg/placer"
	"lovagedeck/pkg/spreader"
)

const (
	// trustGain is the weight of one answer in the share of bad ones.
	trustGain = 0.02
	// trustLimit is the share of bad answers beyond which this instance takes the fault to be its own and tells nobody.
	trustLimit = 0.5
	// instancePrefix marks an observation of an instance that gathers shards, among those of leafs.
	instancePrefix = "instance:"
	// silenceMemory is how old another instance's word that a gatherer is silent may be: by then it has been asked.
	silenceMemory = time.Second
)

// tellNews passes on what the end of an attempt says of the leaf, unless most leafs look bad from here. Of a shard that this
// instance gathers the others need not know: they do not ask its leafs.
func (f *fleet) tellNews(leaf *placer.Leaf, now time.Duration) {
	observation, news := leaf.News(now)
	bad := 0.0
	if observation.IsSlow {
		bad = 1
	}
	f.badShare += trustGain * (bad - f.badShare)
	if !news || f.tell == nil || f.badShare > trustLimit || f.slicing.plan.Gathers(f.self, leaf.Fields().Service) {
		return
	}
	f.tell(spreader.Observation{
		Leaf: leaf.Fields().ID, Slowness: observation.Slowness, FailureRate: observation.Faults, IsSlow: observation.IsSlow,
		SlowFor: observation.SlowFor, SeenAt: observation.SeenAt, IsGone: observation.IsGone,
	})
}

// takeObservations believes what other instances saw.
func (f *fleet) takeObservations(observations []spreader.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, s := range observations {
		m := f.leafs[s.Leaf]
		if m == nil {
			f.doubt(s, now)
			continue
		}
		turned := m.leaf.Take(placer.Observation{
			Slowness: s.Slowness, Faults: s.FailureRate, IsSlow: s.IsSlow, SlowFor: s.SlowFor, SeenAt: s.SeenAt,
			IsGone: s.IsGone,
		})
		if turned {
			f.log.Info("gatekeeper: leaf believed by observation", "leaf", s.Leaf, "service", m.leaf.Fields().Service, "slow", s.IsSlow, "gone", s.IsGone,
				"slowness", s.Slowness, "faults", s.FailureRate, "slow-for-ms", s.SlowFor.Milliseconds(), "age-ms", (now - s.SeenAt).Milliseconds())
		}
	}
}

// tellSilent passes on that an instance which gathers shards is silent: the others would each find out with a late query.
func (f *fleet) tellSilent(instance string) {
	if f.tell != nil {
		f.tell(spreader.Observation{Leaf: instancePrefix + instance, IsGone: true, SeenAt: f.now()})
	}
}

// doubt acts on the word of another instance that a gatherer is silent.
func (f *fleet) doubt(observation spreader.Observation, now time.Duration) {
	instance, found := strings.CutPrefix(observation.Leaf, instancePrefix)
	if found && f.peers != nil && now-observation.SeenAt < silenceMemory {
		f.peers.Doubt(instance)
	}
}
