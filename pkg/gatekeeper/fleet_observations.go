// Observations of a leaf are shared with the other instances of the data
// centre. Each of them would otherwise need requests of its own to find out
// that the leaf is slow or failing.

package gatekeeper

import (
	"strings"
	"time"

	"lovagedeck/pkg/placer"
	"lovagedeck/pkg/spreader"
)

const (
	// slowShareGain is the weight of one attempt in the share of attempts with a slow leaf.
	slowShareGain = 0.02
	// maxSlowShare is the share of attempts with a slow leaf beyond which this instance assumes that it is at fault
	// itself and publishes nothing.
	maxSlowShare = 0.5
	// instancePrefix marks observations of instances that gather shards, as opposed to leafs.
	instancePrefix = "instance:"
	// maxUnresponsiveAge is the age up to which another instance's observation of an unresponsive gatherer is applied. After that
	// time the gatherer has been probed.
	maxUnresponsiveAge = time.Second
)

// publishLeafState publishes the state of a leaf after an attempt, unless most leafs look slow from this instance or none answers. It
// publishes nothing about leafs of a shard that this instance gathers, because the other instances do not query them.
func (f *fleet) publishLeafState(leaf *placer.Leaf, now time.Duration) {
	observation, shouldShare := leaf.Observe(now)
	slow := 0.0
	if observation.IsSlow {
		slow = 1
	}
	f.slowShare += slowShareGain * (slow - f.slowShare)
	if !shouldShare || f.publish == nil || f.slowShare > maxSlowShare || f.detector.NeedsCheck(now) || f.assignment.plan.IsPrimary(f.self, leaf.Fields().Service) {
		return
	}
	f.publish(spreader.Observation{
		Leaf: leaf.Fields().ID, Slowness: observation.Slowness, FailureRate: observation.FailureRate, IsSlow: observation.IsSlow,
		SlowFor: observation.SlowFor, SeenAt: observation.SeenAt, IsGone: observation.IsReplaced,
	})
}

// applyObservations applies other instances' observations of leafs and of instances that gather shards.
func (f *fleet) applyObservations(observations []spreader.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, observation := range observations {
		if leaf, isRateLimit := observation.RateLimitedLeaf(); isRateLimit {
			f.applyRateLimit(leaf, observation, now)
			continue
		}
		if f.applyRoom(observation, now) {
			continue
		}
		u := f.leafs[observation.Leaf]
		if u == nil {
			f.applyUnresponsiveInstance(observation, now)
			continue
		}
		isChanged := u.leaf.Apply(placer.Observation{
			Slowness: observation.Slowness, FailureRate: observation.FailureRate, IsSlow: observation.IsSlow, SlowFor: observation.SlowFor, SeenAt: observation.SeenAt,
			IsReplaced: observation.IsGone,
		})
		if isChanged {
			f.log.Info("gatekeeper: leaf believed by observation", "leaf", observation.Leaf, "service", u.leaf.Fields().Service, "slow", observation.IsSlow, "gone", observation.IsGone,
				"slowness", observation.Slowness, "faults", observation.FailureRate, "slow-for-ms", observation.SlowFor.Milliseconds(), "age-ms", (now - observation.SeenAt).Milliseconds())
		}
	}
}

// publishUnresponsiveInstance publishes that an instance that gathers shards is unresponsive. Otherwise each of the other
// instances would find out through a late query.
func (f *fleet) publishUnresponsiveInstance(instance string) {
	if f.publish != nil {
		f.publish(spreader.Observation{Leaf: instancePrefix + instance, IsGone: true, SeenAt: f.now()})
	}
}

// applyUnresponsiveInstance applies another instance's observation that an instance that gathers shards is unresponsive.
func (f *fleet) applyUnresponsiveInstance(observation spreader.Observation, now time.Duration) {
	instance, isInstance := strings.CutPrefix(observation.Leaf, instancePrefix)
	if isInstance && f.peers != nil && now-observation.SeenAt < maxUnresponsiveAge {
		f.peers.Suspect(instance)
	}
}
