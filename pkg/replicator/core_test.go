package replicator

import (
	"math/rand/v2"
	"testing"
	"time"
)

var threeVoters = Config{Voters: []NodeID{"a", "b", "c"}}

func newTestCore(t *testing.T, saved PersistentState) *Core {
	t.Helper()
	if len(saved.Snapshot.Config.Voters) == 0 {
		saved.Snapshot.Config = threeVoters
	}
	core, err := New("a", saved, 0, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	return core
}

// electLeader makes the core the leader of the next term with the vote of b.
func electLeader(t *testing.T, core *Core, now time.Duration) Output {
	t.Helper()
	core.Step(Tick{}, now)
	term := core.Status().Term
	core.Step(Receive{Message{Kind: MessagePreVoteReply, From: "b", To: "a", Term: term + 1, Granted: true}}, now)
	out := core.Step(Receive{Message{Kind: MessageVoteReply, From: "b", To: "a", Term: term + 1, Granted: true}}, now)
	if core.Status().Role != RoleLeader {
		t.Fatalf("role %s, want leader", core.Status().Role)
	}
	return out
}

func ack(core *Core, from NodeID, match uint64, now time.Duration) Output {
	return core.Step(Receive{Message{
		Kind: MessageAppendReply, From: from, To: "a", Term: core.Status().Term, Match: match, Round: core.readRounds.lastRound,
	}}, now)
}

// A node that was paused for seconds receives all messages of that time when it resumes, and rejects each of them. If the leader
// retransmitted on every rejection, it would send the missing entries many times.
func TestRejectionsOfMissedRoundsCauseOneRetransmission(t *testing.T) {
	core := newTestCore(t, PersistentState{})
	now := time.Second
	electLeader(t, core, now)
	ack(core, "b", core.log.lastIndex(), now)
	ack(core, "c", core.log.lastIndex(), now)
	var missed []Message
	for i := range 60 {
		now += HeartbeatInterval
		out := core.Step(Propose{Tag: uint64(i), Data: []byte("document")}, now)
		for _, message := range out.Messages {
			if message.To == "c" {
				missed = append(missed, message)
			}
		}
		ack(core, "b", core.log.lastIndex(), now)
	}
	entries := 0
	for _, message := range missed[1:] {
		out := core.Step(Receive{Message{
			Kind: MessageAppendReply, From: "c", To: "a", Term: core.Status().Term, Match: 1, Rejected: true, Round: message.Round,
		}}, now)
		for _, reply := range out.Messages {
			entries += len(reply.Entries)
		}
	}
	if entries == 0 || entries > 2*60 {
		t.Errorf("retransmitted %d entries, want 1 to 120 for 60 missing entries", entries)
	}
	now += HeartbeatInterval
	core.Step(Tick{}, now)
	out := core.Step(Receive{Message{
		Kind: MessageAppendReply, From: "c", To: "a", Term: core.Status().Term, Match: 1, Rejected: true, Round: core.readRounds.lastRound,
	}}, now)
	if len(out.Messages) == 0 || len(out.Messages[0].Entries) == 0 {
		t.Error("rejection one heartbeat interval later: got no retransmission, want one")
	}
}

func TestVoteIsPersistedWithReply(t *testing.T) {
	core := newTestCore(t, PersistentState{})
	out := core.Step(Receive{Message{Kind: MessageVote, From: "b", To: "a", Term: 5}}, 0)
	saved := PersistentState{Snapshot: Snapshot{Config: threeVoters}}
	for _, write := range out.Writes {
		if vote, ok := write.(SaveVote); ok {
			saved.Term, saved.Vote = vote.Term, vote.Vote
		}
	}
	if saved.Vote != "b" || len(out.Messages) != 1 || !out.Messages[0].Granted {
		t.Fatalf("got writes %+v and messages %+v, want a saved vote for b and one granted reply", out.Writes, out.Messages)
	}
	restarted := newTestCore(t, saved)
	out = restarted.Step(Receive{Message{Kind: MessageVote, From: "c", To: "a", Term: 5}}, 0)
	if out.Messages[0].Granted {
		t.Fatal("vote for c after a restart: granted in a term with a saved vote for b, want refused")
	}
}

func TestEarlierTermEntryIsNotCommittedByReplicaCount(t *testing.T) {
	core := newTestCore(t, PersistentState{Term: 3, Entries: []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}}})
	electLeader(t, core, 2*time.Second)
	if out := ack(core, "b", 2, 2*time.Second); len(out.Committed) != 0 {
		t.Fatalf("committed %+v, want none before a majority holds an entry of the leader's term", out.Committed)
	}
	if out := ack(core, "b", 3, 2*time.Second); len(out.Committed) != 3 {
		t.Fatalf("committed %+v, want 3 entries", out.Committed)
	}
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	core := newTestCore(t, PersistentState{})
	electLeader(t, core, 2*time.Second)
	ack(core, "b", 1, 2*time.Second)
	core.Step(ReadIndex{ID: 1}, 2*time.Second)
	out := core.Step(Tick{}, 2*time.Second+ElectionTimeout)
	if core.Status().Role == RoleLeader {
		t.Fatal("role after an election timeout without replies: got leader, want follower")
	}
	if len(out.ReadIndexResults) != 1 || out.ReadIndexResults[0].OK {
		t.Fatalf("read index results: got %+v, want one that failed", out.ReadIndexResults)
	}
}

