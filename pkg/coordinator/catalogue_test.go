package coordinator

import (
	"fmt"
	"testing"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/tabulator"
)

func newView(t *testing.T, commands ...tabulator.Command) *tabulator.View {
	t.Helper()
	machine := tabulator.NewMachine()
	for i, command := range commands {
		if result := machine.Apply(command); result.Verdict != tabulator.VerdictAccepted {
			t.Fatalf("command %d: got result %+v, want verdict %q", i, result, tabulator.VerdictAccepted)
		}
	}
	view, err := tabulator.NewView().Apply(machine.Delta(0))
	if err != nil {
		t.Fatal(err)
	}
	return view
}

func addRows(dataCentres ...string) tabulator.Command {
	change := tabulator.ChangeRows{ChangeID: "rows"}
	for _, dataCentre := range dataCentres {
		change.Rows = append(change.Rows, tabulator.RowFields{
			Service: "s", DataCentre: dataCentre, Weight: 1, Slots: 2, Connections: 5, DeadlineMs: 50, State: tabulator.StateIn,
		})
	}
	return change
}

// newCatalogue returns a catalogue with one leaf per data centre and shard. Each leaf holds its shard, one of two, of the
// versions given for its data centre.
func newCatalogue(versions map[string][]uint64, dataCentres ...string) *Catalogue {
	c := NewCatalogue()
	var records []LeafRecord
	for _, dataCentre := range dataCentres {
		for shard := range 2 {
			records = append(records, LeafRecord{ID: leafID(dataCentre, shard), Service: "s", DataCentre: dataCentre, Address: "x"})
		}
	}
	c.SetLeafs(records)
	for _, dataCentre := range dataCentres {
		for shard := range 2 {
			var holdings []Holding
			for _, number := range versions[dataCentre] {
				holdings = append(holdings, Holding{Version: Version{Index: "i", Number: number}, Shard: shard, Shards: 2})
			}
			c.SetHoldings(leafID(dataCentre, shard), holdings)
		}
	}
	return c
}

func leafID(dataCentre string, shard int) assigner.LeafID {
	return assigner.LeafID(fmt.Sprintf("s-%s-%d", dataCentre, shard))
}

func TestPlanQuerySelectsVersion(t *testing.T) {
	tests := []struct {
		name         string
		versions     map[string][]uint64
		commands     []tabulator.Command
		wantVersion  uint64
		wantReplicas int
		wantOK       bool
	}{
		{"newest version is complete", map[string][]uint64{"a": {7, 8}, "b": {7}}, []tabulator.Command{addRows("a", "b")}, 8, 1, true},
		{"version held in both data centres", map[string][]uint64{"a": {7}, "b": {7}}, []tabulator.Command{addRows("a", "b")}, 7, 2, true},
		{
			"newest version only in a data centre out of service",
			map[string][]uint64{"a": {8}, "b": {7}},
			[]tabulator.Command{addRows("a", "b"), tabulator.SetDataCentre{ChangeID: "out", Name: "a", State: tabulator.StateOut}},
			7, 1, true,
		},
		{"no row for the data centre", map[string][]uint64{"a": {7}}, []tabulator.Command{addRows("b")}, 7, 0, true},
		{"no holdings known", nil, []tabulator.Command{addRows("a", "b")}, 0, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCatalogue(test.versions, "a", "b")
			plan, ok := c.PlanQuery([]string{"s"}, newView(t, test.commands...))
			if ok != test.wantOK || plan.Version.Number != test.wantVersion {
				t.Fatalf("got version %d, found %t; want %d, %t", plan.Version.Number, ok, test.wantVersion, test.wantOK)
			}
			if ok && (len(plan.Shards) != 2 || len(plan.Shards[0].Candidates) != test.wantReplicas) {
				t.Fatalf("got plan %+v, want 2 shards with %d candidates for the first", plan, test.wantReplicas)
			}
		})
	}
}

func TestPlanQueryIncludesShardWithoutReplica(t *testing.T) {
	c := newCatalogue(map[string][]uint64{"a": {7}}, "a")
	c.SetHoldings(leafID("a", 1), nil)
	c.RemoveVersion(leafID("a", 1), Version{Index: "i", Number: 7})
	plan, ok := c.PlanQuery([]string{"s"}, newView(t, addRows("a")))
	if !ok || len(plan.Shards) != 2 || len(plan.Shards[1].Candidates) != 0 {
		t.Fatalf("got plan %+v, want 2 shards with no candidate for the second", plan)
	}
}

func TestPlanQuerySkipsDrainingLeaf(t *testing.T) {
	c := newCatalogue(map[string][]uint64{"a": {7}, "b": {7}}, "a", "b")
	c.SetLeafs([]LeafRecord{
		{ID: leafID("a", 0), Service: "s", DataCentre: "a", IsDraining: true}, {ID: leafID("b", 0), Service: "s", DataCentre: "b"},
	})
	plan, _ := c.PlanQuery([]string{"s"}, newView(t, addRows("a", "b")))
	if got := plan.Shards[0].Candidates; len(got) != 1 || got[0] != leafID("b", 0) {
		t.Fatalf("got candidates %v, want only %s", got, leafID("b", 0))
	}
}
