// A roster is the list of leafs as the leader of the control instances read it
// from the platform, with a stamp that orders the rosters of all leaders:
//
//	{Stamp:{Term:3 Sequence:17} Age:120ms Leafs:[{ID:"i-7f3a" Service:"customs-desk-01" ...}]}

package lister

import (
	"sort"
	"sync"
	"time"
)

// warmUpTolerance is the difference up to which two end times of a warm-up count as equal. The platform's list is rounded and
// lags.
const warmUpTolerance = time.Second

type (
	// RosterStamp orders rosters by the term of the leader that published them, then by its sequence number.
	RosterStamp struct {
		Term     uint64
		Sequence uint64
	}

	// RosterLeaf is a leaf of a roster; ColdFor is its remaining warm-up time.
	RosterLeaf struct {
		ID         string
		Service    string
		DataCentre string
		Address    string
		Slots      int
		Leaving    bool
		ColdFor    time.Duration
		// Version is the version of the software of the leaf, or empty if it is not known.
		Version string
		// IsCandidate is set by the leader if the leaf belongs to the new version of a roll-out that runs.
		IsCandidate bool
	}

	// Listing is the list of leafs as it was fetched, without its invalid entries.
	Listing struct {
		Leafs []RosterLeaf
		// Calls is the number of calls that the fetch took, also after an error.
		Calls   int
		Skipped SkippedEntries
	}

	// SkippedEntries are the invalid entries of a list: their number and a short description of the first.
	SkippedEntries struct {
		Count int
		First string
	}

	// Roster is the list of leafs, or the changes to it since an earlier roster. Age is how old its warm-up times are when it is
	// handed over; it is 0 in a roster from a RosterStore, which computes the warm-up times anew.
	Roster struct {
		Stamp RosterStamp
		Age   time.Duration
		// Since is the sequence number in the same term that the changes are based on, or 0 for a full roster.
		Since   uint64
		Leafs   []RosterLeaf
		Removed []string
		// ReadAt is when the list was last read with this content, as far as known, on the clock of the instance that holds the roster.
		// It is not sent to other instances, which get a Reading.
		ReadAt time.Duration
	}

	// Reading identifies the roster that an instance holds; Age is the time since the list was last read with that content.
	Reading struct {
		Stamp RosterStamp
		Age   time.Duration
	}

	// RosterStore stores the newest roster known to an instance and the recent changes that led to it.
	RosterStore struct {
		now     func() time.Duration
		mu      sync.Mutex
		stamp   RosterStamp
		readAt  time.Duration
		leafs   map[string]leafEntry
		removed []removal
		// oldestSequence is the lowest sequence number since which all changes are known.
		oldestSequence uint64
	}

	leafEntry struct {
		leaf            RosterLeaf
		warmUpUntil     time.Duration
		changedSequence uint64
	}

	removal struct {
		id       string
		sequence uint64
	}
)

// neverRead stands for a list that was never read. It lies before any reading on a clock that starts with the instance, as a
// reading of another instance may have a negative time.
const neverRead = -365 * 24 * time.Hour

// maxRemovals limits the removals that are kept. An instance that is further behind gets a full roster.
const maxRemovals = 4096

// NewRosterStore returns an empty store that uses the given monotonic clock.
func NewRosterStore(now func() time.Duration) *RosterStore {
	return &RosterStore{now: now, leafs: map[string]leafEntry{}, readAt: neverRead}
}

// IsNewer reports whether the stamp is newer than other.
func (s RosterStamp) IsNewer(other RosterStamp) bool {
	if s.Term != other.Term {
		return s.Term > other.Term
	}
	return s.Sequence > other.Sequence
}

// Append adds another part of the list.
func (l *Listing) Append(part Listing) {
	l.Leafs = append(l.Leafs, part.Leafs...)
	l.Calls += part.Calls
	if l.Skipped.Count == 0 {
		l.Skipped.First = part.Skipped.First
	}
	l.Skipped.Count += part.Skipped.Count
}

// UniqueLeafs returns the leafs with one entry for each identifier, in the order of their first entries. Of several entries, one that
// is leaving holds, or else the one with the highest address, so that the result does not depend on their order.
func UniqueLeafs(leafs []RosterLeaf) []RosterLeaf {
	indexes := make(map[string]int, len(leafs))
	unique := make([]RosterLeaf, 0, len(leafs))
	for _, leaf := range leafs {
		index, isKnown := indexes[leaf.ID]
		switch {
		case !isKnown:
			indexes[leaf.ID] = len(unique)
			unique = append(unique, leaf)
		case leaf.overrides(unique[index]):
			unique[index] = leaf
		}
	}
	return unique
}

func (l RosterLeaf) overrides(other RosterLeaf) bool {
	if l.Leaving != other.Leaving {
		return l.Leaving
	}
	return l.Address > other.Address
}

// Publish stores a list that this instance began to read at readAt, as leader of the given term, and reports whether the roster got a
// new stamp.
func (s *RosterStore) Publish(term uint64, leafs []RosterLeaf, readAt time.Duration) bool {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if term < s.stamp.Term {
		return false
	}
	stamp := RosterStamp{Term: term, Sequence: s.stamp.Sequence + 1}
	if term != s.stamp.Term {
		stamp.Sequence = 1
		s.removed, s.oldestSequence = nil, 1
	}
	removedBefore := len(s.removed)
	changed := s.replace(UniqueLeafs(leafs), stamp.Sequence, now) || len(s.removed) > removedBefore
	s.readAt = readAt
	if !changed && term == s.stamp.Term {
		return false
	}
	s.stamp = stamp
	return true
}

