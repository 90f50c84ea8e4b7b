package assigner

import (
	"fmt"
	"testing"
	"time"

	"lovagedeck/pkg/tabulator"
)

func newView(t testing.TB, commands ...tabulator.Command) *tabulator.View {
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

func joinCommands(count int) []tabulator.Command {
	var commands []tabulator.Command
	for i := range count {
		commands = append(commands, tabulator.Join{Member: tabulator.MemberFields{
			Instance: fmt.Sprintf("e%d", i), Incarnation: 1, DataCentre: fmt.Sprintf("d%d", i%3), Via: "c",
		}})
	}
	return commands
}

func newLeafs(count int) []Leaf {
	var list []Leaf
	for i := range count {
		list = append(list, NewLeaf(LeafID(fmt.Sprintf("leaf-%d", i)), fmt.Sprintf("d%d", i%3)))
	}
	return list
}

func TestOwnersAreLocalAndBalanced(t *testing.T) {
	m := NewMap(newView(t, joinCommands(9)...))
	counts := map[string]int{}
	for _, leaf := range newLeafs(3000) {
		owner, ok := m.Owner(leaf)
		if !ok || owner.DataCentre() != leaf.DataCentre() {
			t.Fatalf("owner of leaf %s: got %s in data centre %s, want a member in %s", leaf.ID(), owner.Instance(), owner.DataCentre(), leaf.DataCentre())
		}
		counts[owner.Instance()]++
	}
	for instance, count := range counts {
		if count < 250 || count > 420 {
			t.Errorf("leafs owned by %s: got %d of 3000, want 250 to 420 around an even share of 333", instance, count)
		}
	}
}

func TestMembershipChangeMovesOnlyAffectedLeafs(t *testing.T) {
	before := newView(t, joinCommands(9)...)
	after := newView(t, append(joinCommands(9), tabulator.Remove{Instance: "e4", Incarnation: 1, Reason: tabulator.RemovedExpired})...)
	first := NewMap(before)
	list := newLeafs(900)
	for _, leaf := range list {
		first.Owner(leaf)
	}
	second := first.Next(after)
	for _, leaf := range list {
		original, _ := first.Owner(leaf)
		updated, _ := second.Owner(leaf)
		recomputed, _ := NewMap(after).Owner(leaf)
		if updated.ID() != recomputed.ID() {
			t.Fatalf("owner of leaf %s after a membership change: got %s, want %s as in a new map", leaf.ID(), updated.ID(), recomputed.ID())
		}
		if original.Instance() != "e4" && original.ID() != updated.ID() {
			t.Fatalf("leaf %s moved from %s to %s, want no move because %s is still a member", leaf.ID(), original.ID(), updated.ID(), original.ID())
		}
	}
}

func TestDrainingMemberOwnsNothingAndIsPreviousOwner(t *testing.T) {
	before := NewMap(newView(t, joinCommands(3)...))
	after := NewMap(newView(t, append(joinCommands(3), tabulator.Drain{Instance: "e1", Incarnation: 1})...))
	for _, leaf := range newLeafs(100) {
		original, _ := before.Owner(leaf)
		owner, ok := after.Owner(leaf)
		if !ok || owner.Instance() == "e1" {
			t.Fatalf("owner of leaf %s: got %q, want a member other than the draining e1", leaf.ID(), owner.Instance())
		}
		previous, _ := after.PreviousOwner(leaf, owner.ID())
		if original.Instance() == "e1" && previous.Instance() != "e1" {
			t.Fatalf("previous owner of leaf %s: got %s, want e1", leaf.ID(), previous.Instance())
		}
	}
}

func TestFencePhase(t *testing.T) {
	timeout := FenceTimeout()
	tests := []struct {
		name       string
		release    *Release
		at         time.Duration
		phase      FencePhase
		hasRelease bool
	}{
		{"closed at the start", nil, 0, FenceClosed, false},
		{"closed just before the timeout", nil, timeout - 1, FenceClosed, false},
		{"open and cold at the timeout", nil, timeout, FenceOpen, false},
		{"open immediately after a release", &Release{WasOpen: true, Limit: 2}, 0, FenceOpen, true},
		{"release by a member that never had the leaf open is ignored", &Release{}, timeout - 1, FenceClosed, false},
	}
	for _, test := range tests {
		fence := NewFence(0, timeout)
		if test.release != nil {
			fence.OnRelease(*test.release)
		}
		_, hasRelease := fence.Handover()
		if phase := fence.Phase(test.at); phase != test.phase || (phase == FenceOpen && hasRelease != test.hasRelease) {
			t.Errorf("%s: got phase %d and release %t, want phase %d and release %t", test.name, phase, hasRelease, test.phase, test.hasRelease)
		}
	}
}

func TestFenceTimeoutCoversStaleLeasesAndRunningRequests(t *testing.T) {
	// The previous owner and the new owner may each have missed an epoch, so each may be stale by the duration of one lease.
	if FenceTimeout() < GrantExpiry(0)+MaxLeafRequestTime || FenceTimeout() < 2*LeaseDuration {
		t.Fatalf("fence timeout: got %s, want at least %s and %s", FenceTimeout(), GrantExpiry(0)+MaxLeafRequestTime, 2*LeaseDuration)
	}
}

func TestLeaseStartsWhenRenewalIsSent(t *testing.T) {
	var lease Lease
	lease.Renew(10 * time.Second)
	lease.Renew(9 * time.Second)
	if !lease.IsHeld(10*time.Second+LeaseDuration-1) || lease.IsHeld(10*time.Second+LeaseDuration) {
		t.Fatalf("lease expiry: got %s, want %s", lease.ExpiresAt(), 10*time.Second+LeaseDuration)
	}
	if GrantExpiry(10*time.Second) <= lease.ExpiresAt() {
		t.Fatalf("grant expiry: got %s, want a time after the lease expiry of %s to allow for clock drift", GrantExpiry(10*time.Second), lease.ExpiresAt())
	}
}

func BenchmarkOwners(b *testing.B) {
	for _, members := range []int{25, 250, 2500} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			view := newView(b, joinCommands(members)...)
			list := newLeafs(1000)
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
			before := newView(b, joinCommands(members)...)
			after := newView(b, append(joinCommands(members), tabulator.Remove{Instance: "e4", Incarnation: 1})...)
			first := NewMap(before)
			list := newLeafs(1000)
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
