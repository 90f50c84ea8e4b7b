package lister

import (
	"reflect"
	"testing"
	"time"
)

func newLeaf(id, address string) RosterLeaf {
	return RosterLeaf{ID: id, Service: "s", DataCentre: "a", Address: address, Slots: 2}
}

// A control instance that is cut off from the leader still grants leases, so the age of its reading must show that its list of
// leafs may be outdated.
func TestReadingAgesUntilConfirmed(t *testing.T) {
	now := time.Minute
	clock := func() time.Duration { return now }
	leader, follower := NewRosterStore(clock), NewRosterStore(clock)
	leader.Publish(3, []RosterLeaf{newLeaf("1", "x:1")}, now)
	follower.Apply(leader.ChangesSince(follower.Stamp()))
	follower.Confirm(leader.Reading(), now)
	now += 5 * time.Second
	if age := follower.Reading().Age; age != 5*time.Second {
		t.Errorf("unconfirmed reading: got age %v, want 5s", age)
	}
	leader.Publish(3, []RosterLeaf{newLeaf("1", "x:1")}, now)
	now += time.Second
	follower.Confirm(leader.Reading(), now)
	if age := follower.Reading().Age; age != time.Second {
		t.Errorf("confirmed reading: got age %v, want 1s", age)
	}
	leader.Publish(3, []RosterLeaf{newLeaf("2", "x:2")}, now)
	follower.Confirm(leader.Reading(), now)
	if age := follower.Reading().Age; age != time.Second {
		t.Errorf("reading confirmed with the stamp of another list: got age %v, want 1s", age)
	}
}

func TestChangesSinceReturnsOnlyChanges(t *testing.T) {
	now := time.Minute
	clock := func() time.Duration { return now }
	leader, follower := NewRosterStore(clock), NewRosterStore(clock)
	leader.Publish(3, []RosterLeaf{newLeaf("1", "x:1"), newLeaf("2", "x:2")}, now)
	full := leader.ChangesSince(follower.Stamp())
	if full.Since != 0 || len(full.Leafs) != 2 || !follower.Apply(full) {
		t.Fatalf("first roster: got %+v, want a full roster of 2 leafs that the follower applies", full)
	}
	if leader.Publish(3, []RosterLeaf{newLeaf("2", "x:2"), newLeaf("1", "x:1")}, now) {
		t.Error("list in another order: got a new stamp, want none")
	}
	leaving := newLeaf("1", "x:1")
	leaving.Leaving = true
	leader.Publish(3, []RosterLeaf{leaving, newLeaf("3", "x:3")}, now)
	changes := leader.ChangesSince(follower.Stamp())
	if changes.Since == 0 || len(changes.Leafs) != 2 || !reflect.DeepEqual(changes.Removed, []string{"2"}) {
		t.Fatalf("got changes %+v, want leafs 1 and 3 and the removal of leaf 2", changes)
	}
	if !follower.Apply(changes) {
		t.Fatalf("changes %+v were not applied", changes)
	}
	if got, want := follower.FullRoster().Leafs, leader.FullRoster().Leafs; !reflect.DeepEqual(got, want) {
		t.Errorf("follower: got leafs %+v, want %+v as on the leader", got, want)
	}
	if leader.ChangesSince(follower.Stamp()) != nil {
		t.Error("follower is up to date: got changes, want none")
	}
}

func TestRosterOfEarlierTermIsRejected(t *testing.T) {
	clock := func() time.Duration { return time.Minute }
	store := NewRosterStore(clock)
	store.Publish(5, []RosterLeaf{newLeaf("1", "x:1")}, time.Minute)
	if store.Publish(4, nil, time.Minute) {
		t.Error("list published in term 4 replaced that of term 5")
	}
	if store.Apply(&Roster{Stamp: RosterStamp{Term: 4, Sequence: 99}}) {
		t.Error("roster of term 4 was applied over one of term 5")
	}
	if !store.Publish(6, []RosterLeaf{newLeaf("1", "x:1")}, time.Minute) {
		t.Error("first list of term 6: got no new stamp, want one")
	}
	if got := store.ChangesSince(RosterStamp{Term: 5, Sequence: 1}); got == nil || got.Since != 0 {
		t.Errorf("changes since a stamp of term 5: got %+v, want a full roster", got)
	}
}

func TestChangesWithUnknownBaseAreRejected(t *testing.T) {
	clock := func() time.Duration { return time.Minute }
	store := NewRosterStore(clock)
	store.Publish(1, []RosterLeaf{newLeaf("1", "x:1")}, time.Minute)
	if store.Apply(&Roster{Stamp: RosterStamp{Term: 1, Sequence: 9}, Since: 8}) {
		t.Error("changes since sequence 8 were applied to a roster with sequence 1")
	}
	if store.Apply(&Roster{Stamp: RosterStamp{Term: 2, Sequence: 9}, Since: 1}) {
		t.Error("changes of term 2 were applied to a roster of term 1")
	}
}

func TestExpectedEndOfWarmUpIsNoChange(t *testing.T) {
	now := time.Minute
	store := NewRosterStore(func() time.Duration { return now })
	warming := newLeaf("1", "x:1")
	warming.ColdFor = 3 * time.Second
	store.Publish(1, []RosterLeaf{warming}, now)
	now += 2 * time.Second
	warming.ColdFor = 900 * time.Millisecond
	if store.Publish(1, []RosterLeaf{warming}, now) {
		t.Error("warm-up that proceeds as expected: got a new stamp, want none")
	}
	if got := store.FullRoster().Leafs[0].ColdFor; got != time.Second {
		t.Errorf("got remaining warm-up time %v, want 1s", got)
	}
	now += 5 * time.Second
	warming.ColdFor = 3 * time.Second
	if !store.Publish(1, []RosterLeaf{warming}, now) {
		t.Error("leaf warms up again: got no new stamp, want one")
	}
}

// Two entries with the same identifier are one leaf. Which entry holds must not depend on their order, and an unchanged list must not
// get a new stamp at each poll.
func TestEntriesWithSameIDAreOneLeaf(t *testing.T) {
	leaving, other := newLeaf("1", "x:1"), newLeaf("1", "x:2")
	leaving.Leaving = true
	cases := []struct {
		name        string
		first, last RosterLeaf
		want        RosterLeaf
	}{
		{"equal", newLeaf("1", "x:1"), newLeaf("1", "x:1"), newLeaf("1", "x:1")},
		{"two addresses", newLeaf("1", "x:1"), other, other},
		{"two addresses in the other order", other, newLeaf("1", "x:1"), other},
		{"leaving first", leaving, other, leaving},
		{"leaving last", other, leaving, leaving},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := NewRosterStore(func() time.Duration { return time.Minute })
			list := []RosterLeaf{c.first, newLeaf("2", "x:3"), c.last}
			store.Publish(1, list, time.Minute)
			if got := store.FullRoster().Leafs; len(got) != 2 || got[0] != c.want {
				t.Errorf("got leafs %+v, want %+v and leaf 2", got, c.want)
			}
			if store.Publish(1, list, time.Minute) {
				t.Error("unchanged list: got a new stamp, want none")
			}
		})
	}
}