func TestReadIndexRequiresLaterRound(t *testing.T) {
	core := newTestCore(t, PersistentState{})
	electLeader(t, core, 2*time.Second)
	ack(core, "b", 1, 2*time.Second)
	earlierRound := core.readRounds.lastRound
	out := core.Step(ReadIndex{ID: 7}, 2*time.Second)
	staleReply := Message{Kind: MessageAppendReply, From: "b", To: "a", Term: core.Status().Term, Match: 1, Round: earlierRound}
	staleOut := core.Step(Receive{staleReply}, 2*time.Second)
	if len(out.ReadIndexResults)+len(staleOut.ReadIndexResults) != 0 {
		t.Fatal("read index request completed by a reply to an earlier round, want no result")
	}
	if out = ack(core, "b", 1, 2*time.Second); len(out.ReadIndexResults) != 1 || !out.ReadIndexResults[0].OK {
		t.Fatalf("read index results: got %+v, want one that succeeded", out.ReadIndexResults)
	}
}

func TestFollowerWithRecentLeaderRefusesVotes(t *testing.T) {
	core := newTestCore(t, PersistentState{Term: 1})
	core.Step(Receive{Message{Kind: MessageAppend, From: "b", To: "a", Term: 1}}, time.Second)
	tests := []struct {
		name string
		kind MessageKind
	}{{"pre-vote", MessagePreVote}, {"vote", MessageVote}}
	for _, test := range tests {
		out := core.Step(Receive{Message{Kind: test.kind, From: "c", To: "a", Term: 9, LastIndex: 99, LastTerm: 8}}, time.Second+ElectionTimeout/2)
		if out.Messages[0].Granted || core.Status().Term != 1 {
			t.Errorf("%s: granted %t in term %d, want false in term 1", test.name, out.Messages[0].Granted, core.Status().Term)
		}
	}
}

func TestConfigChangeValidation(t *testing.T) {
	withLearner := Config{Voters: threeVoters.Voters, Learners: []NodeID{"d"}}
	promoted := Config{Voters: []NodeID{"a", "b", "c", "d"}}
	tests := []struct {
		name         string
		learnerMatch uint64
		config       Config
		wantRefused  bool
	}{
		{"add a learner", 0, Config{Voters: threeVoters.Voters, Learners: []NodeID{"d", "e"}}, false},
		{"make a non-member a voter", 0, Config{Voters: []NodeID{"a", "b", "c", "e"}, Learners: []NodeID{"d"}}, true},
		{"promote a lagging learner", 0, promoted, true},
		{"promote an up-to-date learner", 2, promoted, false},
		{"change two voters at once", 2, Config{Voters: []NodeID{"a", "d"}}, true},
		{"remove all voters", 2, Config{}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			core := newTestCore(t, PersistentState{})
			electLeader(t, core, 2*time.Second)
			ack(core, "b", 1, 2*time.Second)
			core.Step(ProposeConfig{Tag: 1, Config: withLearner}, 2*time.Second)
			ack(core, "b", 2, 2*time.Second)
			if test.learnerMatch > 0 {
				ack(core, "d", test.learnerMatch, 2*time.Second)
			}
			out := core.Step(ProposeConfig{Tag: 2, Config: test.config}, 2*time.Second)
			if got := out.ProposalResults[0].RefusalReason != ""; got != test.wantRefused {
				t.Fatalf("refusal reason %q, want refused %t", out.ProposalResults[0].RefusalReason, test.wantRefused)
			}
		})
	}
}

func TestConfigChangeIsRefusedWhileEarlierIsUncommitted(t *testing.T) {
	core := newTestCore(t, PersistentState{})
	electLeader(t, core, 2*time.Second)
	ack(core, "b", 1, 2*time.Second)
	core.Step(ProposeConfig{Tag: 1, Config: Config{Voters: threeVoters.Voters, Learners: []NodeID{"d"}}}, 2*time.Second)
	out := core.Step(ProposeConfig{Tag: 2, Config: threeVoters}, 2*time.Second)
	if out.ProposalResults[0].RefusalReason == "" {
		t.Fatal("second config change before the first was committed: accepted, want refused")
	}
}

func TestNonMemberNeitherVotesNorCampaigns(t *testing.T) {
	core, err := New("c/new", PersistentState{}, 0, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	out := core.Step(Receive{Message{Kind: MessageVote, From: "b", To: "c/new", Term: 3}}, 0)
	if out.Messages[0].Granted {
		t.Fatal("vote request to a non-member: granted, want refused")
	}
	if out = core.Step(Tick{}, time.Hour); len(out.Messages) != 0 {
		t.Fatal("vote requests of a non-member after an hour: got some, want none")
	}
}

func TestHarnessDetectsUnsavedWrites(t *testing.T) {
	for seed := range uint64(30) {
		c := newCluster(seed, 3)
		c.dropsWrites = true
		for i := range stepsPerRun {
			c.now += stepTime / 4
			c.randomStep(i)
		}
		c.settle()
		c.checkDurability()
		if len(c.violations) > 0 {
			return
		}
	}
	t.Fatal("30 runs that drop all writes: got no violation, want at least one")
}
