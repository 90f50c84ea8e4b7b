// A split holds what one instance knows of the versions of one service. The
// roll-out comes with the view, and the versions with the list of leafs. Either
// may arrive first, and the list may be one that this instance fetched itself.

package splitter

import (
	"slices"
	"time"

	"lovagedeck/pkg/tabulator"
)

const (
	// RetirementPeriod is how long leafs of other versions that are still listed get nothing after a roll-out was completed. They stop at
	// once, and the list follows within seconds. What is listed for longer belongs to a later release.
	RetirementPeriod = 30 * time.Second
	// maxRejected limits the versions of earlier roll-outs that were rolled back.
	maxRejected = 8
)

type (
	// Leaf is what the list of leafs states of the version of one leaf.
	Leaf struct {
		Version string
		// IsCandidate is set if a control instance has marked the leaf as one of a new version.
		IsCandidate bool
		IsDraining  bool
		// ListedAt is when this instance first saw the leaf in a list.
		ListedAt time.Duration
	}

	// Split decides which leafs of one service may get a request. It requires external locking.
	Split struct {
		rollout    tabulator.Rollout
		hasRollout bool
		hasControl bool
		// completedAt is when this instance learned that the roll-out is completed, and wasRunning is set if it knew the roll-out before.
		completedAt time.Duration
		wasRunning  bool
		// rejected are the versions whose roll-out was rolled back.
		rejected []string
		// known are the versions in the last list from the control instances, without those of candidates.
		known []string
		// versions are those of the leafs in the current list that do not drain.
		versions []string
		// isOwnList is set if this instance fetched the current list itself.
		isOwnList bool
	}
)

// SetRollout applies the newest roll-out of the service and reports whether it has changed.
func (s *Split) SetRollout(rollout tabulator.Rollout, now time.Duration) bool {
	if s.hasRollout && s.rollout == rollout {
		return false
	}
	isSameOrder := s.hasRollout && s.rollout.Order == rollout.Order
	s.wasRunning = isSameOrder && (s.wasRunning || s.rollout.State == tabulator.RolloutRunning)
	if rollout.State == tabulator.RolloutCompleted && !(isSameOrder && s.rollout.State == tabulator.RolloutCompleted) {
		s.completedAt = now
	}
	s.rejected = slices.DeleteFunc(s.rejected, func(version string) bool { return version == rollout.Version })
	if rollout.State == tabulator.RolloutRolledBack {
		s.rejected = append(s.rejected, rollout.Version)
		s.rejected = s.rejected[max(0, len(s.rejected)-maxRejected):]
	}
	s.rollout, s.hasRollout = rollout, true
	return true
}

// Rollout returns the newest roll-out of the service.
func (s *Split) Rollout() (tabulator.Rollout, bool) { return s.rollout, s.hasRollout }

// SetControl sets whether this instance hears of changes of the share.
func (s *Split) SetControl(hasControl bool) { s.hasControl = hasControl }

// SetLeafs applies the leafs of the service in a new list, which comes from the control instances or was fetched by this instance.
func (s *Split) SetLeafs(leafs []Leaf, isOwnList bool) {
	s.isOwnList, s.versions = isOwnList, nil
	var known []string
	for _, leaf := range leafs {
		if !leaf.IsDraining && !slices.Contains(s.versions, leaf.Version) {
			s.versions = append(s.versions, leaf.Version)
		}
		if !leaf.IsCandidate && !slices.Contains(known, leaf.Version) {
			known = append(known, leaf.Version)
		}
	}
	if !isOwnList {
		s.known = known
	}
}

// Share returns the part of the requests that the new version gets at this instance, in 1/tabulator.WholeShare.
func (s *Split) Share() int {
	switch {
	case !s.hasRollout || s.rollout.State == tabulator.RolloutRolledBack:
		return 0
	case s.rollout.State == tabulator.RolloutCompleted || s.rollout.Share >= tabulator.WholeShare:
		return tabulator.WholeShare
	case s.hasControl:
		return max(0, s.rollout.Share)
	case slices.ContainsFunc(s.versions, func(version string) bool { return version != s.rollout.Version }):
		// The share may have fallen since.
		return 0
	}
	return tabulator.WholeShare
}

// IsDivided reports whether both versions get requests now, so that each request needs a decision.
func (s *Split) IsDivided() bool { return s.Share() > 0 && s.Share() < tabulator.WholeShare }

// IsRunning reports whether a roll-out of the service runs.
func (s *Split) IsRunning() bool { return s.hasRollout && s.rollout.State == tabulator.RolloutRunning }

// IsNew reports whether the version is the new one of a roll-out that runs.
func (s *Split) IsNew(version string) bool {
	return s.IsRunning() && version == s.rollout.Version
}

// Admits reports whether a request of the given side may be sent to the leaf.
func (s *Split) Admits(leaf Leaf, side Side, now time.Duration) bool {
	isNew := s.hasRollout && leaf.Version == s.rollout.Version
	switch {
	case slices.Contains(s.rejected, leaf.Version):
		return false
	case leaf.IsCandidate && !isNew:
		// The list has arrived before the view.
		return false
	case !isNew && s.isUnknown(leaf):
		return false
	case !s.hasRollout || s.rollout.State == tabulator.RolloutRolledBack:
		return true
	}
	switch share := s.Share(); {
	case share == 0:
		return !isNew
	case share < tabulator.WholeShare:
		return isNew == (side == New)
	case isNew:
		return true
	case s.rollout.State == tabulator.RolloutCompleted:
		return !s.isRetired(leaf, now)
	}
	return false
}

// IsHeld reports whether the leaf must get no request at all.
func (s *Split) IsHeld(leaf Leaf, now time.Duration) bool {
	return !s.Admits(leaf, Old, now) && !s.Admits(leaf, New, now)
}

// isUnknown reports whether the leaf is of a version that only a list of this instance names, which may be one of a roll-out, while
// leafs of known versions are listed.
func (s *Split) isUnknown(leaf Leaf) bool {
	return s.isOwnList && !slices.Contains(s.known, leaf.Version) &&
		slices.ContainsFunc(s.versions, func(version string) bool { return slices.Contains(s.known, version) })
}

// isRetired reports whether a leaf of another version is one that the completed roll-out has replaced.
func (s *Split) isRetired(leaf Leaf, now time.Duration) bool {
	wasListed := leaf.ListedAt <= s.completedAt || !s.wasRunning
	return wasListed && now-s.completedAt < RetirementPeriod && slices.Contains(s.versions, s.rollout.Version)
}
