package controller

import (
	"testing"
	"time"

	"lovagedeck/pkg/lister"
)

// A list that was not taken over, since it was read before the one in use, is passed on once it has been read again.
func TestRosterIsPassedOnUntilInUse(t *testing.T) {
	store := lister.NewRosterStore(func() time.Duration { return time.Minute })
	isInUse, passedOn := true, 0
	var confirmedAt time.Duration
	client := &Client{rosterStore: store, config: ClientConfig{
		OnRoster: func(lister.Roster) { passedOn++ },
		OnRosterRead: func(_ lister.RosterStamp, readAt time.Duration) bool {
			confirmedAt = readAt
			return isInUse
		},
	}}
	leader := lister.NewRosterStore(func() time.Duration { return time.Minute })
	leader.Publish(1, []lister.RosterLeaf{{ID: "a"}}, 50*time.Second)
	reply := RenewReply{Roster: leader.ChangesSince(lister.RosterStamp{}), Reading: leader.Reading()}
	steps := []struct {
		name    string
		reply   RenewReply
		isInUse bool
		want    int
	}{
		{"new list", reply, true, 1},
		{"the list in use was read again", RenewReply{Reading: leader.Reading()}, true, 1},
		{"another list is in use", RenewReply{Reading: leader.Reading()}, false, 2},
	}
	for _, step := range steps {
		isInUse = step.isInUse
		client.applyReply(step.reply, 30*time.Second)
		if passedOn != step.want {
			t.Errorf("%s: the list was passed on %d times so far, want %d", step.name, passedOn, step.want)
		}
	}
	// The age of the reading, 10 s, counts from when the control instance was asked.
	if confirmedAt != 20*time.Second {
		t.Errorf("got %v as the time of the reading, want 20s", confirmedAt)
	}
}
