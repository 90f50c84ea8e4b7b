// What one instance sees of a leaf is told to the others of its data centre,
// which would each have to find out with requests of their own.

package gatekeeper

import (
	"time"

	"lovagedeck/pkg/placer"
	"lovagedeck/pkg/spreader"
)

const (
	// trustGain is the weight of one answer in the share of bad ones.
	trustGain = 0.02
	// trustLimit is the share of bad answers beyond which this instance takes the fault to be its own and tells nobody.
	trustLimit = 0.5
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
		Leaf: leaf.Fields().ID, Slowness: observation.Slowness, Faults: observation.Faults, Slow: observation.IsSlow,
		SlowFor: observation.SlowFor, SeenAt: observation.SeenAt, Gone: observation.IsGone,
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
			continue
		}
		turned := m.leaf.Take(placer.Observation{
			Slowness: s.Slowness, Faults: s.Faults, IsSlow: s.Slow, SlowFor: s.SlowFor, SeenAt: s.SeenAt,
			IsGone: s.Gone,
		})
		if turned {
			f.log.Info("gatekeeper: leaf believed by observation", "leaf", s.Leaf, "service", m.leaf.Fields().Service, "slow", s.Slow, "gone", s.Gone,
				"slowness", s.Slowness, "faults", s.Faults, "slow-for-ms", s.SlowFor.Milliseconds(), "age-ms", (now - s.SeenAt).Milliseconds())
		}
	}
}
