package recruiter

import (
	"testing"
	"time"

	"lovagedeck/pkg/replicator"
)

func TestDecide(t *testing.T) {
	now := time.Minute
	fresh := func(ids ...replicator.NodeID) map[replicator.NodeID]time.Duration {
		heard := map[replicator.NodeID]time.Duration{}
		for _, id := range ids {
			heard[id] = now - 50*time.Millisecond
		}
		return heard
	}
	withoutContact := func(heard map[replicator.NodeID]time.Duration, id replicator.NodeID, elapsed time.Duration) map[replicator.NodeID]time.Duration {
		heard[id] = now - elapsed
		return heard
	}
	five := []replicator.NodeID{"a/1", "b/1", "c/1", "d/1", "e/1"}
	six := append(append([]replicator.NodeID(nil), five...), "f/1")
	seven := append(append([]replicator.NodeID(nil), six...), "g/1")
	withLearner := func(voters []replicator.NodeID, learner replicator.NodeID) replicator.Config {
		return replicator.Config{Voters: voters, Learners: []replicator.NodeID{learner}}
	}
	leaving := func(id replicator.NodeID) map[replicator.NodeID]bool { return map[replicator.NodeID]bool{id: true} }
	cases := []struct {
		name string
		view View
		want Change
	}{
		{
			name: "no change for healthy voters",
			view: View{Config: replicator.Config{Voters: five}, HeardAt: fresh(five...)},
		},
		{
			name: "joining node becomes a learner",
			view: View{
				Config: replicator.Config{Voters: five}, HeardAt: fresh(five...),
				JoinRequests: map[replicator.NodeID]time.Duration{"f/1": now - 100*time.Millisecond},
			},
			want: Change{Action: AddLearner, Node: "f/1"},
		},
		{
			name: "expired join request is ignored",
			view: View{
				Config: replicator.Config{Voters: five}, HeardAt: fresh(five...),
				JoinRequests: map[replicator.NodeID]time.Duration{"f/1": now - 3*time.Second},
			},
		},
		{
			name: "learner that lags is not promoted",
			view: View{
				Config:  replicator.Config{Voters: five, Learners: []replicator.NodeID{"f/1"}},
				HeardAt: fresh("a/1", "b/1", "c/1", "d/1", "e/1", "f/1"), Commit: 9, Match: map[replicator.NodeID]uint64{"f/1": 8},
			},
		},
		{
			name: "learner with all committed entries is promoted",
			view: View{
				Config:  replicator.Config{Voters: five, Learners: []replicator.NodeID{"f/1"}},
				HeardAt: fresh("a/1", "b/1", "c/1", "d/1", "e/1", "f/1"), Commit: 9, Match: map[replicator.NodeID]uint64{"f/1": 9},
			},
			want: Change{Action: Promote, Node: "f/1"},
		},
		{
			name: "replaced voter is removed before an unresponsive one",
			view: View{
				Config:  replicator.Config{Voters: []replicator.NodeID{"a/1", "b/1", "c/1", "d/1", "e/1", "b/2"}},
				HeardAt: withoutContact(withoutContact(fresh("a/1", "c/1", "d/1", "e/1", "b/2"), "e/1", 10*time.Second), "b/1", 2*time.Second),
			},
			want: Change{Action: Remove, Node: "b/1"},
		},
		{
			name: "unresponsive voter stays if the others do not suffice",
			view: View{Config: replicator.Config{Voters: five}, HeardAt: withoutContact(fresh(five...), "e/1", time.Minute)},
		},
		{
			name: "unresponsive voter of six is demoted",
			view: View{Config: replicator.Config{Voters: six}, HeardAt: withoutContact(fresh(six...), "e/1", 2*time.Second)},
			want: Change{Action: Demote, Node: "e/1"},
		},
		{
			name: "unresponsive voter of seven is demoted, the longest without contact first",
			view: View{
				Config:  replicator.Config{Voters: seven},
				HeardAt: withoutContact(withoutContact(fresh(seven...), "d/1", 2*time.Second), "e/1", 9*time.Second),
			},
			want: Change{Action: Demote, Node: "e/1"},
		},
		{
			name: "unresponsive voter is demoted if a learner takes its place",
			view: View{
				Config:  withLearner(five, "f/1"),
				HeardAt: withoutContact(fresh(six...), "e/1", 2*time.Second), Commit: 9, Match: map[replicator.NodeID]uint64{"f/1": 9},
			},
			want: Change{Action: Demote, Node: "e/1"},
		},
		{
			name: "learner takes the place of a demoted voter although another one is unresponsive",
			view: View{
				Config:  withLearner(five[:4], "f/1"),
				HeardAt: withoutContact(fresh("a/1", "b/1", "c/1", "f/1"), "d/1", 2*time.Second), Commit: 9, Match: map[replicator.NodeID]uint64{"f/1": 9},
			},
			want: Change{Action: Promote, Node: "f/1"},
		},
		{
			name: "quorum does not grow while a voter may be lost",
			view: View{
				Config:  withLearner(five, "f/1"),
				HeardAt: withoutContact(fresh(six...), "e/1", time.Second), Commit: 9, Match: map[replicator.NodeID]uint64{"f/1": 9},
			},
		},
		{
			name: "voter on a lost disk goes before its successor is promoted",
			view: View{
				Config:  withLearner(five, "e/2"),
				HeardAt: withoutContact(fresh("a/1", "b/1", "c/1", "d/1", "e/2"), "e/1", time.Second), Commit: 9, Match: map[replicator.NodeID]uint64{"e/2": 9},
			},
			want: Change{Action: Remove, Node: "e/1"},
		},
		{
			name: "voter on a lost disk stays until its successor has all committed entries",
			view: View{
				Config:  withLearner(five, "e/2"),
				HeardAt: withoutContact(fresh("a/1", "b/1", "c/1", "d/1", "e/2"), "e/1", 5*time.Second), Commit: 9, Match: map[replicator.NodeID]uint64{"e/2": 8},
			},
		},
		{
			name: "voter that stops is demoted at once if the others suffice",
			view: View{Config: replicator.Config{Voters: six}, HeardAt: fresh(six...), Leaving: leaving("b/1")},
			want: Change{Action: Demote, Node: "b/1"},
		},
		{
			name: "leader that stops is demoted if the others suffice",
			view: View{Config: replicator.Config{Voters: six}, HeardAt: fresh(six...), Leaving: leaving("a/1")},
			want: Change{Action: Demote, Node: "a/1"},
		},
		{
			name: "voter that stops stays if the others do not suffice",
			view: View{Config: replicator.Config{Voters: five}, HeardAt: fresh(five...), Leaving: leaving("b/1")},
		},
		{
			name: "learner that stops is not promoted",
			view: View{
				Config:  withLearner(five, "f/1"),
				HeardAt: fresh(six...), Commit: 9, Match: map[replicator.NodeID]uint64{"f/1": 9}, Leaving: leaving("f/1"),
			},
		},
		{
			name: "voter without contact for less than the timeout stays",
			view: View{Config: replicator.Config{Voters: six}, HeardAt: withoutContact(fresh(six...), "e/1", time.Second)},
		},
		{
			name: "unresponsive learner is removed",
			view: View{
				Config:  replicator.Config{Voters: five, Learners: []replicator.NodeID{"f/1"}},
				HeardAt: withoutContact(fresh(five...), "f/1", LearnerTimeout), Commit: 9,
			},
			want: Change{Action: Remove, Node: "f/1"},
		},
		{
			name: "demoted voter stays a learner while it is paused",
			view: View{
				Config:  replicator.Config{Voters: five, Learners: []replicator.NodeID{"f/1"}},
				HeardAt: withoutContact(fresh(five...), "f/1", 30*time.Second), Commit: 9,
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.view.Self, c.view.Now, c.view.ExpectedVoters = "a/1", now, 5
			got := Decide(c.view)
			if got.Action != c.want.Action || got.Node != c.want.Node {
				t.Errorf("got %v %s, want %v %s", got.Action, got.Node, c.want.Action, c.want.Node)
			}
		})
	}
}
