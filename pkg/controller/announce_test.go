package controller

import "testing"

// The reply of a former member that came last hid the leader, which was then not asked to let the instance join.
func TestRepliesOfFormerMembersHideNoLeader(t *testing.T) {
	m := newMembership(&Discovery{})
	replies := make(chan AnnounceReply, 2)
	replies <- AnnounceReply{Leader: "c4", Members: []string{"c4", "c5"}}
	replies <- AnnounceReply{Members: []string{"c1", "c2"}}
	close(replies)
	m.setKnownInstances(replies)
	for _, instance := range []string{"c1", "c2", "c4", "c5"} {
		if !m.knownInstances[instance] {
			t.Errorf("%s is not known, want every instance that a reply names", instance)
		}
	}
}
