// Operators replace the routing document as a whole. The highest version is in
// force, and the body is stored byte for byte so that it can be read back
// unchanged.

package tabulator

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Document is a version of the routing document; version 0 means that there is none.
type Document struct {
	Version  uint64
	Revision uint64
	Body     []byte
}

// Document returns the routing document in force.
func (m *Machine) Document() Document { return m.state.Document }

// Document returns the routing document in force.
func (v *View) Document() Document { return v.document }

// putDocument accepts the current or an older version without applying it, so that a retried change is accepted too.
func (m *Machine) putDocument(c PutDocument) Result {
	if c.Version <= m.state.Document.Version {
		return Result{Verdict: VerdictAccepted, Revision: m.state.Revision, Repeated: true}
	}
	revision := m.advanceTableRevision()
	m.checksum ^= hashDocument(m.state.Document)
	m.state.Document = Document{Version: c.Version, Revision: revision, Body: c.Body}
	m.checksum ^= hashDocument(m.state.Document)
	m.appendHistory("", "", VerdictAccepted, fmt.Sprintf("routing document %d", c.Version))
	return Result{Verdict: VerdictAccepted, Revision: revision}
}

// DataCentre returns the state of a data centre, which is in service at revision 0 if no command has set it.
func (m *Machine) DataCentre(name string) DataCentre {
	if known, ok := m.state.DataCentres[name]; ok {
		return known
	}
	return DataCentre{Name: name, State: StateIn}
}

// forceDataCentre sets the state of a data centre without checking the base revision. Setting the current state changes nothing.
func (m *Machine) forceDataCentre(c SetDataCentre) Result {
	if err := checkState(c.State); err != nil {
		return Result{Verdict: VerdictInvalid, Faults: []string{err.Error()}}
	}
	if err := checkName(c.Name); err != nil {
		return Result{Verdict: VerdictInvalid, Faults: []string{err.Error()}}
	}
	current, known := m.state.DataCentres[c.Name]
	if current.State == c.State || !known && c.State == StateIn {
		return Result{Verdict: VerdictAccepted, Revision: m.state.Revision, Repeated: true}
	}
	revision := m.advanceTableRevision()
	m.putDataCentre(DataCentre{Name: c.Name, State: c.State, Revision: revision})
	m.appendHistory(c.ChangeID, c.Operator, VerdictAccepted, fmt.Sprintf("data centre %s %s", c.Name, c.State))
	return Result{Verdict: VerdictAccepted, Revision: revision}
}

func (v *View) putDocument(document Document) {
	v.checksum ^= hashDocument(v.document) ^ hashDocument(document)
	v.document = document
}

func hashDocument(document Document) uint64 {
	if document.Version == 0 {
		return 0
	}
	return xxhash.Sum64(document.Body) ^ document.Version ^ document.Revision<<32
}
