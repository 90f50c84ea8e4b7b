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
	// Remove removes a voter or a learner.
	Remove
)

const (
	// JoinerTimeout is the time after which a join request or the last message of a learner is too old for the node to be
	// added or promoted. Instances send join requests five times within it.
	JoinerTimeout = time.Second
	// VoterTimeout is the time without contact, three election timeouts, after which a voter may be removed in favour of a new one.
	VoterTimeout = 1500 * time.Millisecond
	// LearnerTimeout is the time without contact after which a learner is removed. It may request to join again.
	LearnerTimeout = 5 * time.Second
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
		// Commit is the index of the last committed entry.
		Commit uint64
		// Match is the index of the last entry that each node is known to hold.
		Match map[replicator.NodeID]uint64
		// HeardAt is the time of the last message from each node.
		HeardAt map[replicator.NodeID]time.Duration
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
	case Remove:
		return "remove"
	}
	return "leave"
}

// Decide returns the next membership change, with the action NoChange if there is none. An instance whose disk was replaced
// joins again under a new node identifier:
//
//	voters a/1 b/1 c/1, join request of c/2  ->  add learner c/2, promote c/2, remove c/1
func Decide(view View) Change {
	rules := []func(View) Change{removeReplacedVoter, promoteLearner, removeUnresponsiveVoter, addJoiningNode, removeUnresponsiveLearner}
	for _, rule := range rules {
		if change := rule(view); change.Action != NoChange {
			return change
		}
	}
	return Change{}
}

// removeReplacedVoter removes a voter if another voter of the same instance, with a newer disk, was heard from more recently.
func removeReplacedVoter(v View) Change {
	for _, old := range v.Config.Voters {
		for _, other := range v.Config.Voters {
			if old != other && instanceOf(old) == instanceOf(other) && v.HeardAt[old] < v.HeardAt[other] && old != v.Self {
				return Change{Action: Remove, Node: old, Reason: "the instance votes under another disk"}
			}
		}
	}
	return Change{}
}

func promoteLearner(v View) Change {
	for _, id := range v.Config.Learners {
		if v.timeSinceContact(id) < JoinerTimeout && v.Match[id] >= v.Commit && v.Match[id] > 0 {
			return Change{Action: Promote, Node: id, Reason: "it holds everything committed"}
		}
	}
	return Change{}
}

// removeUnresponsiveVoter removes the voter with the longest time without contact, if that is at least VoterTimeout and the number
// of voters is even and at least 4. An even number of voters tolerates no more failures than one voter fewer.
func removeUnresponsiveVoter(v View) Change {
	if len(v.Config.Voters)%2 != 0 || len(v.Config.Voters) < 4 {
		return Change{}
	}
	var candidate replicator.NodeID
	for _, id := range v.Config.Voters {
		if id != v.Self && v.timeSinceContact(id) >= VoterTimeout && (candidate == "" || v.timeSinceContact(id) > v.timeSinceContact(candidate)) {
			candidate = id
		}
	}
	if candidate == "" {
		return Change{}
	}
	return Change{Action: Remove, Node: candidate, Reason: "it is silent and the others suffice"}
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

func (v View) timeSinceContact(id replicator.NodeID) time.Duration { return v.Now - v.HeardAt[id] }

func instanceOf(id replicator.NodeID) string {
	instance, _, _ := strings.Cut(string(id), "/")
	return instance
}
