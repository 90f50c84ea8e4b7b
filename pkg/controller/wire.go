// Calls between control instances, and from entry instances to them, are
// net/rpc calls of the receiver named Control.

package controller

import (
	"time"

	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/timeliner"
)

type (
	// StepQuery carries messages of the replicated log.
	StepQuery struct {
		Messages []replicator.Message
		Stamp    timeliner.Stamp
	}

	// ReportQuery tells the leader which revisions the sessions of a control instance act on.
	ReportQuery struct {
		From     string
		Sessions map[uint64]int
		// Requests is how many requests the sessions had in the last window.
		Requests int
		Roster   lister.RosterStamp
	}

	// ReportReply brings the list of leafs where the leader has a newer one, tells how old its reading is, and how many
	// requests all entry instances had in the last window.
	ReportReply struct {
		Roster   *lister.Roster
		Reading  lister.Reading
		Requests int
	}

	// AnnounceQuery asks for a place in the replicated log.
	AnnounceQuery struct {
		Node replicator.NodeID
	}

	// AnnounceReply names the leader, as far as the asked instance knows it.
	AnnounceReply struct {
		Leader  string
		Members []string
	}

	// RenewQuery asks for a lease until the next renewal.
	RenewQuery struct {
		Member tabulator.MemberFields
		Have   uint64
		// Requests is how many requests the instance had in the last window.
		Requests int
		Roster   lister.RosterStamp
		Stamp    timeliner.Stamp
	}

	// RenewReply grants a lease and brings the view up to date.
	RenewReply struct {
		Granted bool
		Reason  string
		Delta   tabulator.Delta
		Roster  *lister.Roster
		Reading lister.Reading
		// Requests is how many requests all entry instances had in the last window, 0 where that is not known.
		Requests int
		Control  []string
		Renewal  time.Duration
		Stamp    timeliner.Stamp
	}

	// ProposeQuery asks for a command to be put into the log.
	ProposeQuery struct {
		Command   []byte
		Forwarded bool
	}

	// ProposeReply is the outcome of a command; Unknown means that it may still be accepted.
	ProposeReply struct {
		Result  tabulator.Result
		Unknown bool
		Refused string
	}

	// LookupQuery asks for the outcome of an earlier change.
	LookupQuery struct {
		ChangeID string
	}

	// LookupReply is the recorded outcome of a change, if there is one.
	LookupReply struct {
		Known  bool
		Fresh  bool
		Result tabulator.Result
	}

	// InForceQuery asks how many entry instances act on a revision.
	InForceQuery struct {
		Revision  uint64
		Forwarded bool
	}

	// InForceReply counts the entry instances that act on a revision; Everywhere also holds once every older lease has run out.
	InForceReply struct {
		Acting     int
		Members    int
		Everywhere bool
		After      time.Duration
		Refused    string
	}

	// HistoryQuery asks for the accepted and refused changes.
	HistoryQuery struct{}

	// HistoryReply has the changes, oldest first.
	HistoryReply struct {
		Fresh   bool
		Entries []tabulator.HistoryEntry
	}

	// StatusQuery asks for the state of a control instance.
	StatusQuery struct{}

	// StatusReply is the state of a control instance.
	StatusReply struct {
		Status   replicator.Status
		Revision uint64
		Sessions int
		Failed   string
	}

	// ConfigQuery changes the control members by one.
	ConfigQuery struct {
		Action    ConfigAction
		Node      replicator.NodeID
		Forwarded bool
	}

	// ConfigReply is the outcome of a change of the control members.
	ConfigReply struct {
		Refused string
		Unknown bool
	}

	// ConfigAction is a change of the control members.
	ConfigAction string
)

const (
	// ActionAddLearner adds a node that follows without a vote.
	ActionAddLearner ConfigAction = "add-learner"
	// ActionPromote gives a learner its vote.
	ActionPromote ConfigAction = "promote"
	// ActionRemove removes a node.
	ActionRemove ConfigAction = "remove"
)
