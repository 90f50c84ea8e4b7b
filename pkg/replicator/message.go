// The messages, inputs and outputs of Core. The caller must persist and sync the
// writes of an output before it sends the messages or applies the committed entries.

package replicator

import "time"

const (
	// EntryCommand is an entry with a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryConfig is an entry with an encoded Config.
	EntryConfig
	// EntryNoOp is an entry without data that a new leader appends at the start of its term.
	EntryNoOp
)

const (
	// MessagePreVote asks whether the receiver would grant a vote.
	MessagePreVote MessageKind = iota + 1
	// MessagePreVoteReply answers MessagePreVote.
	MessagePreVoteReply
	// MessageVote requests a vote.
	MessageVote
	// MessageVoteReply answers MessageVote.
	MessageVoteReply
	// MessageAppend carries log entries. Without entries it is a heartbeat.
	MessageAppend
	// MessageAppendReply answers MessageAppend and MessageSnapshot.
	MessageAppendReply
	// MessageSnapshot carries a snapshot to a follower that needs entries the leader has compacted.
	MessageSnapshot
	// MessageReadIndex requests a read index from the leader.
	MessageReadIndex
	// MessageReadIndexReply answers MessageReadIndex.
	MessageReadIndexReply
)

type (
	// NodeID identifies a control instance together with its disk.
	NodeID string

	// EntryKind is the type of a log entry.
	EntryKind uint8

	// MessageKind is the type of a message.
	MessageKind uint8

	// Entry is a log entry.
	Entry struct {
		Index uint64
		Term  uint64
		Kind  EntryKind
		Data  []byte
	}

	// Config lists the voters and the learners, which replicate the log without voting.
	Config struct {
		Voters   []NodeID
		Learners []NodeID
	}

	// Snapshot is the state of the state machine and the config after the entry at Index, which has the given Term.
	Snapshot struct {
		Index  uint64
		Term   uint64
		Config Config
		Data   []byte
	}

	// Message is a message between two nodes. Which fields are set depends on its Kind.
	Message struct {
		Kind MessageKind
		From NodeID
		To   NodeID
		Term uint64
		// LastIndex and LastTerm are the index and the term of a candidate's last entry, or of the entry before Entries.
		LastIndex uint64
		LastTerm  uint64
		Granted   bool
		Entries   []Entry
		// Commit is the commit index of the leader.
		Commit uint64
		// Match is the last index at which the sender's log matches the leader's. In a rejection it is the highest
		// index at which they may match.
		Match    uint64
		Rejected bool
		// Round is the number of the leader's round of heartbeats. Replies repeat it.
		Round    uint64
		Snapshot *Snapshot
		// ConfirmID identifies a read-index request.
		ConfirmID uint64
		// Index is the read index.
		Index uint64
		// Leaving is set in replies to MessageAppend and MessageSnapshot by a node that is about to stop.
		Leaving bool
	}

	// Input is an event for Core.Step: a Tick, Receive, Propose, ProposeConfig, ReadIndex, Compact or Leave.
	Input interface {
		isInput()
	}

	// Tick checks the timeouts against the current time.
	Tick struct{}

	// Receive delivers a message from another node.
	Receive struct {
		Message Message
	}

	// Propose appends a command to the log if this node is the leader. Its result carries the same Tag.
	Propose struct {
		Tag  uint64
		Data []byte
	}

	// ProposeConfig changes one member if this node is the leader. Its result carries the same Tag.
	ProposeConfig struct {
		Tag    uint64
		Config Config
	}

	// ReadIndex requests a read index: an index that is at least as high as every index committed before the request.
	ReadIndex struct {
		ID uint64
	}

	// Compact replaces the log up to an applied index by a snapshot of the state machine.
	Compact struct {
		Index uint64
		Data  []byte
	}

	// Leave makes this node state in its replies to the leader that it is about to stop.
	Leave struct{}

	// Write is a change to the persistent state: a SaveVote, SaveEntries or SaveSnapshot.
	Write interface {
		isWrite()
	}

	// SaveVote saves the current term and the node voted for in it.
	SaveVote struct {
		Term uint64
		Vote NodeID
	}

	// SaveEntries drops the saved entries from the first new index on, then appends the new entries.
	SaveEntries struct {
		Entries []Entry
	}

	// SaveSnapshot replaces the log up to the index of the snapshot.
	SaveSnapshot struct {
		Snapshot Snapshot
	}

	// ProposalResult is the result of a Propose or ProposeConfig. If RefusalReason is empty, the entry was appended to the leader's
	// log at Index in Term.
	ProposalResult struct {
		Tag           uint64
		Index         uint64
		Term          uint64
		RefusalReason string
	}

	// ReadIndexResult is the result of a ReadIndex request. If OK is false, no leader is known, or the leader or a majority did not
	// answer in time.
	ReadIndexResult struct {
		ID    uint64
		Index uint64
		OK    bool
	}

	// Output lists the actions that the caller has to carry out after a step, in the order of the fields.
	Output struct {
		Writes   []Write
		Messages []Message
		// Restore is a snapshot from the leader that replaces the state of the state machine.
		Restore          *Snapshot
		Committed        []Entry
		ProposalResults  []ProposalResult
		ReadIndexResults []ReadIndexResult
	}

	// PersistentState is the persistent state of a node, as read from its disk.
	PersistentState struct {
		Term     uint64
		Vote     NodeID
		Snapshot Snapshot
		Entries  []Entry
	}
)

const (
	// HeartbeatInterval is the time between the heartbeats of an idle leader.
	HeartbeatInterval = 100 * time.Millisecond
	// ElectionTimeout is the shortest time without a leader before an election. The longest time is twice as long.
	ElectionTimeout = 500 * time.Millisecond
	// initialElectionJitter is the longest time between the start of a node and its first election. It is short so that the
	// node whose start completes a majority is elected at once. The pre-vote keeps it from disrupting an active leader.
	initialElectionJitter = 40 * time.Millisecond
	// electionRetryTimeout is the shortest time before the next election after a split vote. It exceeds HeartbeatInterval because
	// an active leader sends a message within that interval.
	electionRetryTimeout = 11 * HeartbeatInterval / 10
	// electionRetryJitter is the range of the random delay added to electionRetryTimeout. It is many times the 10 ms that a vote
	// takes, including the sync to disk.
	electionRetryJitter = 150 * time.Millisecond

	maxEntriesPerMessage = 512
)

func (Tick) isInput()          {}
func (Receive) isInput()       {}
func (Propose) isInput()       {}
func (ProposeConfig) isInput() {}
func (ReadIndex) isInput()     {}
func (Compact) isInput()       {}
func (Leave) isInput()         {}

func (SaveVote) isWrite()     {}
func (SaveEntries) isWrite()  {}
func (SaveSnapshot) isWrite() {}

// HasVoter reports whether the config lists the node as a voter.
func (c Config) HasVoter(id NodeID) bool { return contains(c.Voters, id) }

// HasLearner reports whether the config lists the node as a learner.
func (c Config) HasLearner(id NodeID) bool { return contains(c.Learners, id) }

func (c Config) members() []NodeID {
	return append(append([]NodeID(nil), c.Voters...), c.Learners...)
}

func (c Config) quorum() int { return len(c.Voters)/2 + 1 }

func contains(ids []NodeID, id NodeID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
