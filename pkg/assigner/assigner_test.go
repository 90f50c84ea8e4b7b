package assigner

import (
	"fmt"
	"testing"
	"time"

	"lovagedeck/pkg/tabulator"
)

func viewOf(t testing.TB, commands ...tabulator.Command) *tabulator.View {
	t.Helper()
	machine := tabulator.NewMachine()
	for _, command := range commands {
		machine.Apply(command)
	}
	view, err := tabulator.NewView().Apply(machine.Delta(0))
	if err != nil {
		t.Fatal(err)
	}
	return view
}

func joins(count int) []tabulator.Command {
	var commands []tabulator.Command
	for i := range count {
		commands = append(commands, tabulator.Join{Member: tabulator.MemberFields{
			Instance: fmt.Sprintf("e%d", i), Incarnation: 1, DataCentre: fmt.Sprintf("d%d", i%3), Via: "c",
		}})
	}
	return commands
}

func leafs(count int) []Leaf {
	var list []Leaf
	for i := range count {
		list = append(list, NewLeaf(LeafID(fmt.Sprintf("leaf-%d", i)), fmt.Sprintf("d%d", i%3)))
	}
	return list
}

func TestOwnersAreNearAndEven(t *testing.T) {
	m := NewMap(viewOf(t, joins(9)...))
	counts := map[string]int{}
	for _, leaf := range leafs(3000) {
		owner, ok := m.Owner(leaf)
		if !ok || owner.DataCentre() != leaf.DataCentre() {
			t.Fatalf("leaf %s in %s has owner %s in %s", leaf.ID(), leaf.DataCentre(), owner.Instance(), owner.DataCentre())
		}
		counts[owner.Instance()]++
	}
	for instance, count := range counts {
		if count < 250 || count > 420 {
			t.Errorf("%s owns %d of 3000 leafs, about 333 are even", instance, count)
		}
	}
}

func TestOnlyNeededLeafsMove(t *testing.T) {
	before := viewOf(t, joins(9)...)
	after := viewOf(t, append(joins(9), tabulator.Remove{Instance: "e4", Incarnation: 1, Reason: tabulator.RemovedExpired})...)
	first := NewMap(before)
	list := leafs(900)
	for _, leaf := range list {
		first.Owner(leaf)
	}
	second := first.Next(after)
	for _, leaf := range list {
		old, _ := first.Owner(leaf)
		now, _ := second.Owner(leaf)
		fresh, _ := NewMap(after).Owner(leaf)
		if now.ID() != fresh.ID() {
			t.Fatalf("leaf %s: owner %s after a change, %s when computed afresh", leaf.ID(), now.ID(), fresh.ID())
		}
		if old.Instance() != "e4" && old.ID() != now.ID() {
			t.Fatalf("leaf %s moved from %s to %s without need", leaf.ID(), old.ID(), now.ID())
		}
	}
}

func TestDrainingMemberOwnsNothingAndIsAskedFirst(t *testing.T) {
	plain := NewMap(viewOf(t, joins(3)...))
	draining := NewMap(viewOf(t, append(joins(3), tabulator.Drain{Instance: "e1", Incarnation: 1})...))
	for _, leaf := range leafs(100) {
		former, _ := plain.Owner(leaf)
		owner, ok := draining.Owner(leaf)
		if !ok || owner.Instance() == "e1" {
			t.Fatalf("leaf %s is owned by %s", leaf.ID(), owner.Instance())
		}
		asked, _ := draining.Former(leaf, owner.ID())
		if former.Instance() == "e1" && asked.Instance() != "e1" {
			t.Fatalf("leaf %s: %s is asked for it, e1 had it", leaf.ID(), asked.Instance())
		}
	}
}

func TestFence(t *testing.T) {
	wait := FenceWait()
	tests := []struct {
		name     string
		release  *Release
		at       time.Duration
		phase    FencePhase
		inherits bool
	}{
		{"closed at first", nil, 0, FenceClosed, false},
		{"closed just before the wait ends", nil, wait - 1, FenceClosed, false},
		{"open as cold after the wait", nil, wait, FenceOpen, false},
		{"open at once after a release", &Release{Open: true, Limit: 2}, 0, FenceOpen, true},
		{"a release by one that never had it is none", &Release{}, wait - 1, FenceClosed, false},
	}
	for _, test := range tests {
		fence := NewFence(0, wait)
		if test.release != nil {
			fence.OnRelease(*test.release)
		}
		_, inherits := fence.Inherited()
		if phase := fence.Phase(test.at); phase != test.phase || (phase == FenceOpen && inherits != test.inherits) {
			t.Errorf("%s: phase %d, inherits %t", test.name, phase, inherits)
		}
	}
}

func TestFenceOutlastsTwoLeasesAndTheWork(t *testing.T) {
	// An owner that missed an epoch and a new owner that missed the next one are each stale by one lease.
	if FenceWait() < GrantEnd(0)+MaxSubDeadline || FenceWait() < 2*LeaseLength {
		t.Fatalf("the fence of %s is too short", FenceWait())
	}
}

func TestLeaseCountsFromTheSending(t *testing.T) {
	var lease Lease
	lease.Renew(10 * time.Second)
	lease.Renew(9 * time.Second)
	if !lease.Held(10*time.Second+LeaseLength-1) || lease.Held(10*time.Second+LeaseLength) {
		t.Fatalf("lease until %s", lease.Until())
	}
	if GrantEnd(10*time.Second) <= lease.Until() {
		t.Fatal("the granting side has no margin for drift")
	}
}

func BenchmarkOwners(b *testing.B) {
	for _, members := range []int{25, 250, 2500} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			view := viewOf(b, joins(members)...)
			list := leafs(1000)
			for b.Loop() {
				m := NewMap(view)
				for _, leaf := range list {
					m.Owner(leaf)
				}
			}
		})
	}
}

func BenchmarkEpoch(b *testing.B) {
	for _, members := range []int{25, 250, 2500} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			before := viewOf(b, joins(members)...)
			after := viewOf(b, append(joins(members), tabulator.Remove{Instance: "e4", Incarnation: 1})...)
			first := NewMap(before)
			list := leafs(1000)
			for _, leaf := range list {
				first.Owner(leaf)
			}
			for b.Loop() {
				next := first.Next(after)
				for _, leaf := range list {
					next.Owner(leaf)
				}
			}
		})
	}
}
