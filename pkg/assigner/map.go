// A map gives each leaf one owner among the members of an epoch by
// rendezvous hashing. Members in the data centre of the leaf come first, and
// a draining member owns nothing.

package assigner

import (
	"github.com/cespare/xxhash/v2"

	"lovagedeck/pkg/tabulator"
)

type (
	// LeafID names a leaf over all services and data centres.
	LeafID string

	// Leaf is what the assignment depends on.
	Leaf struct {
		id         LeafID
		dataCentre string
	}

	// Map assigns leafs to the members of one epoch; it belongs to one goroutine.
	Map struct {
		epoch   uint64
		members []candidate
		owners  map[LeafID]assigned
	}

	candidate struct {
		member tabulator.Member
		seed   uint64
	}

	// assigned is the owner of a leaf with the rank that made it the owner.
	assigned struct {
		leaf  Leaf
		owner candidate
		rank  rank
		found bool
	}

	// rank orders the candidates for one leaf.
	rank struct {
		near  bool
		score uint64
	}
)

// NewLeaf returns the leaf with the given identifier and data centre.
func NewLeaf(id LeafID, dataCentre string) Leaf {
	return Leaf{id: id, dataCentre: dataCentre}
}

// ID returns the identifier of the leaf.
func (l Leaf) ID() LeafID { return l.id }

// DataCentre returns the data centre of the leaf.
func (l Leaf) DataCentre() string { return l.dataCentre }

// NewMap returns the assignment for the membership in view.
func NewMap(view *tabulator.View) *Map {
	members := view.Members()
	candidates := make([]candidate, 0, len(members))
	for _, member := range members {
		candidates = append(candidates, candidate{member: member, seed: xxhash.Sum64String(member.Instance())})
	}
	return &Map{epoch: view.Epoch(), members: candidates, owners: map[LeafID]assigned{}}
}

// Next returns the assignment for a later view. A leaf keeps its owner unless that one is gone or a new member ranks higher.
func (m *Map) Next(view *tabulator.View) *Map {
	if view.Epoch() == m.epoch {
		return m
	}
	next := NewMap(view)
	present := eligible(next.members)
	before := eligible(m.members)
	var added []candidate
	for id, c := range present {
		if _, ok := before[id]; !ok {
			added = append(added, c)
		}
	}
	for id, known := range m.owners {
		if owner, ok := present[known.owner.member.ID()]; ok && known.found {
			known.owner = owner
			next.owners[id] = known.improve(added)
		}
	}
	return next
}

// Epoch returns the epoch of the membership behind the map.
func (m *Map) Epoch() uint64 { return m.epoch }

// Owner returns the member that owns the leaf, and false where there is none.
func (m *Map) Owner(leaf Leaf) (tabulator.Member, bool) {
	known, ok := m.owners[leaf.id]
	if !ok {
		known = m.best(leaf, func(c candidate) bool { return !c.member.IsDraining() })
		m.owners[leaf.id] = known
	}
	return known.owner.member, known.found
}

// Former returns the member other than self that most likely owned the leaf before self did.
func (m *Map) Former(leaf Leaf, self tabulator.MemberID) (tabulator.Member, bool) {
	known := m.best(leaf, func(c candidate) bool { return c.member.ID() != self })
	return known.owner.member, known.found
}

func (m *Map) best(leaf Leaf, allowed func(candidate) bool) assigned {
	best := assigned{leaf: leaf}
	seed := xxhash.Sum64String(string(leaf.id))
	for _, c := range m.members {
		if allowed(c) {
			best.consider(c, seed)
		}
	}
	return best
}

// improve returns the assignment after more candidates were considered.
func (a assigned) improve(candidates []candidate) assigned {
	if len(candidates) == 0 {
		return a
	}
	seed := xxhash.Sum64String(string(a.leaf.id))
	for _, c := range candidates {
		a.consider(c, seed)
	}
	return a
}

func (a *assigned) consider(c candidate, leafSeed uint64) {
	r := rank{near: c.member.DataCentre() == a.leaf.dataCentre, score: mix(c.seed ^ leafSeed)}
	if a.found && !a.rank.below(r) {
		return
	}
	a.owner, a.rank, a.found = c, r, true
}

func (r rank) below(other rank) bool {
	if r.near != other.near {
		return other.near
	}
	return r.score < other.score
}

// eligible returns the members that may own leafs.
func eligible(members []candidate) map[tabulator.MemberID]candidate {
	found := make(map[tabulator.MemberID]candidate, len(members))
	for _, c := range members {
		if !c.member.IsDraining() {
			found[c.member.ID()] = c
		}
	}
	return found
}

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
