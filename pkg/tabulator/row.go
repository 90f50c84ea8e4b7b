// A row holds the weight and the limits of one service in one data centre:
//
//	service,data-centre,weight,slots,connections,deadline-ms,min-coverage,hedge-percent,state
//	customs-desk-01,ub-a,100,2,25,52,0.98,4,in

package tabulator

import (
	"fmt"
	"regexp"
	"time"

	"github.com/pkg/errors"
)

const (
	maxWeight      = 1_000_000
	maxSlots       = 10_000
	maxConnections = 100_000
	maxDeadline    = 60 * time.Second
)

const (
	// StateIn marks a row or a data centre as in service: it accepts new requests.
	StateIn State = "in"
	// StateOut marks a row or a data centre as out of service: it accepts no new requests.
	StateOut State = "out"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

type (
	// State is the service state of a row or a data centre.
	State string

	// Key identifies a row by its service and data centre.
	Key struct {
		Service    string `json:"service"`
		DataCentre string `json:"data-centre"`
	}

	// RowFields is the serialized form of a row, which may be invalid.
	RowFields struct {
		Service      string  `json:"service"`
		DataCentre   string  `json:"data-centre"`
		Weight       int     `json:"weight"`
		Slots        int     `json:"slots"`
		Connections  int     `json:"connections"`
		DeadlineMs   int     `json:"deadline-ms"`
		MinCoverage  float64 `json:"min-coverage"`
		HedgePercent float64 `json:"hedge-percent"`
		State        State   `json:"state"`
		Revision     uint64  `json:"revision"`
	}

	// Row is a validated row of the table.
	Row struct {
		fields RowFields
	}

	// CellError reports an invalid value in one column of a row.
	CellError struct {
		key    Key
		column string
		reason string
	}
)

// NewRow validates fields and returns the row, or a *CellError for each invalid cell.
func NewRow(fields RowFields) (Row, []*CellError) {
	cellErrors := checkFields(fields)
	if len(cellErrors) > 0 {
		return Row{}, cellErrors
	}
	return Row{fields: fields}, nil
}

// Fields returns the serialized form of the row.
func (r Row) Fields() RowFields { return r.fields }

// Key returns the service and data centre of the row.
func (r Row) Key() Key { return r.fields.key() }

// Weight returns the weight of the data centre relative to the other rows of the service; 0 means no requests.
func (r Row) Weight() int { return r.fields.Weight }

// Slots returns the maximum number of requests that a leaf runs concurrently.
func (r Row) Slots() int { return r.fields.Slots }

// Connections returns the maximum number of connections that a leaf accepts.
func (r Row) Connections() int { return r.fields.Connections }

// Deadline returns the maximum duration of a query.
func (r Row) Deadline() time.Duration {
	return time.Duration(r.fields.DeadlineMs) * time.Millisecond
}

// MinCoverage returns the minimum fraction of shards, from 0 to 1, with which a partial result may be returned early.
func (r Row) MinCoverage() float64 { return r.fields.MinCoverage }

// HedgePercent returns the maximum number of extra requests per 100 required requests.
func (r Row) HedgePercent() float64 { return r.fields.HedgePercent }

// State returns the service state of the row.
func (r Row) State() State { return r.fields.State }

// Revision returns the revision of the table at which the row last changed.
func (r Row) Revision() uint64 { return r.fields.Revision }

// String returns the key as service/data-centre.
func (k Key) String() string { return k.Service + "/" + k.DataCentre }

// Column returns the kebab-case name of the column with the invalid value.
func (e *CellError) Column() string { return e.column }

// Key returns the key of the row with the invalid value.
func (e *CellError) Key() Key { return e.key }

func (e *CellError) Error() string {
	return fmt.Sprintf("row %s, column %s: %s", e.key, e.column, e.reason)
}

func (f RowFields) key() Key {
	return Key{Service: f.Service, DataCentre: f.DataCentre}
}

func checkFields(f RowFields) []*CellError {
	var cellErrors []*CellError
	check := func(column string, err error) {
		if err != nil {
			cellErrors = append(cellErrors, &CellError{key: f.key(), column: column, reason: err.Error()})
		}
	}
	check("service", checkName(f.Service))
	check("data-centre", checkName(f.DataCentre))
	check("weight", checkRange(float64(f.Weight), 0, maxWeight))
	check("slots", checkRange(float64(f.Slots), 1, maxSlots))
	check("connections", checkRange(float64(f.Connections), 1, maxConnections))
	check("deadline-ms", checkRange(float64(f.DeadlineMs), 1, float64(maxDeadline.Milliseconds())))
	check("min-coverage", checkRange(f.MinCoverage, 0, 1))
	check("hedge-percent", checkRange(f.HedgePercent, 0, 100))
	check("state", checkState(f.State))
	return cellErrors
}

func checkName(name string) error {
	if namePattern.MatchString(name) {
		return nil
	}
	return errors.Errorf("%q is not a kebab-case name of at most 63 characters", name)
}

func checkRange(value, minimum, maximum float64) error {
	// NaN fails both comparisons.
	if value >= minimum && value <= maximum {
		return nil
	}
	return errors.Errorf("%g is not between %g and %g", value, minimum, maximum)
}

func checkState(state State) error {
	if state == StateIn || state == StateOut {
		return nil
	}
	return errors.Errorf("%q is neither %q nor %q", state, StateIn, StateOut)
}
