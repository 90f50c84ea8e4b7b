// Messages, inputs and outputs of the core. The caller persists and syncs
// the writes of an output before it sends its messages or acts on its
// committed entries.

package replicator

import "time"

const (
	// EntryCommand holds a command of the state machine.
	EntryCommand EntryKind = iota
	// EntryConfig holds a Config.
	EntryConfig
	// EntryEmpty starts the term of a leader.
	EntryEmpty
)

const (
	// MessagePreVote asks whether a vote would be given.
	MessagePreVote MessageKind = iota + 1
	// MessagePreVoteReply answers MessagePreVote.
	MessagePreVoteReply
	// MessageVote asks for a vote.
	MessageVote
	// MessageVoteReply answers MessageVote.
	MessageVoteReply
	// MessageAppend carries entries, or none as a heartbeat.
	MessageAppend
	// MessageAppendReply answers MessageAppend and MessageSnapshot.
	MessageAppendReply
	// MessageSnapshot carries a snapshot to a follower that lags too far.
	MessageSnapshot
	// MessageConfirm asks the leader for an index that is fresh after the request.
	MessageConfirm
	// MessageConfirmReply answers MessageConfirm.
	MessageConfirmReply
)

type (
	// NodeID names a control instance together with its disk.
	NodeID string

	// EntryKind says what an entry holds.
	EntryKind uint8

	// MessageKind says what a message is.
	MessageKind uint8

	// Entry is one record of the log.
	Entry struct {
		Index uint64
		Term  uint64
		Kind  EntryKind
		Data  []byte
	}

	// Config lists who votes and who only follows.
	Config struct {
		Voters   []NodeID
		Learners []NodeID
	}

	// Snapshot stands for the log up to its index.
	Snapshot struct {
		Index  uint64
		Term   uint64
		Config Config
		Data   []byte
	}

	// Message goes from one node to another.
	Message struct {
		Kind      MessageKind
		From      NodeID
		To        NodeID
		Term      uint64
		LastIndex uint64
		LastTerm  uint64
		Granted   bool
		Entries   []Entry
		Commit    uint64
		Match     uint64
		Rejected  bool
		Round     uint64
		Snapshot  *Snapshot
		ConfirmID uint64
		Index     uint64
	}

	// Input is what happens to a core; it is Tick, Receive, Propose, ProposeConfig, Confirm or Compact.
	Input interface {
		isInput()
	}

	// Tick lets time-outs pass.
	Tick struct{}

	// Receive hands over a message.
	Receive struct {
		Message Message
	}

	// Propose appends a command where the core leads.
	Propose struct {
		Tag  uint64
		Data []byte
	}

	// ProposeConfig changes one member where the core leads.
	ProposeConfig struct {
		Tag    uint64
		Config Config
	}

	// Confirm asks for an index that is fresh after this moment.
	Confirm struct {
		ID uint64
	}

	// Compact drops the log up to an index that a snapshot of the state machine covers.
	Compact struct {
		Index uint64
		Data  []byte
	}

	// Write is what must be on disk before messages leave; it is SaveVote, SaveEntries or SaveSnapshot.
	Write interface {
		isWrite()
	}

	// SaveVote records the term and the vote in it.
	SaveVote struct {
		Term uint64
		Vote NodeID
	}

	// SaveEntries appends entries and drops any entries from the first index on.
	SaveEntries struct {
		Entries []Entry
	}

	// SaveSnapshot replaces the log up to the snapshot.
	SaveSnapshot struct {
		Snapshot Snapshot
	}

	// Proposed tells where a proposal went; an empty Refused means that it is in the leader's log.
	Proposed struct {
		Tag     uint64
		Index   uint64
		Term    uint64
		Refused string
	}

	// Confirmed answers a Confirm; OK is false where no majority answered.
	Confirmed struct {
		ID    uint64
		Index uint64
		OK    bool
	}

	// Output is what the caller has to do after a step, in the order of its fields.
	Output struct {
		Writes    []Write
		Messages  []Message
		Restore   *Snapshot
		Committed []Entry
		Proposed  []Proposed
		Confirmed []Confirmed
	}

	// Saved is what was found on disk.
	Saved struct {
		Term     uint64
		Vote     NodeID
		Snapshot Snapshot
		Entries  []Entry
	}
)

const (
	// HeartbeatInterval is the time between rounds of a leader without other work.
	HeartbeatInterval = 100 * time.Millisecond
	// ElectionTimeout is the shortest time without a leader before an election; the longest is twice that.
	ElectionTimeout = 500 * time.Millisecond
	// firstSpread is the time after a start in which the first election begins: the node whose start makes a majority is
	// elected at once, and a pre-vote does not disturb a leader that lives.
	firstSpread = 40 * time.Millisecond
	// soonElection is the shortest time before the next election after a split vote: a leader that lives sends within a
	// heartbeat interval.
	soonElection = 11 * HeartbeatInterval / 10
	// soonSpread is the random part on top, many times the way of a vote and of a sync: 10 ms.
	soonSpread = 150 * time.Millisecond

	maxEntriesPerMessage = 512
)

func (Tick) isInput()          {}
func (Receive) isInput()       {}
func (Propose) isInput()       {}
func (ProposeConfig) isInput() {}
func (Confirm) isInput()       {}
func (Compact) isInput()       {}

func (SaveVote) isWrite()     {}
func (SaveEntries) isWrite()  {}
func (SaveSnapshot) isWrite() {}

// Voter tells whether the node votes.
func (c Config) Voter(id NodeID) bool { return contains(c.Voters, id) }

// Learner tells whether the node follows without a vote.
func (c Config) Learner(id NodeID) bool { return contains(c.Learners, id) }

func (c Config) all() []NodeID {
	return append(append([]NodeID(nil), c.Voters...), c.Learners...)
}

func (c Config) majority() int { return len(c.Voters)/2 + 1 }

func contains(ids []NodeID, id NodeID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
