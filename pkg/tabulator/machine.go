// Machine applies commands in log order. It is deterministic: it uses neither
// the clock nor randomness, so control instances that have applied the same log
// hold the same state.

package tabulator

import (
	"fmt"
	"sort"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	maxResults  = 20_000
	maxHistory  = 20_000
	maxRemovals = 4_096
)

type (
	// DataCentre is the state of one data centre.
	DataCentre struct {
		Name     string `json:"name"`
		State    State  `json:"state"`
		Revision uint64 `json:"revision"`
	}

	// HistoryEntry records an accepted or refused change by an operator.
	HistoryEntry struct {
		Revision uint64  `json:"revision"`
		ChangeID string  `json:"change-id"`
		Operator string  `json:"operator"`
		Verdict  Verdict `json:"verdict"`
		What     string  `json:"what"`
		// Rollout is the service of the roll-out that the entry belongs to, or empty.
		Rollout string `json:"rollout,omitempty"`
	}

	// Machine is the state machine of the replicated log.
	Machine struct {
		state    machineState
		checksum uint64
	}

	// machineState is the content of a snapshot.
	machineState struct {
		Revision      uint64
		TableRevision uint64
		Epoch         uint64
		Rows          map[string]RowFields
		DataCentres   map[string]DataCentre
		Document      Document
		Members       map[string]MemberFields
		Removals      []Removal
		TrimmedAt     uint64
		Results       map[string]Result
		ResultOrder   []string
		Authors       map[string]author
		History       []HistoryEntry
		Rollouts      map[string]Rollout
	}

	author struct {
		Operator string
		ChangeID string
	}
)

// NewMachine returns a state machine to which no command has been applied.
func NewMachine() *Machine {
	return &Machine{state: machineState{
		Rows:        map[string]RowFields{},
		DataCentres: map[string]DataCentre{},
		Members:     map[string]MemberFields{},
		Results:     map[string]Result{},
		Authors:     map[string]author{},
		Rollouts:    map[string]Rollout{},
	}}
}

// Restore returns the state machine encoded in a snapshot, or an error if data is malformed.
func Restore(data []byte) (*Machine, error) {
	machine := NewMachine()
	if err := msgpack.Unmarshal(data, &machine.state); err != nil {
		return nil, errors.Wrap(err, "restore snapshot of the table")
	}
	machine.checksum = machine.computeChecksum()
	return machine, nil
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	data, err := msgpack.Marshal(&m.state)
	return data, errors.Wrap(err, "encode snapshot of the table")
}

// Revision returns the revision of the state, which counts the commands that changed it.
func (m *Machine) Revision() uint64 { return m.state.Revision }

// TableRevision returns the revision of the last change to a row, a data centre or the routing document.
func (m *Machine) TableRevision() uint64 { return m.state.TableRevision }

// History returns the recorded changes by operators, oldest first.
func (m *Machine) History() []HistoryEntry { return m.state.History }

// Members returns the members, sorted by instance.
func (m *Machine) Members() []MemberFields {
	members := make([]MemberFields, 0, len(m.state.Members))
	for _, member := range m.state.Members {
		members = append(members, member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Instance < members[j].Instance })
	return members
}

// MembersUnordered returns the members by instance name without copying or sorting them; the map must not be changed.
func (m *Machine) MembersUnordered() map[string]MemberFields { return m.state.Members }

// Member returns the member with the given instance name.
func (m *Machine) Member(instance string) (MemberFields, bool) {
	member, ok := m.state.Members[instance]
	return member, ok
}

// Lookup returns the recorded result of the change with the given id, marked as repeated.
func (m *Machine) Lookup(changeID string) (Result, bool) {
	result, ok := m.state.Results[changeID]
	result.Repeated = ok
	return result, ok
}

