// During a roll-out the requests of a service are divided between its versions.
// Package splitter decides; the fleet gives it the view, the list of leafs and
// the lease, and asks it before each attempt.

package gatekeeper

import (
	"slices"
	"time"

	"lovagedeck/pkg/placer"
	"lovagedeck/pkg/splitter"
	"lovagedeck/pkg/tabulator"
)

// serviceRollout is the state of the versions of one service.
type serviceRollout struct {
	split splitter.Split
	// inProgress counts the attempts in progress by the version of the leaf.
	inProgress map[string]int
	evidence   rolloutEvidence
	// held are the leafs that got no requests because of their version as of the last list, for the log.
	held []string
}

// versionOf returns what is known of the version of a leaf.
func versionOf(leaf *placer.Leaf) splitter.Leaf {
	fields := leaf.Fields()
	return splitter.Leaf{Version: fields.Version, IsCandidate: fields.IsCandidate, IsDraining: fields.IsDraining, ListedAt: fields.ListedAt}
}

// rolloutOf returns the state of the versions of a service, which may be new.
func (f *fleet) rolloutOf(service string) *serviceRollout {
	r := f.rollouts[service]
	if r == nil {
		r = &serviceRollout{inProgress: map[string]int{}}
		r.split.SetControl(f.hasControl)
		f.rollouts[service] = r
	}
	return r
}

// setRollouts applies the roll-outs of a new view.
func (f *fleet) setRollouts(rollouts map[string]tabulator.Rollout) {
	now := f.now()
	for service, rollout := range rollouts {
		r := f.rolloutOf(service)
		previous, wasKnown := r.split.Rollout()
		previousShare := r.split.Share()
		if !r.split.SetRollout(rollout, now) {
			continue
		}
		event := "gatekeeper: roll-out changed"
		if !wasKnown || previous.Order != rollout.Order {
			event = "gatekeeper: roll-out learned"
			r.evidence = rolloutEvidence{}
		}
		f.log.Info(event, "service", service, "version", rollout.Version, "order", rollout.Order, "revision", rollout.Revision, "state", string(rollout.State),
			"share", r.split.Share(), "previous-share", previousShare, "reason", rollout.Reason, "has-control", f.hasControl)
		if rollout.State == tabulator.RolloutCompleted {
			time.AfterFunc(splitter.RetirementPeriod, f.updateSuspended)
		}
	}
}

// setControl applies the gain or loss of the lease.
func (f *fleet) setControl(hasControl bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasControl = hasControl
	for service, r := range f.rollouts {
		previousShare := r.split.Share()
		r.split.SetControl(hasControl)
		if rollout, isKnown := r.split.Rollout(); isKnown && rollout.State == tabulator.RolloutRunning {
			f.log.Info("gatekeeper: roll-out with or without control", "service", service, "version", rollout.Version, "order", rollout.Order,
				"revision", rollout.Revision, "has-control", hasControl, "share", r.split.Share(), "previous-share", previousShare)
		}
	}
	f.suspendPools()
}

// setVersions applies the versions in a new list of leafs, and forgets services that are neither listed nor rolled out.
func (f *fleet) setVersions(isOwnList bool) {
	now := f.now()
	for name, r := range f.rollouts {
		s := f.services[name]
		if _, isKnown := r.split.Rollout(); s == nil && !isKnown && r.isIdle() {
			delete(f.rollouts, name)
			continue
		}
		var leafs []splitter.Leaf
		var held []string
		if s != nil {
			for _, leaf := range s.leafs {
				leafs = append(leafs, versionOf(leaf))
			}
		}
		r.split.SetLeafs(leafs, isOwnList)
		for i, leaf := range leafs {
			if r.split.IsHeld(leaf, now) {
				held = append(held, s.leafs[i].Fields().ID+"("+leaf.Version+")")
			}
		}
		if !slices.Equal(held, r.held) {
			f.log.Info("gatekeeper: leafs held back", "service", name, "leafs", held, "fetched-here", isOwnList, "has-control", f.hasControl)
		}
		r.held = held
	}
}

// updateSuspended suspends and resumes pools after the time alone has changed what may be sent.
func (f *fleet) updateSuspended() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspendPools()
}

// isHeld reports whether a leaf must get no requests because of its version.
func (f *fleet) isHeld(leaf *placer.Leaf, now time.Duration) bool {
	r := f.rollouts[leaf.Fields().Service]
	return r != nil && r.split.IsHeld(versionOf(leaf), now)
}

// chooseVersion chooses a leaf of the version that the course of the request decides, and returns the course of the attempt. It decides
// the course if the request has none yet. A leaf of the new version that is warming up is left to its warm-up while the old
// version serves as well.
func (f *fleet) chooseVersion(s *service, course *splitter.Course, isRepeated bool, criteria placer.Criteria, advised *advice) (*placer.Leaf, splitter.Course) {
	split := &s.rollout.split
	if split.IsRunning() {
		split.SetControl(f.hasControl && (f.holdsLease == nil || f.holdsLease()))
	}
	isDivided := split.IsDivided()
	if !course.IsDecided() {
		draw := 0.0
		if isDivided {
			draw = f.random.Float64()
		}
		*course = split.Decide(draw, isRepeated)
	}
	chosen := *course
	criteria.IsExcluded = versionFilter(split, chosen.Side(), criteria.Now)
	leaf := f.choose(s, criteria, advised)
	if leaf == nil && isDivided && chosen.Side() == splitter.New {
		chosen = chosen.Fallback()
		criteria.IsExcluded = versionFilter(split, chosen.Side(), criteria.Now)
		leaf = f.choose(s, criteria, advised)
	}
	return leaf, chosen
}

// versionFilter returns a function that reports whether a leaf is excluded by its version from requests of the given side.
func versionFilter(split *splitter.Split, side splitter.Side, now time.Duration) func(leaf *placer.Leaf) bool {
	avoidsWarmUp := side == splitter.New && split.IsDivided()
	return func(leaf *placer.Leaf) bool {
		return !split.Admits(versionOf(leaf), side, now) || avoidsWarmUp && leaf.IsWarmingUp(now)
	}
}

// describeVersion returns the log fields that explain the version of an attempt's leaf, or none without a roll-out.
func (a *attempt) describeVersion() []any {
	if a.course.Reason() == splitter.ReasonNone {
		return nil
	}
	return []any{"leaf-version", a.version, "version-why", string(a.course.Reason())}
}

// isIdle reports whether no attempt is in progress.
func (r *serviceRollout) isIdle() bool { return len(r.inProgress) == 0 }
