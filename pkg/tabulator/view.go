// Entry instances act on a View. Control instances send the changes since the
// revision of that view as a Delta. Its checksum covers the resulting view, so
// that an incorrect delta is detected.

package tabulator

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

type (
	// Delta holds the changes from one revision to another, or the full state if From is 0.
	Delta struct {
		From          uint64
		To            uint64
		TableRevision uint64
		Epoch         uint64
		Rows          []RowFields
		DataCentres   []DataCentre
		Document      *Document
		Members       []MemberFields
		Removals      []Removal
		// Rollouts are not part of the checksum, because builds before roll-outs do not know them.
		Rollouts []Rollout
		Checksum uint64
	}

	// View is an immutable snapshot of the table and the membership.
	View struct {
		revision      uint64
		tableRevision uint64
		epoch         uint64
		rows          map[Key]Row
		dataCentres   map[string]DataCentre
		members       map[string]Member
		document      Document
		rollouts      map[string]Rollout
		checksum      uint64
		minRevision   uint64 // lowest revision that Apply accepts
	}
)

// NewView returns an empty view at revision 0.
func NewView() *View {
	return &View{rows: map[Key]Row{}, dataCentres: map[string]DataCentre{}, members: map[string]Member{}, rollouts: map[string]Rollout{}}
}

// Delta returns the changes after revision since, or the full state if since is not a known revision or removals after it are
// no longer recorded.
func (m *Machine) Delta(since uint64) Delta {
	delta := Delta{
		From: since, To: m.state.Revision, TableRevision: m.state.TableRevision, Epoch: m.state.Epoch, Checksum: m.checksum,
	}
	if since < m.state.TrimmedAt || since > m.state.Revision {
		delta.From = 0
	}
	if delta.From == delta.To {
		return delta
	}
	for _, row := range m.state.Rows {
		if row.Revision > delta.From {
			delta.Rows = append(delta.Rows, row)
		}
	}
	for _, centre := range m.state.DataCentres {
		if centre.Revision > delta.From {
			delta.DataCentres = append(delta.DataCentres, centre)
		}
	}
	if document := m.state.Document; document.Revision > delta.From {
		delta.Document = &document
	}
	for _, member := range m.state.Members {
		if member.Revision > delta.From {
			delta.Members = append(delta.Members, member)
		}
	}
	for _, rollout := range m.state.Rollouts {
		if rollout.Revision > delta.From {
			delta.Rollouts = append(delta.Rollouts, rollout)
		}
	}
	if delta.From > 0 {
		first := sort.Search(len(m.state.Removals), func(i int) bool { return m.state.Removals[i].Revision > delta.From })
		delta.Removals = append(delta.Removals, m.state.Removals[first:]...)
	}
	return delta
}

// Apply returns the view that results from a delta, or an error if the delta has another base revision, is outdated or does not
// match its checksum.
func (v *View) Apply(delta Delta) (*View, error) {
	if delta.From != 0 && delta.From != v.revision {
		return nil, errors.Errorf("apply delta: it starts at revision %d, the view is at %d", delta.From, v.revision)
	}
	if minRevision := max(v.revision, v.minRevision); delta.To < minRevision {
		return nil, errors.Errorf("apply delta: revision %d is older than %d", delta.To, minRevision)
	}
	if delta.From == delta.To && delta.To == v.revision {
		return v, nil
	}
	next := v.baseFor(delta)
	next.applyRemovals(delta.Removals)
	for _, fields := range delta.Rows {
		next.putRow(fields)
	}
	for _, centre := range delta.DataCentres {
		next.putDataCentre(centre)
	}
	if delta.Document != nil {
		next.putDocument(*delta.Document)
	}
	for _, fields := range delta.Members {
		next.putMember(fields)
	}
	for _, rollout := range delta.Rollouts {
		next.rollouts[rollout.Service] = rollout
	}
	if next.checksum != delta.Checksum {
		return nil, errors.Errorf("apply delta: checksum %x, expected %x", next.checksum, delta.Checksum)
	}
	return next, nil
}

// ForResync returns a copy of the view with revision 0, so that the next delta is a full one; older revisions stay refused.
func (v *View) ForResync() *View {
	unsynced := *v
	unsynced.minRevision = max(v.minRevision, v.revision)
	unsynced.revision = 0
	return &unsynced
}

// Revision returns the revision of the view, or 0 if the next delta must be a full one.
func (v *View) Revision() uint64 { return v.revision }

// TableRevision returns the revision of the last change to a row, a data centre or the routing document.
func (v *View) TableRevision() uint64 { return v.tableRevision }

// Epoch returns the revision at which a member last joined, started draining or was removed.
func (v *View) Epoch() uint64 { return v.epoch }

// Row returns the row of a service in a data centre.
func (v *View) Row(key Key) (Row, bool) {
	row, ok := v.rows[key]
	return row, ok
}

// Rows returns all rows, sorted by service and data centre.
func (v *View) Rows() []Row {
	rows := make([]Row, 0, len(v.rows))
	for _, row := range v.rows {
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key().String() < rows[j].Key().String() })
	return rows
}

