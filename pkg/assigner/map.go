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

	assigned struct {
		leaf  Leaf
		index int
	}
)

const nobody = -1

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

// Next returns the assignment for a later view and keeps what the change of members does not touch.
func (m *Map) Next(view *tabulator.View) *Map {
	if view.Epoch() == m.epoch {
		return m
	}
	next := NewMap(view)
	if !m.keepsOrder(next) {
		return next
	}
	for id, old := range m.owners {
		next.owners[id] = old
	}
	return next
}

// Epoch returns the epoch of the membership behind the map.
func (m *Map) Epoch() uint64 { return m.epoch }

// Owner returns the member that owns the leaf, and false where there is none.
func (m *Map) Owner(leaf Leaf) (tabulator.Member, bool) {
	known, ok := m.owners[leaf.id]
	if !ok {
		known = assigned{leaf: leaf, index: m.best(leaf, func(c candidate) bool { return !c.member.Draining() })}
		m.owners[leaf.id] = known
	}
	if known.index == nobody {
		return tabulator.Member{}, false
	}
	return m.members[known.index].member, true
}

// Former returns the member other than self that most likely owned the leaf before self did.
func (m *Map) Former(leaf Leaf, self tabulator.MemberID) (tabulator.Member, bool) {
	index := m.best(leaf, func(c candidate) bool { return c.member.ID() != self })
	if index == nobody {
		return tabulator.Member{}, false
	}
	return m.members[index].member, true
}

func (m *Map) best(leaf Leaf, allowed func(candidate) bool) int {
	seed := xxhash.Sum64String(string(leaf.id))
	near, far := nobody, nobody
	var nearScore, farScore uint64
	for i, c := range m.members {
		if !allowed(c) {
			continue
		}
		score := mix(c.seed ^ seed)
		if c.member.DataCentre() == leaf.dataCentre {
			if near == nobody || score > nearScore {
				near, nearScore = i, score
			}
			continue
		}
		if far == nobody || score > farScore {
			far, farScore = i, score
		}
	}
	if near != nobody {
		return near
	}
	return far
}

func (m *Map) keepsOrder(next *Map) bool {
	if len(m.members) != len(next.members) {
		return false
	}
	for i, c := range m.members {
		other := next.members[i].member
		same := c.member.Instance() == other.Instance() && c.member.Draining() == other.Draining()
		if !same || c.member.DataCentre() != other.DataCentre() {
			return false
		}
	}
	return true
}

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
