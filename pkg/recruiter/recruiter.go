package recruiter

import (
	"strings"
	"time"

	"lovagedeck/pkg/replicator"
)

const (
	// NoChange keeps the members as they are.
	NoChange Action = iota
	// AddLearner adds a node as a non-voting member.
	AddLearner
	// Promote makes a learner a voter.
	Promote
	// Demote makes a voter a learner. The leader goes on replicating the log to it, so that it can be promoted again.
	Demote
	// Remove removes a voter or a learner.
	Remove
)

const (
	// JoinerTimeout is the time after which a join request or the last message of a learner is too old for the node to be
	// added or promoted. Instances send join requests five times within it.
	JoinerTimeout = time.Second
	// SuspectTimeout is the time without contact after which a voter may be lost. A quorum does not grow while one may be.
	SuspectTimeout = replicator.ElectionTimeout
	// VoterTimeout is the time without contact, three election timeouts, after which a voter may be demoted.
	VoterTimeout = 1500 * time.Millisecond
	// LearnerTimeout is the time without contact after which a learner is removed. It is longer than instances are usually paused or
	// partitioned, so that a demoted voter is still a member when it returns, even if it no longer knows the address of another member.
	LearnerTimeout = time.Minute
	// minVoters is the number of voters below which none is demoted for its silence, whatever the tolerance.
	minVoters = 3
)

type (
	// Action is the kind of a membership change.
	Action int

	// Change is a membership change of one node.
	Change struct {
		Action Action
		Node   replicator.NodeID
		Reason string
	}

	// View is the state of the log and its members as known to the leader. Points in time are readings of its monotonic
	// clock.
	View struct {
		Self   replicator.NodeID
		Now    time.Duration
		Config replicator.Config
		// ExpectedVoters is the number of voters that the tolerated losses require: twice as many and one more.
		ExpectedVoters int
		// Commit is the index of the last committed entry.
		Commit uint64
		// Match is the index of the last entry that each node is known to hold.
		Match map[replicator.NodeID]uint64
		// HeardAt is the time of the last message from each node.
		HeardAt map[replicator.NodeID]time.Duration
		// Leaving has an entry for each node that is about to stop.
		Leaving map[replicator.NodeID]bool
		// JoinRequests is the time of the last join request of each node.
		JoinRequests map[replicator.NodeID]time.Duration
	}
)

// String returns the action as it appears in events and logs.
func (a Action) String() string {
	switch a {
	case AddLearner:
		return "add without a vote"
	case Promote:
		return "give its vote"
	case Demote:
		return "take its vote"
	case Remove:
		return "remove"
	}
	return "leave"
}

// Decide returns the next membership change, with the action NoChange if there is none.
//
// Every responsive instance gets a vote, and a voter that is gone loses its vote if View.ExpectedVoters others remain, or if a learner
// can take its place at once. A quorum never grows while a voter may be lost, so that the members that are left can complete the change:
//
//	voters a b c d e f, e is silent                  ->  demote e
//	voters a b c d e, e is silent, learner f         ->  demote e, promote f
//	voters a/1 b c d e, learner a/2 on another disk  ->  remove a/1, promote a/2
func Decide(view View) Change {
	rules := []func(View) Change{removeReplaced, demoteGoneVoter, promoteLearner, addJoiningNode, removeUnresponsiveLearner}
	for _, rule := range rules {
		if change := rule(view); change.Action != NoChange {
			return change
		}
	}
	return Change{}
}

// removeReplaced removes a node if the same instance was heard from more recently under a newer disk. The old disk is lost for good. A
// voter stays until the new node votes or can be promoted, unless enough others remain.
func removeReplaced(v View) Change {
	for _, old := range v.Config.Learners {
		if v.successor(old) != "" {
			return Change{Action: Remove, Node: old, Reason: "the instance follows under another disk"}
		}
	}
	for _, old := range v.Config.Voters {
		successor := v.successor(old)
		if successor == "" || old == v.Self {
			continue
		}
		if v.Config.HasVoter(successor) || v.hasSpareVoters() || v.hasOddVoters() && v.isReady(successor) {
			return Change{Action: Remove, Node: old, Reason: "the instance is a member under another disk"}
		}
	}
	return Change{}
}

