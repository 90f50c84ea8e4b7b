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
	bad := ChangeRows{ChangeID: "c3", Operator: "b", Rows: []RowFields{{Service: "s", DataCentre: "d", Slots: -1, State: "x"}}}
	tests := []struct {
		name    string
		changes []ChangeRows
		want    []Verdict
	}{
		{"accepted", []ChangeRows{first}, []Verdict{VerdictAccepted}},
		{"race on the same revision", []ChangeRows{first, second}, []Verdict{VerdictAccepted, VerdictConflict}},
		{"resent", []ChangeRows{first, first}, []Verdict{VerdictAccepted, VerdictAccepted}},
		{"resent after a conflict", []ChangeRows{first, second, second}, []Verdict{VerdictAccepted, VerdictConflict, VerdictConflict}},
		{"bad cells", []ChangeRows{bad}, []Verdict{VerdictInvalid}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			machine := NewMachine()
			for i, change := range test.changes {
				if got := machine.Apply(change).Verdict; got != test.want[i] {
					t.Errorf("change %d: %s, want %s", i, got, test.want[i])
				}
			}
		})
	}
}

func TestConflictNamesTheWinner(t *testing.T) {
	machine := NewMachine()
	machine.Apply(ChangeRows{ChangeID: "c1", Operator: "bold", Rows: []RowFields{validRow("s", "d")}})
	result := machine.Apply(ChangeRows{ChangeID: "c2", Operator: "saran", Rows: []RowFields{validRow("s", "d")}})
	if len(result.Conflicts) != 1 || result.Conflicts[0].Operator != "bold" || result.Conflicts[0].ChangeID != "c1" {
		t.Fatalf("conflicts %+v do not name bold's change c1", result.Conflicts)
	}
}

func TestResendAfterSnapshot(t *testing.T) {
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
	again := restored.Apply(change)
	if !again.Repeated || again.Revision != first.Revision || restored.Revision() != machine.Revision() {
		t.Fatalf("resend gave %+v, first answer was %+v", again, first)
	}
}

func TestNothingHalfApplied(t *testing.T) {
	machine := NewMachine()
	good, bad := validRow("s", "d1"), validRow("s", "d2")
	bad.Slots = 0
	machine.Apply(ChangeRows{ChangeID: "c1", Rows: []RowFields{good, bad}})
	if machine.Revision() != 0 || len(machine.Delta(0).Rows) != 0 {
		t.Fatal("a change with a bad cell was applied in part")
	}
}

func TestDeltaFollowsTheMachine(t *testing.T) {
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
		whole, err := NewView().Apply(machine.Delta(0))
		if err != nil {
			t.Fatalf("step %d: whole view: %v", i, err)
		}
		if !reflect.DeepEqual(next.Rows(), whole.Rows()) || !reflect.DeepEqual(next.Members(), whole.Members()) {
			t.Fatalf("step %d: the delta and the whole view differ", i)
		}
		view = next
	}
}

func TestViewNeverGoesBack(t *testing.T) {
	machine := NewMachine()
	machine.Apply(SetDataCentre{ChangeID: "c1", Name: "d", State: StateOut})
	old := machine.Delta(0)
	machine.Apply(SetDataCentre{ChangeID: "c2", Name: "d2", State: StateOut})
	view, err := NewView().Apply(machine.Delta(0))
	if err != nil {
		t.Fatal(err)
	}
	for _, from := range []*View{view, view.AskWhole()} {
		if _, err := from.Apply(old); err == nil {
			t.Error("an older view was taken over")
		}
	}
}

func TestWrongDeltaIsNoticed(t *testing.T) {
	machine := NewMachine()
	machine.Apply(ChangeRows{ChangeID: "c1", Rows: []RowFields{validRow("s", "d")}})
	delta := machine.Delta(0)
	delta.Rows[0].Slots = 9
	if _, err := NewView().Apply(delta); err == nil {
		t.Fatal("a delta with a changed cell was taken over")
	}
}

func TestRemoveDependsOnTheServingInstance(t *testing.T) {
	machine := NewMachine()
	machine.Apply(Join{Member: MemberFields{Instance: "e1", Incarnation: 1, Via: "c1"}})
	machine.Apply(Join{Member: MemberFields{Instance: "e1", Incarnation: 1, Via: "c2"}})
	machine.Apply(Remove{Instance: "e1", Incarnation: 1, Via: "c1", Reason: RemovedExpired})
	if _, ok := machine.Member("e1"); !ok {
		t.Fatal("a member that moved to another control instance was removed by the former one")
	}
}
