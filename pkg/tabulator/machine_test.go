package tabulator

import (
	"reflect"
	"testing"
)

func validRow(service, dataCentre string) RowFields {
	return RowFields{
		Service: service, DataCentre: dataCentre, Weight: 100, Slots: 2, Connections: 25, DeadlineMs: 52,
		MinCoverage: 0.95, HedgePercent: 4, State: StateIn,
	}
}

func TestChangeRows(t *testing.T) {
	first := ChangeRows{ChangeID: "c1", Operator: "a", Rows: []RowFields{validRow("s", "d")}}
	second := ChangeRows{ChangeID: "c2", Operator: "b", Rows: []RowFields{validRow("s", "d")}}
	invalid := ChangeRows{ChangeID: "c3", Operator: "b", Rows: []RowFields{{Service: "s", DataCentre: "d", Slots: -1, State: "x"}}}
	tests := []struct {
		name    string
		changes []ChangeRows
		want    []Verdict
	}{
		{"accepted", []ChangeRows{first}, []Verdict{VerdictAccepted}},
		{"concurrent change of the same revision", []ChangeRows{first, second}, []Verdict{VerdictAccepted, VerdictConflict}},
		{"retried", []ChangeRows{first, first}, []Verdict{VerdictAccepted, VerdictAccepted}},
		{"retried after a conflict", []ChangeRows{first, second, second}, []Verdict{VerdictAccepted, VerdictConflict, VerdictConflict}},
		{"invalid cells", []ChangeRows{invalid}, []Verdict{VerdictInvalid}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			machine := NewMachine()
			for i, change := range test.changes {
				if got := machine.Apply(change).Verdict; got != test.want[i] {
					t.Errorf("change %d: got verdict %s, want %s", i, got, test.want[i])
				}
			}
		})
	}
}

func TestConflictNamesTheConflictingChange(t *testing.T) {
	machine := NewMachine()
	machine.Apply(ChangeRows{ChangeID: "c1", Operator: "bold", Rows: []RowFields{validRow("s", "d")}})
	result := machine.Apply(ChangeRows{ChangeID: "c2", Operator: "saran", Rows: []RowFields{validRow("s", "d")}})
	if len(result.Conflicts) != 1 || result.Conflicts[0].Operator != "bold" || result.Conflicts[0].ChangeID != "c1" {
		t.Fatalf("got conflicts %+v, want one with change c1 of operator bold", result.Conflicts)
	}
}

func TestRetriedChangeIsRecognizedAfterRestore(t *testing.T) {
	machine := NewMachine()
	change := ChangeRows{ChangeID: "c1", Operator: "a", Rows: []RowFields{validRow("s", "d")}}
	first := machine.Apply(change)
	data, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	retried := restored.Apply(change)
	if !retried.Repeated || retried.Revision != first.Revision || restored.Revision() != machine.Revision() {
		t.Fatalf("retry: got %+v at revision %d, want repeated %+v at revision %d",
			retried, restored.Revision(), first, machine.Revision())
	}
}

func TestChangeWithInvalidCellIsNotApplied(t *testing.T) {
	machine := NewMachine()
	valid, invalid := validRow("s", "d1"), validRow("s", "d2")
	invalid.Slots = 0
	machine.Apply(ChangeRows{ChangeID: "c1", Rows: []RowFields{valid, invalid}})
	if machine.Revision() != 0 || len(machine.Delta(0).Rows) != 0 {
		t.Fatalf("got revision %d with %d rows, want revision 0 without rows", machine.Revision(), len(machine.Delta(0).Rows))
	}
}

func TestIncrementalDeltaMatchesFullDelta(t *testing.T) {
	machine := NewMachine()
	view := NewView()
	steps := []Command{
		Join{Member: MemberFields{Instance: "e1", Incarnation: 1, DataCentre: "d", Via: "c1"}},
		ChangeRows{ChangeID: "c1", Rows: []RowFields{validRow("s", "d"), validRow("s", "d2")}},
		Join{Member: MemberFields{Instance: "e2", Incarnation: 5, DataCentre: "d", Via: "c1"}},
		SetDataCentre{ChangeID: "c2", Name: "d", State: StateOut},
		Join{Member: MemberFields{Instance: "e1", Incarnation: 2, DataCentre: "d", Via: "c2"}},
		Drain{Instance: "e2", Incarnation: 5},
		Remove{Instance: "e2", Incarnation: 5, Reason: RemovedLeft},
	}
	for i, step := range steps {
		machine.Apply(step)
		next, err := view.Apply(machine.Delta(view.Revision()))
		if err != nil {
			t.Fatalf("step %d: %v", i, err)
		}
		full, err := NewView().Apply(machine.Delta(0))
		if err != nil {
			t.Fatalf("step %d: full delta: %v", i, err)
		}
		if !reflect.DeepEqual(next.Rows(), full.Rows()) || !reflect.DeepEqual(next.Members(), full.Members()) {
			t.Fatalf("step %d: got rows %+v and members %+v, want %+v and %+v",
				i, next.Rows(), next.Members(), full.Rows(), full.Members())
		}
		view = next
	}
}

func TestViewRejectsOlderRevision(t *testing.T) {
	machine := NewMachine()
	machine.Apply(SetDataCentre{ChangeID: "c1", Name: "d", State: StateOut})
	outdated := machine.Delta(0)
	machine.Apply(SetDataCentre{ChangeID: "c2", Name: "d2", State: StateOut})
	view, err := NewView().Apply(machine.Delta(0))
	if err != nil {
		t.Fatal(err)
	}
	for _, current := range []*View{view, view.ForResync()} {
		if _, err := current.Apply(outdated); err == nil {
			t.Errorf("view at revision %d: applied a delta to revision %d, want an error", current.Revision(), outdated.To)
		}
	}
}

func TestDeltaWithWrongChecksumIsRejected(t *testing.T) {
	machine := NewMachine()
	machine.Apply(ChangeRows{ChangeID: "c1", Rows: []RowFields{validRow("s", "d")}})
	delta := machine.Delta(0)
	delta.Rows[0].Slots = 9
	if _, err := NewView().Apply(delta); err == nil {
		t.Fatal("applied a delta with a modified cell, want a checksum error")
	}
}

func TestRemoveByFormerControlInstanceIsRejected(t *testing.T) {
	machine := NewMachine()
	machine.Apply(Join{Member: MemberFields{Instance: "e1", Incarnation: 1, Via: "c1"}})
	machine.Apply(Join{Member: MemberFields{Instance: "e1", Incarnation: 1, Via: "c2"}})
	machine.Apply(Remove{Instance: "e1", Incarnation: 1, Via: "c1", Reason: RemovedExpired})
	if _, ok := machine.Member("e1"); !ok {
		t.Fatal("member e1 was removed through control instance c1, want it kept because c2 serves its lease")
	}
}
