// The administration API is HTTP with JSON bodies and a bearer token:
//
//	GET  /status                 state of this instance and of the control instances
//	GET  /table                  rows and data centres of the table
//	POST /table                  {"change-id":"c1","operator":"bold","rows":[...]}
//	POST /data-centre            {"change-id":"c2","operator":"bold","name":"ub-a","state":"out","base":0}
//	GET  /changes/ID             recorded outcome of a change
//	GET  /in-force/REVISION      how many instances use a table revision
//	GET  /history                accepted and refused changes
//	GET  /events                 timeline of this instance
//	GET  /traces and /traces/ID  traces of the slowest queries, or of one query
//	POST /control                {"action":"add-learner","node":"control-4/8d1f"}
//	GET  /metrics                metrics in the Prometheus text format

package operator

import (
	"time"

	"lovagedeck/pkg/controller"
	"lovagedeck/pkg/peer"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/timeliner"
	"lovagedeck/pkg/tracer"
)

const (
	// OutcomeAccepted means that a majority of the control instances has stored the change on disk.
	OutcomeAccepted ChangeOutcome = "accepted"
	// OutcomeConflict means that the change is based on rows that another change has modified since.
	OutcomeConflict ChangeOutcome = "conflict"
	// OutcomeInvalid means that the change contains invalid values.
	OutcomeInvalid ChangeOutcome = "invalid"
	// OutcomeRefused means that the change was rejected and will not take effect.
	OutcomeRefused ChangeOutcome = "refused"
	// OutcomeUnknown means that the change may or may not be accepted, and that its outcome can be queried by its change id.
	OutcomeUnknown ChangeOutcome = "unknown"
)

type (
	// ChangeOutcome is the outcome of a change.
	ChangeOutcome string

	// ChangeResult is the response to a change.
	ChangeResult struct {
		Outcome   ChangeOutcome        `json:"outcome"`
		ChangeID  string               `json:"change-id"`
		Revision  uint64               `json:"revision"`
		Conflicts []tabulator.Conflict `json:"conflicts,omitempty"`
		// Errors describes the invalid values, or holds the reason if the change was refused or its outcome is unknown.
		Errors []string `json:"faults,omitempty"`
		// IsRepeated is set if the change id had been processed before and this is the outcome recorded then.
		IsRepeated bool `json:"repeated,omitempty"`
		// Advice tells the operator what to do about a conflict or an unknown outcome.
		Advice string `json:"advice,omitempty"`
	}

	// Table is the table that an instance currently uses.
	Table struct {
		Revision      uint64                 `json:"revision"`
		TableRevision uint64                 `json:"table-revision"`
		Rows          []tabulator.RowFields  `json:"rows"`
		DataCentres   []tabulator.DataCentre `json:"data-centres"`
	}

	// ControlStatus is the state of one control instance and of its replicated log.
	ControlStatus struct {
		Address string `json:"address"`
		Node    string `json:"node"`
		Role    string `json:"role"`
		Leader  string `json:"leader"`
		Term    uint64 `json:"term"`
		Commit  uint64 `json:"commit"`
		// LogLength is the number of entries in the replicated log.
		LogLength int      `json:"log-length"`
		Voters    []string `json:"voters"`
		Learners  []string `json:"learners"`
		// MatchIndexes holds the index of the last log entry that each member is known to have stored.
		MatchIndexes map[string]uint64 `json:"match,omitempty"`
		Revision     uint64            `json:"revision"`
		// Sessions is the number of leases that are held through this control instance.
		Sessions int `json:"sessions"`
		// Error is the error after which this control instance stopped acknowledging, or empty.
		Error string `json:"failed,omitempty"`
	}

	// Status is the state of one instance.
	Status struct {
		Instance    string `json:"instance"`
		Incarnation string `json:"incarnation"`
		DataCentre  string `json:"data-centre"`
		IsReady     bool   `json:"ready"`
		Revision    uint64 `json:"revision"`
		Epoch       uint64 `json:"epoch"`
		// OwnedLeafs is the number of leafs that this instance owns.
		OwnedLeafs int `json:"leafs-owned"`
		// OpenQueries is the number of queries that are running at this instance.
		OpenQueries int                       `json:"queries-open"`
		Members     []tabulator.MemberFields  `json:"members"`
		DataCentres []tabulator.DataCentre    `json:"data-centres"`
		Control     []ControlStatus           `json:"control"`
		Conditions  map[string]peer.Condition `json:"conditions,omitempty"`
	}

	// InForce reports how many instances use a table revision.
	InForce struct {
		Revision uint64 `json:"revision"`
		// UpToDate is the number of instances that use this revision or a later one.
		UpToDate int `json:"acting"`
		Members  int `json:"members"`
		// IsEverywhere is set if no instance uses an earlier revision, because all use this one or older leases have expired.
		IsEverywhere bool `json:"everywhere"`
		// Elapsed is the time since the revision was accepted.
		Elapsed time.Duration `json:"after-ns"`
	}

	// Traces holds the traces of queries, slowest first.
	Traces struct {
		Traces []tracer.Trace `json:"traces"`
	}

	// Events holds events from the timeline of one instance, oldest first.
	Events struct {
		Events []timeliner.Event `json:"events"`
	}

	// History holds the recorded changes to the table.
	History struct {
		Entries []tabulator.HistoryEntry `json:"entries"`
	}

	// ConfigureBody is the request body to add, promote or remove one control node. Decoding errors in 400 answers contain its name.
	ConfigureBody struct {
		Action controller.ConfigAction `json:"action"`
		Node   string                  `json:"node"`
	}
)
