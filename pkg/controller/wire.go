package controller

import (
	"time"

	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/promoter"
	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/timeliner"
)

type (
	// StepQuery carries replicated-log messages from one control instance to another.
	StepQuery struct {
		Messages []replicator.Message
		Stamp    timeliner.Timestamp
	}

	// ReportQuery reports the sessions of a control instance to the leader.
	ReportQuery struct {
		From string
		// Sessions is the number of sessions by the revision that they act on.
		Sessions map[uint64]int
		// Requests is the number of requests of all sessions in the last window.
		Requests int
		// Roster is the stamp of the leaf roster that the sender has.
		Roster lister.RosterStamp
		// KnowsRollouts is set by builds that can apply roll-outs.
		KnowsRollouts bool
		// Rollouts holds what the sessions have seen of the roll-outs that run.
		Rollouts []RolloutReport
	}

	// ReportReply returns the leaf roster of the leader and the total request count.
	ReportReply struct {
		// Roster is the newer leaf roster, whole or as a delta, or nil if there is none.
		Roster *lister.Roster
		// Reading is the stamp of the roster of the leader and the time since the list of the platform was last read and matched it.
		Reading lister.Reading
		// Requests is the number of requests of all entry instances in the last window.
		Requests int
	}

	// AnnounceQuery requests that a node join the replicated log.
	AnnounceQuery struct {
		Node replicator.NodeID
	}

	// AnnounceReply contains the instances of the leader and of the voters as known to the answering instance.
	AnnounceReply struct {
		Leader  string
		Members []string
	}

	// RenewQuery requests or renews the lease of an entry instance.
	RenewQuery struct {
		Member tabulator.MemberFields
		// Have is the revision of the view that the instance acts on.
		Have uint64
		// Requests is the number of requests of the instance in the last window.
		Requests int
		// Roster is the stamp of the leaf roster that the instance has.
		Roster lister.RosterStamp
		Stamp  timeliner.Timestamp
		// Rollouts is what the instance has seen of the roll-outs that run, while it acted on the view of revision Have.
		Rollouts []promoter.Evidence
	}

	// RenewReply grants a lease and updates the view, or gives the reason for a refusal.
	RenewReply struct {
		Granted bool
		Reason  string
		// Delta contains the changes of the view since RenewQuery.Have.
		Delta tabulator.Delta
		// Roster is the newer leaf roster, whole or as a delta, or nil if there is none.
		Roster *lister.Roster
		// Reading is the stamp of the roster of the control instance, and the time since the list of the platform was last read and matched it.
		Reading lister.Reading
		// Requests is the number of requests of all entry instances in the last window, or 0 if unknown.
		Requests int
		// Control lists the addresses of the control instances. If empty, the client keeps the ones it knows.
		Control []string
		// Renewal is the interval until the next renewal. If 0, the client keeps its own.
		Renewal time.Duration
		Stamp   timeliner.Timestamp
	}

	// ProposeQuery requests that an encoded command be committed to the log.
	ProposeQuery struct {
		Command []byte
		// Forwarded is set by a control instance that forwards the query to the leader. A forwarded query is not forwarded again.
		Forwarded bool
	}

	// ProposeReply is the outcome of a command.
	ProposeReply struct {
		Result tabulator.Result
		// Unknown means that the command may still be accepted.
		Unknown bool
		// Refused is the reason why the command was not proposed.
		Refused string
	}

	// LookupQuery requests the recorded outcome of a change.
	LookupQuery struct {
		ChangeID string
	}

	// LookupReply is the recorded outcome of a change.
	LookupReply struct {
		// Known reports whether an outcome is recorded.
		Known bool
		// Fresh reports whether a majority confirmed that the read is up to date.
		Fresh  bool
		Result tabulator.Result
	}

	// InForceQuery requests the number of entry instances that act on a view of at least the revision.
	InForceQuery struct {
		Revision  uint64
		Forwarded bool
	}

	// InForceReply tells how far a revision is in force.
	InForceReply struct {
		// Acting is the number of entry instances that act on the revision or a later one.
		Acting int
		// Members is the number of registered entry instances.
		Members int
		// Everywhere reports whether no entry instance can act on an older revision: all act on it, or every lease granted before
		// it has expired.
		Everywhere bool
		// After is the time since the leader applied the revision, or since its role last changed if it no longer has that time.
		After time.Duration
		// Refused is the reason why no count is given.
		Refused string
	}

	// RolloutQuery requests the newest roll-out of a service.
	RolloutQuery struct {
		Service   string
		Forwarded bool
	}

	// RolloutReply is the newest roll-out of a service as the leader knows it.
	RolloutReply struct {
		// Known reports whether the service has had a roll-out.
		Known  bool
		Status RolloutStatus
		// Steps are the changes of the roll-out, oldest first.
		Steps []tabulator.HistoryEntry
		// Refused is the reason why no roll-out is given.
		Refused string
	}

	// HistoryQuery requests the accepted and refused operator changes.
	HistoryQuery struct{}

	// HistoryReply contains the operator changes, oldest first.
	HistoryReply struct {
		// Fresh reports whether a majority confirmed that the read is up to date.
		Fresh   bool
		Entries []tabulator.HistoryEntry
	}

	// StatusQuery requests the state of a control instance.
	StatusQuery struct{}

	// StatusReply is the state of a control instance.
	StatusReply struct {
		Status replicator.Status
		// Revision is the revision of the state machine.
		Revision uint64
		// Sessions is the number of leases held through this instance.
		Sessions int
		// Failed is the error after which the instance stopped acknowledging, or empty.
		Failed string
	}

	// ConfigQuery requests that one control node be added, promoted or removed.
	ConfigQuery struct {
		Action    ConfigAction
		Node      replicator.NodeID
		Forwarded bool
	}

	// ConfigReply is the outcome of a ConfigQuery.
	ConfigReply struct {
		Refused string
		Unknown bool
	}

	// ConfigAction is the kind of a change to the control nodes.
	ConfigAction string
)

const (
	// ActionAddLearner adds a node as a non-voting member, or takes the vote of a voter.
	ActionAddLearner ConfigAction = "add-learner"
	// ActionPromote makes a learner a voter.
	ActionPromote ConfigAction = "promote"
	// ActionRemove removes a voter or a learner.
	ActionRemove ConfigAction = "remove"
)