// DataCentre returns the state of a data centre, which is StateIn by default.
func (v *View) DataCentre(name string) DataCentre {
	if centre, ok := v.dataCentres[name]; ok {
		return centre
	}
	return DataCentre{Name: name, State: StateIn}
}

// DataCentres returns the data centres that occur in rows, members or state changes, sorted by name.
func (v *View) DataCentres() []DataCentre {
	names := map[string]bool{}
	for name := range v.dataCentres {
		names[name] = true
	}
	for key := range v.rows {
		names[key.DataCentre] = true
	}
	for _, member := range v.members {
		names[member.DataCentre()] = true
	}
	centres := make([]DataCentre, 0, len(names))
	for name := range names {
		centres = append(centres, v.DataCentre(name))
	}
	sort.Slice(centres, func(i, j int) bool { return centres[i].Name < centres[j].Name })
	return centres
}

// AcceptsRequests returns the row with the given key and reports whether it and its data centre accept new requests.
func (v *View) AcceptsRequests(key Key) (Row, bool) {
	row, ok := v.rows[key]
	if !ok || row.State() != StateIn || row.Weight() == 0 {
		return row, false
	}
	return row, v.DataCentre(key.DataCentre).State == StateIn
}

// Member returns the member with the given instance name.
func (v *View) Member(instance string) (Member, bool) {
	member, ok := v.members[instance]
	return member, ok
}

// Members returns the members, sorted by instance.
func (v *View) Members() []Member {
	members := make([]Member, 0, len(v.members))
	for _, member := range v.members {
		members = append(members, member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Instance() < members[j].Instance() })
	return members
}

// baseFor returns a copy of the view for an incremental delta, or an empty view for a full one.
func (v *View) baseFor(delta Delta) *View {
	next := NewView()
	if delta.From != 0 {
		next.checksum = v.checksum
		next.document = v.document
		for key, row := range v.rows {
			next.rows[key] = row
		}
		for name, centre := range v.dataCentres {
			next.dataCentres[name] = centre
		}
		for name, member := range v.members {
			next.members[name] = member
		}
		for service, rollout := range v.rollouts {
			next.rollouts[service] = rollout
		}
	}
	next.revision = delta.To
	next.tableRevision = delta.TableRevision
	next.epoch = delta.Epoch
	return next
}

func (v *View) applyRemovals(removals []Removal) {
	for _, removal := range removals {
		member, ok := v.members[removal.Instance]
		if ok && member.fields.Incarnation == removal.Incarnation {
			v.checksum ^= hashMember(member.fields)
			delete(v.members, removal.Instance)
		}
	}
}

func (v *View) putRow(fields RowFields) {
	key := fields.key()
	if old, ok := v.rows[key]; ok {
		v.checksum ^= hashRow(old.fields)
	}
	v.checksum ^= hashRow(fields)
	v.rows[key] = Row{fields: fields}
}

func (v *View) putDataCentre(centre DataCentre) {
	if old, ok := v.dataCentres[centre.Name]; ok {
		v.checksum ^= hashDataCentre(old)
	}
	v.checksum ^= hashDataCentre(centre)
	v.dataCentres[centre.Name] = centre
}

func (v *View) putMember(fields MemberFields) {
	if old, ok := v.members[fields.Instance]; ok {
		v.checksum ^= hashMember(old.fields)
	}
	v.checksum ^= hashMember(fields)
	v.members[fields.Instance] = Member{fields: fields}
}

func (m *Machine) putRow(fields RowFields) {
	key := fields.key().String()
	if old, ok := m.state.Rows[key]; ok {
		m.checksum ^= hashRow(old)
	}
	m.checksum ^= hashRow(fields)
	m.state.Rows[key] = fields
}

func (m *Machine) putDataCentre(centre DataCentre) {
	if old, ok := m.state.DataCentres[centre.Name]; ok {
		m.checksum ^= hashDataCentre(old)
	}
	m.checksum ^= hashDataCentre(centre)
	m.state.DataCentres[centre.Name] = centre
}

func (m *Machine) putMember(fields MemberFields) {
	if old, ok := m.state.Members[fields.Instance]; ok {
		m.checksum ^= hashMember(old)
	}
	m.checksum ^= hashMember(fields)
	m.state.Members[fields.Instance] = fields
}

func (m *Machine) computeChecksum() uint64 {
	var sum uint64
	for _, row := range m.state.Rows {
		sum ^= hashRow(row)
	}
	for _, centre := range m.state.DataCentres {
		sum ^= hashDataCentre(centre)
	}
	for _, member := range m.state.Members {
		sum ^= hashMember(member)
	}
	sum ^= hashDocument(m.state.Document)
	return sum
}

func hashRow(row RowFields) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("row %+v", row))
}

func hashDataCentre(centre DataCentre) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("data-centre %+v", centre))
}

func hashMember(member MemberFields) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("member %+v", member))
}