// Apply applies a command and returns its result.
func (m *Machine) Apply(command Command) Result {
	switch c := command.(type) {
	case ChangeRows:
		return m.applyOnce(c.ChangeID, func() Result { return m.changeRows(c) })
	case SetDataCentre:
		if c.Unconditional {
			return m.forceDataCentre(c)
		}
		return m.applyOnce(c.ChangeID, func() Result { return m.setDataCentre(c) })
	case Join:
		return m.join(c.Member)
	case Drain:
		return m.drain(c)
	case Remove:
		return m.remove(c)
	case PutDocument:
		return m.putDocument(c)
	case StartRollout:
		return m.startRollout(c)
	case AdvanceRollout:
		return m.advanceRollout(c)
	}
	return Result{Verdict: VerdictInvalid, Faults: []string{"unknown command"}}
}

// applyOnce makes retries idempotent: a change whose id is still recorded gets the recorded result.
func (m *Machine) applyOnce(changeID string, apply func() Result) Result {
	if result, ok := m.Lookup(changeID); ok {
		return result
	}
	result := apply()
	m.state.Results[changeID] = result
	m.state.ResultOrder = append(m.state.ResultOrder, changeID)
	if len(m.state.ResultOrder) > maxResults {
		delete(m.state.Results, m.state.ResultOrder[0])
		m.state.ResultOrder = m.state.ResultOrder[1:]
	}
	return result
}

func (m *Machine) changeRows(c ChangeRows) Result {
	if faults := checkRows(c.Rows); len(faults) > 0 {
		return m.reject(c.ChangeID, c.Operator, Result{Verdict: VerdictInvalid, Faults: faults})
	}
	var conflicts []Conflict
	for _, row := range c.Rows {
		current := m.state.Rows[row.key().String()]
		if current.Revision != row.Revision {
			conflicts = append(conflicts, m.newConflict(row.key().String(), row.Revision, current.Revision, describeRow(current)))
		}
	}
	if len(conflicts) > 0 {
		return m.reject(c.ChangeID, c.Operator, Result{Verdict: VerdictConflict, Conflicts: conflicts})
	}
	revision := m.advanceTableRevision()
	for _, row := range c.Rows {
		row.Revision = revision
		m.putRow(row)
		m.state.Authors[row.key().String()] = author{Operator: c.Operator, ChangeID: c.ChangeID}
	}
	m.appendHistory(c.ChangeID, c.Operator, VerdictAccepted, fmt.Sprintf("%d rows", len(c.Rows)))
	return Result{Verdict: VerdictAccepted, Revision: revision}
}

func (m *Machine) setDataCentre(c SetDataCentre) Result {
	if err := checkState(c.State); err != nil {
		return m.reject(c.ChangeID, c.Operator, Result{Verdict: VerdictInvalid, Faults: []string{err.Error()}})
	}
	if err := checkName(c.Name); err != nil {
		return m.reject(c.ChangeID, c.Operator, Result{Verdict: VerdictInvalid, Faults: []string{err.Error()}})
	}
	current := m.state.DataCentres[c.Name]
	if current.Revision != c.Base {
		conflict := m.newConflict(c.Name, c.Base, current.Revision, string(current.State))
		return m.reject(c.ChangeID, c.Operator, Result{Verdict: VerdictConflict, Conflicts: []Conflict{conflict}})
	}
	revision := m.advanceTableRevision()
	m.putDataCentre(DataCentre{Name: c.Name, State: c.State, Revision: revision})
	m.state.Authors[c.Name] = author{Operator: c.Operator, ChangeID: c.ChangeID}
	m.appendHistory(c.ChangeID, c.Operator, VerdictAccepted, fmt.Sprintf("data centre %s %s", c.Name, c.State))
	return Result{Verdict: VerdictAccepted, Revision: revision}
}

func (m *Machine) join(member MemberFields) Result {
	current, ok := m.state.Members[member.Instance]
	if ok && current.Incarnation > member.Incarnation {
		return Result{Verdict: VerdictConflict, Revision: m.state.Revision}
	}
	if ok && current.Incarnation == member.Incarnation && current.Via == member.Via {
		return Result{Verdict: VerdictAccepted, Revision: m.state.Revision}
	}
	m.state.Revision++
	member.Revision = m.state.Revision
	member.Joined = m.state.Revision
	if ok && current.Incarnation == member.Incarnation {
		member.Joined = current.Joined
		member.Draining = current.Draining
	} else {
		m.state.Epoch = m.state.Revision
	}
	if ok && current.Incarnation != member.Incarnation {
		m.addRemoval(current, RemovedReplaced)
	}
	m.putMember(member)
	return Result{Verdict: VerdictAccepted, Revision: m.state.Revision}
}