// Apply applies a roster of another instance if it is newer and is full or based on a roster that was applied before, and
// reports whether it did.
func (s *RosterStore) Apply(roster *Roster) bool {
	if roster == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !roster.Stamp.IsNewer(s.stamp) {
		return false
	}
	readAt := s.now() - roster.Age
	if roster.Since == 0 {
		s.removed, s.oldestSequence = nil, roster.Stamp.Sequence
		s.replace(roster.Leafs, roster.Stamp.Sequence, readAt)
		s.removed = nil
		s.stamp = roster.Stamp
		return true
	}
	if roster.Stamp.Term != s.stamp.Term || roster.Since > s.stamp.Sequence {
		return false
	}
	for _, leaf := range roster.Leafs {
		s.leafs[leaf.ID] = leafEntry{leaf: leaf, warmUpUntil: readAt + leaf.ColdFor, changedSequence: roster.Stamp.Sequence}
	}
	for _, id := range roster.Removed {
		s.remove(id, roster.Stamp.Sequence)
	}
	s.stamp = roster.Stamp
	return true
}

// Stamp returns the stamp of the newest roster, or the zero stamp if there is none.
func (s *RosterStore) Stamp() RosterStamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stamp
}

// Reading returns the stamp of the newest roster and the time since the list was last read with that content.
func (s *RosterStore) Reading() Reading {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Reading{Stamp: s.stamp, Age: s.now() - s.readAt}
}

// Confirm updates the time of the last reading if another instance, which was asked at askedAt, has read the same roster more recently.
// The reply may have waited here while this process was paused, so that the age counts from the question.
func (s *RosterStore) Confirm(reading Reading, askedAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reading.Stamp == s.stamp && s.stamp != (RosterStamp{}) {
		s.readAt = max(s.readAt, askedAt-reading.Age)
	}
}

// LastReadAt returns the time at which any instance last read the list with the content of the newest roster, and reports
// whether there is a roster. The time is negative for a reading from before this instance started.
func (s *RosterStore) LastReadAt() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readAt, s.stamp != RosterStamp{}
}

// ChangesSince returns the changes after the given stamp, a full roster if they are not all known, or nil if there are none.
func (s *RosterStore) ChangesSince(stamp RosterStamp) *Roster {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stamp.IsNewer(stamp) {
		return nil
	}
	since := stamp.Sequence
	if stamp.Term != s.stamp.Term || since < s.oldestSequence {
		since = 0
	}
	return s.rosterSince(since)
}

// FullRoster returns the newest roster in full.
func (s *RosterStore) FullRoster() Roster {
	s.mu.Lock()
	defer s.mu.Unlock()
	roster := *s.rosterSince(0)
	roster.ReadAt = s.readAt
	return roster
}

func (s *RosterStore) rosterSince(since uint64) *Roster {
	now := s.now()
	roster := &Roster{Stamp: s.stamp, Since: since}
	for _, entry := range s.leafs {
		if since != 0 && entry.changedSequence <= since {
			continue
		}
		leaf := entry.leaf
		leaf.ColdFor = max(0, entry.warmUpUntil-now)
		roster.Leafs = append(roster.Leafs, leaf)
	}
	sort.Slice(roster.Leafs, func(i, j int) bool { return roster.Leafs[i].ID < roster.Leafs[j].ID })
	if since == 0 {
		return roster
	}
	for _, entry := range s.removed {
		if _, isListed := s.leafs[entry.id]; entry.sequence > since && !isListed {
			roster.Removed = append(roster.Removed, entry.id)
		}
	}
	return roster
}

// replace replaces the list and reports whether a leaf was added or changed. It does not report removals.
func (s *RosterStore) replace(leafs []RosterLeaf, sequence uint64, readAt time.Duration) bool {
	changed := false
	listed := make(map[string]bool, len(leafs))
	for _, leaf := range leafs {
		listed[leaf.ID] = true
		entry := leafEntry{leaf: leaf, warmUpUntil: readAt + leaf.ColdFor, changedSequence: sequence}
		if old, known := s.leafs[leaf.ID]; known && old.equals(entry, readAt) {
			continue
		}
		s.leafs[leaf.ID] = entry
		changed = true
	}
	for id := range s.leafs {
		if !listed[id] {
			s.remove(id, sequence)
		}
	}
	return changed
}

func (s *RosterStore) remove(id string, sequence uint64) {
	delete(s.leafs, id)
	s.removed = append(s.removed, removal{id: id, sequence: sequence})
	if len(s.removed) > maxRemovals {
		s.oldestSequence = s.removed[0].sequence + 1
		s.removed = s.removed[1:]
	}
}

// equals reports whether two readings of a leaf agree. The ends of their warm-ups may differ by up to warmUpTolerance, and
// by any amount if both lie before now.
func (e leafEntry) equals(other leafEntry, now time.Duration) bool {
	if (max(now, e.warmUpUntil) - max(now, other.warmUpUntil)).Abs() > warmUpTolerance {
		return false
	}
	before, after := e.leaf, other.leaf
	before.ColdFor, after.ColdFor = 0, 0
	return before == after
}
