// The administration API is HTTP with JSON bodies and a bearer token:
//
//	GET  /status                 state of this instance and of the control instances
//	GET  /table                  rows and data centres
//	POST /table                  {"change-id":"c1","operator":"bold","rows":[...]}
//	POST /data-centre            {"change-id":"c2","operator":"bold","name":"ub-a","state":"out","base":0}
//	GET  /changes/ID             the recorded outcome of a change
//	GET  /in-force/REVISION      how many instances act on a revision
//	GET  /history                accepted and refused changes
//	GET  /events                 the time line of this instance
//	GET  /traces and /traces/ID  kept queries
//	POST /control                {"action":"add-learner","node":"control-4/8d1f"}
//	GET  /metrics                metrics in the Prometheus text format

package operator

import (
	"time"

	"lovagedeck/pkg/controller"
	"lovagedeck/pkg/fellow"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/timeliner"
	"lovagedeck/pkg/tracer"
)

const (
	// OutcomeAccepted says that a majority has the change on disk.
	OutcomeAccepted ChangeOutcome = "accepted"
	// OutcomeConflict says that another change came first.
	OutcomeConflict ChangeOutcome = "conflict"
	// OutcomeInvalid says that cells cannot be held.
	OutcomeInvalid ChangeOutcome = "invalid"
	// OutcomeRefused says that the change was not taken and will not be.
	OutcomeRefused ChangeOutcome = "refused"
	// OutcomeUnknown says that the change may be accepted; ask again with its change id.
	OutcomeUnknown ChangeOutcome = "unknown"
)

type (
	// ChangeOutcome is the outcome of a change as a typed word.
	ChangeOutcome string

	// Change is the answer to a change.
	Change struct {
		Outcome   ChangeOutcome        `json:"outcome"`
		ChangeID  string               `json:"change-id"`
		Revision  uint64               `json:"revision"`
		Conflicts []tabulator.Conflict `json:"conflicts,omitempty"`
		Faults    []string             `json:"faults,omitempty"`
		Repeated  bool                 `json:"repeated,omitempty"`
		Advice    string               `json:"advice,omitempty"`
	}

	// Table is the table that is in force at an instance.
	Table struct {
		Revision      uint64                 `json:"revision"`
		TableRevision uint64                 `json:"table-revision"`
		Rows          []tabulator.RowFields  `json:"rows"`
		DataCentres   []tabulator.DataCentre `json:"data-centres"`
	}

	// ControlStatus is the state of one control instance.
	ControlStatus struct {
		Address  string            `json:"address"`
		Node     string            `json:"node"`
		Role     string            `json:"role"`
		Leader   string            `json:"leader"`
		Term     uint64            `json:"term"`
		Commit   uint64            `json:"commit"`
		Log      int               `json:"log-length"`
		Voters   []string          `json:"voters"`
		Learners []string          `json:"learners"`
		Match    map[string]uint64 `json:"match,omitempty"`
		Revision uint64            `json:"revision"`
		Sessions int               `json:"sessions"`
		Failed   string            `json:"failed,omitempty"`
	}

	// Status is the state of one instance.
	Status struct {
		Instance    string                      `json:"instance"`
		Incarnation string                      `json:"incarnation"`
		DataCentre  string                      `json:"data-centre"`
		Ready       bool                        `json:"ready"`
		Revision    uint64                      `json:"revision"`
		Epoch       uint64                      `json:"epoch"`
		Leafs       int                         `json:"leafs-owned"`
		Queries     int                         `json:"queries-open"`
		Members     []tabulator.MemberFields    `json:"members"`
		DataCentres []tabulator.DataCentre      `json:"data-centres"`
		Control     []ControlStatus             `json:"control"`
		Conditions  map[string]fellow.Condition `json:"conditions,omitempty"`
	}

	// InForce tells how many instances act on a revision.
	InForce struct {
		Revision   uint64        `json:"revision"`
		Acting     int           `json:"acting"`
		Members    int           `json:"members"`
		Everywhere bool          `json:"everywhere"`
		After      time.Duration `json:"after-ns"`
	}

	// Traces are kept queries.
	Traces struct {
		Traces []tracer.Trace `json:"traces"`
	}

	// Events is the time line of one instance.
	Events struct {
		Events []timeliner.Event `json:"events"`
	}

	// History has the changes of operators.
	History struct {
		Entries []tabulator.HistoryEntry `json:"entries"`
	}

	// ConfigureBody changes the control members by one.
	ConfigureBody struct {
		Action controller.ConfigAction `json:"action"`
		Node   string                  `json:"node"`
	}
)