func (m *Machine) drain(c Drain) Result {
	member, ok := m.state.Members[c.Instance]
	if !ok || member.Incarnation != c.Incarnation || member.Draining {
		return Result{Verdict: VerdictAccepted, Revision: m.state.Revision}
	}
	m.state.Revision++
	m.state.Epoch = m.state.Revision
	member.Draining = true
	member.Revision = m.state.Revision
	m.putMember(member)
	return Result{Verdict: VerdictAccepted, Revision: m.state.Revision}
}

func (m *Machine) remove(c Remove) Result {
	member, ok := m.state.Members[c.Instance]
	// The control instance that saw the lease expire must not remove a member that renews through another one.
	hasMoved := c.Via != "" && member.Via != c.Via
	if !ok || member.Incarnation != c.Incarnation || hasMoved {
		return Result{Verdict: VerdictConflict, Revision: m.state.Revision}
	}
	m.state.Revision++
	m.state.Epoch = m.state.Revision
	m.checksum ^= hashMember(member)
	delete(m.state.Members, c.Instance)
	m.addRemoval(member, c.Reason)
	return Result{Verdict: VerdictAccepted, Revision: m.state.Revision}
}

func (m *Machine) addRemoval(member MemberFields, reason RemovalReason) {
	m.state.Removals = append(m.state.Removals, Removal{
		Instance:    member.Instance,
		Incarnation: member.Incarnation,
		Reason:      reason,
		Revision:    m.state.Revision,
	})
	if len(m.state.Removals) > maxRemovals {
		// An incremental delta from before TrimmedAt would miss this removal.
		m.state.TrimmedAt = m.state.Removals[0].Revision
		m.state.Removals = m.state.Removals[1:]
	}
}

func (m *Machine) advanceTableRevision() uint64 {
	m.state.Revision++
	m.state.TableRevision = m.state.Revision
	return m.state.Revision
}

func (m *Machine) reject(changeID, operator string, result Result) Result {
	result.Revision = m.state.Revision
	m.appendHistory(changeID, operator, result.Verdict, "not applied")
	return result
}

func (m *Machine) appendHistory(changeID, operator string, verdict Verdict, what string) {
	m.addHistory(HistoryEntry{Revision: m.state.Revision, ChangeID: changeID, Operator: operator, Verdict: verdict, What: what})
}

func (m *Machine) addHistory(entry HistoryEntry) {
	m.state.History = append(m.state.History, entry)
	if len(m.state.History) > maxHistory {
		m.state.History = m.state.History[1:]
	}
}

func (m *Machine) newConflict(item string, base, currentRevision uint64, currentValue string) Conflict {
	lastAuthor := m.state.Authors[item]
	return Conflict{
		Item: item, Base: base, Current: currentRevision, Operator: lastAuthor.Operator, ChangeID: lastAuthor.ChangeID, Now: currentValue,
	}
}

func checkRows(rows []RowFields) []string {
	var faults []string
	seen := map[Key]bool{}
	for _, fields := range rows {
		if seen[fields.key()] {
			faults = append(faults, fmt.Sprintf("row %s: named twice", fields.key()))
		}
		seen[fields.key()] = true
		for _, fault := range checkFields(fields) {
			faults = append(faults, fault.Error())
		}
	}
	if len(rows) == 0 {
		faults = append(faults, "the change names no row")
	}
	return faults
}

func describeRow(row RowFields) string {
	if row.Revision == 0 {
		return "no such row"
	}
	return fmt.Sprintf("weight %d, slots %d, connections %d, deadline-ms %d, min-coverage %g, hedge-percent %g, state %s",
		row.Weight, row.Slots, row.Connections, row.DeadlineMs, row.MinCoverage, row.HedgePercent, row.State)
}