// demoteGoneVoter demotes a voter that is about to stop, or else the one with the longest time without contact if that is at least
// VoterTimeout. An odd number of voters has the same quorum as one voter fewer, so that a voter may go first and a learner follow.
func demoteGoneVoter(v View) Change {
	if v.hasSpareVoters() && v.Leaving[v.Self] && v.Config.HasVoter(v.Self) && v.goneVoter() == "" {
		return Change{Action: Demote, Node: v.Self, Reason: "it is stopping and the others suffice"}
	}
	gone := v.goneVoter()
	switch {
	case gone == "":
		return Change{}
	case v.hasSpareVoters():
		return Change{Action: Demote, Node: gone, Reason: v.describeGone(gone) + " and the others suffice"}
	case v.hasOddVoters() && v.readyLearner() != "":
		return Change{Action: Demote, Node: gone, Reason: v.describeGone(gone) + " and a learner takes its place"}
	}
	return Change{}
}

// promoteLearner promotes a learner that holds everything committed. An even number of voters has the same quorum as one voter more, and
// an odd number a smaller one.
func promoteLearner(v View) Change {
	learner := v.readyLearner()
	if learner == "" || len(v.Config.Voters) >= v.ExpectedVoters && v.hasOddVoters() && v.hasSuspectVoter() {
		return Change{}
	}
	return Change{Action: Promote, Node: learner, Reason: "it holds everything committed"}
}

func addJoiningNode(v View) Change {
	var chosen replicator.NodeID
	for id, requestedAt := range v.JoinRequests {
		if v.Now-requestedAt > JoinerTimeout || v.Config.HasVoter(id) || v.Config.HasLearner(id) {
			continue
		}
		if chosen == "" || id < chosen {
			chosen = id
		}
	}
	if chosen == "" {
		return Change{}
	}
	return Change{Action: AddLearner, Node: chosen, Reason: "it asked to join"}
}

func removeUnresponsiveLearner(v View) Change {
	for _, id := range v.Config.Learners {
		if v.timeSinceContact(id) >= LearnerTimeout {
			return Change{Action: Remove, Node: id, Reason: "it is silent and has no vote"}
		}
	}
	return Change{}
}

// goneVoter returns the voter to be demoted first, other than the leader, or an empty ID.
func (v View) goneVoter() replicator.NodeID {
	var longest replicator.NodeID
	for _, id := range v.Config.Voters {
		switch {
		case id == v.Self:
		case v.Leaving[id]:
			return id
		case v.timeSinceContact(id) >= VoterTimeout && (longest == "" || v.timeSinceContact(id) > v.timeSinceContact(longest)):
			longest = id
		}
	}
	return longest
}

func (v View) describeGone(id replicator.NodeID) string {
	if v.Leaving[id] {
		return "it is stopping"
	}
	return "it is silent"
}

// readyLearner returns a learner that can be promoted at once, or an empty ID.
func (v View) readyLearner() replicator.NodeID {
	for _, id := range v.Config.Learners {
		if v.isReady(id) {
			return id
		}
	}
	return ""
}

func (v View) isReady(id replicator.NodeID) bool {
	return v.timeSinceContact(id) < JoinerTimeout && v.Match[id] >= v.Commit && v.Match[id] > 0 && !v.Leaving[id]
}

// successor returns the member that is the same instance as old under a newer disk and has replied, or an empty ID.
func (v View) successor(old replicator.NodeID) replicator.NodeID {
	for _, ids := range [][]replicator.NodeID{v.Config.Voters, v.Config.Learners} {
		for _, id := range ids {
			hasReplied := v.Config.HasVoter(id) || v.Match[id] > 0
			if id != old && instanceOf(id) == instanceOf(old) && hasReplied && v.HeardAt[old] < v.HeardAt[id] {
				return id
			}
		}
	}
	return ""
}

// hasSpareVoters reports whether the tolerated losses require fewer voters than there are.
func (v View) hasSpareVoters() bool { return len(v.Config.Voters) > max(v.ExpectedVoters, minVoters) }

// hasOddVoters reports whether the quorum stays the same with one voter fewer. It is false if that would leave one voter.
func (v View) hasOddVoters() bool {
	return len(v.Config.Voters)%2 == 1 && len(v.Config.Voters) >= minVoters
}

func (v View) hasSuspectVoter() bool {
	for _, id := range v.Config.Voters {
		if id != v.Self && v.timeSinceContact(id) >= SuspectTimeout {
			return true
		}
	}
	return false
}

func (v View) timeSinceContact(id replicator.NodeID) time.Duration { return v.Now - v.HeardAt[id] }

func instanceOf(id replicator.NodeID) string {
	instance, _, _ := strings.Cut(string(id), "/")
	return instance
}
