package coordinator

import (
	"fmt"
	"testing"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/tabulator"
)

func viewOf(t *testing.T, commands ...tabulator.Command) *tabulator.View {
	t.Helper()
	machine := tabulator.NewMachine()
	for i, command := range commands {
		if result := machine.Apply(command); result.Verdict != tabulator.VerdictAccepted {
			t.Fatalf("command %d: %+v", i, result)
		}
	}
	view, err := tabulator.NewView().Apply(machine.Delta(0))
	if err != nil {
		t.Fatal(err)
	}
	return view
}

func rows(dataCentres ...string) tabulator.Command {
	change := tabulator.ChangeRows{ChangeID: "rows"}
	for _, dataCentre := range dataCentres {
		change.Rows = append(change.Rows, tabulator.RowFields{
			Service: "s", DataCentre: dataCentre, Weight: 1, Slots: 2, Connections: 5, DeadlineMs: 50, State: tabulator.StateIn,
		})
	}
	return change
}

// catalogueOf has one leaf per data centre and shard, each holding the given versions out of two shards.
func catalogueOf(versions map[string][]uint64, dataCentres ...string) *Catalogue {
	c := NewCatalogue()
	var records []LeafRecord
	for _, dataCentre := range dataCentres {
		for shard := range 2 {
			records = append(records, LeafRecord{ID: leafID(dataCentre, shard), Service: "s", DataCentre: dataCentre, Address: "x"})
		}
	}
	c.SetRoster(records)
	for _, dataCentre := range dataCentres {
		for shard := range 2 {
			var holdings []Holding
			for _, number := range versions[dataCentre] {
				holdings = append(holdings, Holding{Version: Version{Index: "i", Number: number}, Shard: shard, Shards: 2})
			}
			c.Learn(leafID(dataCentre, shard), holdings)
		}
	}
	return c
}

func leafID(dataCentre string, shard int) assigner.LeafID {
	return assigner.LeafID(fmt.Sprintf("s-%s-%d", dataCentre, shard))
}

func TestPin(t *testing.T) {
	tests := []struct {
		name     string
		versions map[string][]uint64
		commands []tabulator.Command
		version  uint64
		replicas int
		ok       bool
	}{
		{"newest that is whole", map[string][]uint64{"a": {7, 8}, "b": {7}}, []tabulator.Command{rows("a", "b")}, 8, 1, true},
		{"both hold it", map[string][]uint64{"a": {7}, "b": {7}}, []tabulator.Command{rows("a", "b")}, 7, 2, true},
		{
			"newest only where it is taken out",
			map[string][]uint64{"a": {8}, "b": {7}},
			[]tabulator.Command{rows("a", "b"), tabulator.SetDataCentre{ChangeID: "out", Name: "a", State: tabulator.StateOut}},
			7, 1, true,
		},
		{"no row", map[string][]uint64{"a": {7}}, []tabulator.Command{rows("b")}, 7, 0, true},
		{"nothing known", nil, []tabulator.Command{rows("a", "b")}, 0, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := catalogueOf(test.versions, "a", "b")
			plan, ok := c.Pin([]string{"s"}, viewOf(t, test.commands...))
			if ok != test.ok || plan.Version.Number != test.version {
				t.Fatalf("version %d, known %t; want %d, %t", plan.Version.Number, ok, test.version, test.ok)
			}
			if ok && (len(plan.Shards) != 2 || len(plan.Shards[0].Candidates) != test.replicas) {
				t.Fatalf("plan %+v", plan)
			}
		})
	}
}

func TestCoverageCountsTheVersionsShards(t *testing.T) {
	c := catalogueOf(map[string][]uint64{"a": {7}}, "a")
	c.Learn(leafID("a", 1), nil)
	c.Unlearn(leafID("a", 1), Version{Index: "i", Number: 7})
	plan, ok := c.Pin([]string{"s"}, viewOf(t, rows("a")))
	if !ok || len(plan.Shards) != 2 || len(plan.Shards[1].Candidates) != 0 {
		t.Fatalf("a shard that nobody holds is not counted: %+v", plan)
	}
}

func TestLeavingLeafIsNotAsked(t *testing.T) {
	c := catalogueOf(map[string][]uint64{"a": {7}, "b": {7}}, "a", "b")
	c.SetRoster([]LeafRecord{
		{ID: leafID("a", 0), Service: "s", DataCentre: "a", Leaving: true}, {ID: leafID("b", 0), Service: "s", DataCentre: "b"},
	})
	plan, _ := c.Pin([]string{"s"}, viewOf(t, rows("a", "b")))
	if got := plan.Shards[0].Candidates; len(got) != 1 || got[0] != leafID("b", 0) {
		t.Fatalf("candidates %v", got)
	}
}
