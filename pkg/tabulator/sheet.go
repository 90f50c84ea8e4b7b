// A sheet is the table as comma-separated values, the form operators edit:
//
//	service,data-centre,weight,slots,connections,deadline-ms,min-coverage,hedge-percent,state,revision
//	customs-desk-01,ub-a,100,2,25,52,0.98,4,in,17
//
// The revision column names the version that the edit rests on.

package tabulator

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	columnService = iota
	columnDataCentre
	columnWeight
	columnSlots
	columnConnections
	columnDeadline
	columnMinCoverage
	columnHedgePercent
	columnState
	columnRevision
	columnCount
)

var columnNames = []string{
	"service", "data-centre", "weight", "slots", "connections", "deadline-ms", "min-coverage", "hedge-percent", "state", "revision",
}

// SheetFault names a bad cell by line and column.
type SheetFault struct {
	line   int
	column string
	reason string
}

func (f SheetFault) Error() string {
	return fmt.Sprintf("line %d, column %s: %s", f.line, f.column, f.reason)
}

// Columns returns the column names in order.
func Columns() []string { return append([]string(nil), columnNames...) }

// Cells returns the row as text, in the order of Columns.
func (f RowFields) Cells() []string {
	return []string{
		f.Service, f.DataCentre, strconv.Itoa(f.Weight), strconv.Itoa(f.Slots), strconv.Itoa(f.Connections),
		strconv.Itoa(f.DeadlineMs), strconv.FormatFloat(f.MinCoverage, 'g', -1, 64),
		strconv.FormatFloat(f.HedgePercent, 'g', -1, 64), string(f.State), strconv.FormatUint(f.Revision, 10),
	}
}

// WriteSheet writes rows as comma-separated values with a header.
func WriteSheet(w io.Writer, rows []RowFields) error {
	writer := csv.NewWriter(w)
	records := [][]string{columnNames}
	for _, row := range rows {
		records = append(records, row.Cells())
	}
	return errors.Wrap(writer.WriteAll(records), "write sheet")
}

// ReadSheet reads rows from comma-separated values and returns every bad cell together.
func ReadSheet(r io.Reader) ([]RowFields, []SheetFault, error) {
	reader := csv.NewReader(r)
	reader.FieldsPerRecord = -1
	records, err := reader.ReadAll()
	if err != nil {
		return nil, nil, errors.Wrap(err, "read sheet")
	}
	if len(records) == 0 {
		return nil, nil, errors.New("read sheet: it is empty; start from `lovagedeck table get`")
	}
	if err := checkHeader(records[0]); err != nil {
		return nil, nil, err
	}
	var rows []RowFields
	var faults []SheetFault
	for i, record := range records[1:] {
		row, bad := readRecord(record, i+2)
		rows = append(rows, row)
		faults = append(faults, bad...)
	}
	return rows, faults, nil
}

func checkHeader(header []string) error {
	if len(header) != columnCount {
		return errors.Errorf("read sheet: header has %d columns, expected %d", len(header), columnCount)
	}
	for i, name := range columnNames {
		if header[i] != name {
			return errors.Errorf("read sheet: column %d is %q, expected %q", i+1, header[i], name)
		}
	}
	return nil
}

func readRecord(record []string, line int) (RowFields, []SheetFault) {
	if len(record) != columnCount {
		reason := fmt.Sprintf("the line has %d cells, expected %d", len(record), columnCount)
		return RowFields{}, []SheetFault{{line: line, column: "all", reason: reason}}
	}
	var faults []SheetFault
	number := func(column int) int {
		value, err := strconv.Atoi(record[column])
		if err != nil {
			faults = append(faults, SheetFault{line, columnNames[column], fmt.Sprintf("%q is not a whole number", record[column])})
		}
		return value
	}
	fraction := func(column int) float64 {
		value, err := strconv.ParseFloat(record[column], 64)
		if err != nil {
			faults = append(faults, SheetFault{line, columnNames[column], fmt.Sprintf("%q is not a number", record[column])})
		}
		return value
	}
	row := RowFields{
		Service: record[columnService], DataCentre: record[columnDataCentre],
		Weight: number(columnWeight), Slots: number(columnSlots), Connections: number(columnConnections),
		DeadlineMs: number(columnDeadline), MinCoverage: fraction(columnMinCoverage),
		HedgePercent: fraction(columnHedgePercent), State: State(record[columnState]),
		Revision: uint64(max(0, number(columnRevision))),
	}
	if len(faults) > 0 {
		return row, faults
	}
	for _, fault := range checkFields(row) {
		faults = append(faults, SheetFault{line: line, column: fault.column, reason: fault.reason})
	}
	return row, faults
}
