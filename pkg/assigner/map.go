// A map assigns each leaf to one of the members of an epoch by rendezvous
// hashing. Members in the data centre of the leaf rank above all others, and
// draining members are not assigned any leafs.

package assigner

import (
	"github.com/cespare/xxhash/v2"

	"lovagedeck/pkg/tabulator"
)

type (
	// LeafID identifies a leaf uniquely across all services and data centres.
	LeafID string

	// Leaf holds the properties of a leaf that determine its owner.
	Leaf struct {
		id         LeafID
		dataCentre string
	}

	// Map assigns leafs to the members of one epoch and caches the result; it is not safe for concurrent use.
	Map struct {
		epoch      uint64
		candidates []candidate
		owners     map[LeafID]ownerRecord
	}

	// candidate is a member with the hash of its instance name.
	candidate struct {
		member tabulator.Member
		hash   uint64
	}

	// ownerRecord is the owner of a leaf and the rank by which it was selected.
	ownerRecord struct {
		leaf     Leaf
		owner    candidate
		rank     rank
		hasOwner bool
	}

	// rank orders the candidates for one leaf by locality, then by score.
	rank struct {
		isLocal bool
		score   uint64
	}
)

// NewLeaf returns the leaf with the given identifier in the given data centre.
func NewLeaf(id LeafID, dataCentre string) Leaf {
	return Leaf{id: id, dataCentre: dataCentre}
}

// ID returns the identifier of the leaf.
func (l Leaf) ID() LeafID { return l.id }

// DataCentre returns the data centre of the leaf.
func (l Leaf) DataCentre() string { return l.dataCentre }

// NewMap returns a map for the membership in view.
func NewMap(view *tabulator.View) *Map {
	members := view.Members()
	candidates := make([]candidate, 0, len(members))
	for _, member := range members {
		candidates = append(candidates, candidate{member: member, hash: xxhash.Sum64String(member.Instance())})
	}
	return &Map{epoch: view.Epoch(), candidates: candidates, owners: map[LeafID]ownerRecord{}}
}

// Next returns a map for a later view. It reuses the cached owners: a leaf changes its owner only if that member has left
// or is draining, or if a new member ranks higher.
func (m *Map) Next(view *tabulator.View) *Map {
	if view.Epoch() == m.epoch {
		return m
	}
	next := NewMap(view)
	current := eligibleByID(next.candidates)
	previous := eligibleByID(m.candidates)
	var added []candidate
	for id, c := range current {
		if _, ok := previous[id]; !ok {
			added = append(added, c)
		}
	}
	for id, record := range m.owners {
		if owner, ok := current[record.owner.member.ID()]; ok && record.hasOwner {
			record.owner = owner
			next.owners[id] = record.withCandidates(added)
		}
	}
	return next
}

// Epoch returns the epoch of the membership that the map was computed from.
func (m *Map) Epoch() uint64 { return m.epoch }

// Owner returns the member that owns the leaf, or false if no member can own it.
func (m *Map) Owner(leaf Leaf) (tabulator.Member, bool) {
	record, ok := m.owners[leaf.id]
	if !ok {
		record = m.highestRanked(leaf, func(c candidate) bool { return !c.member.IsDraining() })
		m.owners[leaf.id] = record
	}
	return record.owner.member, record.hasOwner
}

// PreviousOwner returns the member that most likely owned the leaf before self: the highest-ranked other member, which may
// be draining. It returns false if there is no other member.
func (m *Map) PreviousOwner(leaf Leaf, self tabulator.MemberID) (tabulator.Member, bool) {
	record := m.highestRanked(leaf, func(c candidate) bool { return c.member.ID() != self })
	return record.owner.member, record.hasOwner
}

func (m *Map) highestRanked(leaf Leaf, isAllowed func(candidate) bool) ownerRecord {
	best := ownerRecord{leaf: leaf}
	leafHash := xxhash.Sum64String(string(leaf.id))
	for _, c := range m.candidates {
		if isAllowed(c) {
			best.consider(c, leafHash)
		}
	}
	return best
}

// withCandidates returns the record updated with the candidates that rank higher than the current owner.
func (r ownerRecord) withCandidates(candidates []candidate) ownerRecord {
	if len(candidates) == 0 {
		return r
	}
	leafHash := xxhash.Sum64String(string(r.leaf.id))
	for _, c := range candidates {
		r.consider(c, leafHash)
	}
	return r
}

func (r *ownerRecord) consider(c candidate, leafHash uint64) {
	candidateRank := rank{isLocal: c.member.DataCentre() == r.leaf.dataCentre, score: mixBits(c.hash ^ leafHash)}
	if r.hasOwner && !r.rank.isBelow(candidateRank) {
		return
	}
	r.owner, r.rank, r.hasOwner = c, candidateRank, true
}

func (r rank) isBelow(other rank) bool {
	if r.isLocal != other.isLocal {
		return other.isLocal
	}
	return r.score < other.score
}

// eligibleByID returns the candidates that may own leafs, which are those that are not draining.
func eligibleByID(candidates []candidate) map[tabulator.MemberID]candidate {
	eligible := make(map[tabulator.MemberID]candidate, len(candidates))
	for _, c := range candidates {
		if !c.member.IsDraining() {
			eligible[c.member.ID()] = c
		}
	}
	return eligible
}

// mixBits is the finalizer of SplitMix64.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
