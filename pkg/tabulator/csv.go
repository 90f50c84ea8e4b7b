// Operators edit the table as comma-separated values:
//
//	service,data-centre,weight,slots,connections,deadline-ms,min-coverage,hedge-percent,state,revision
//	customs-desk-01,ub-a,100,2,25,52,0.98,4,in,17
//
// The revision column holds the revision of the row that the edit is based on.

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

// CSVError reports an invalid cell by line, from 1, and column.
type CSVError struct {
	line   int
	column string
	reason string
}

func (e CSVError) Error() string {
	return fmt.Sprintf("line %d, column %s: %s", e.line, e.column, e.reason)
}

// Columns returns the column names in the order of the file.
func Columns() []string { return append([]string(nil), columnNames...) }

// Cells returns the row as text, in the order of Columns.
func (f RowFields) Cells() []string {
	return []string{
		f.Service, f.DataCentre, strconv.Itoa(f.Weight), strconv.Itoa(f.Slots), strconv.Itoa(f.Connections),
		strconv.Itoa(f.DeadlineMs), strconv.FormatFloat(f.MinCoverage, 'g', -1, 64),
		strconv.FormatFloat(f.HedgePercent, 'g', -1, 64), string(f.State), strconv.FormatUint(f.Revision, 10),
	}
}

// WriteCSV writes rows as comma-separated values with a header line.
func WriteCSV(w io.Writer, rows []RowFields) error {
	writer := csv.NewWriter(w)
	records := [][]string{columnNames}
	for _, row := range rows {
		records = append(records, row.Cells())
	}
	return errors.Wrap(writer.WriteAll(records), "write CSV")
}

// ReadCSV reads rows from comma-separated values and returns all invalid cells, or an error if the input has no valid header.
func ReadCSV(r io.Reader) ([]RowFields, []CSVError, error) {
	reader := csv.NewReader(r)
	reader.FieldsPerRecord = -1
	records, err := reader.ReadAll()
	if err != nil {
		return nil, nil, errors.Wrap(err, "read CSV")
	}
	if len(records) == 0 {
		return nil, nil, errors.New("read CSV: the input is empty; start from `lovagedeck table get`")
	}
	if err := checkHeader(records[0]); err != nil {
		return nil, nil, err
	}
	var rows []RowFields
	var cellErrors []CSVError
	for i, record := range records[1:] {
		// Line 1 is the header.
		row, rowErrors := parseRecord(record, i+2)
		rows = append(rows, row)
		cellErrors = append(cellErrors, rowErrors...)
	}
	return rows, cellErrors, nil
}

func checkHeader(header []string) error {
	if len(header) != columnCount {
		return errors.Errorf("read CSV: header has %d columns, expected %d", len(header), columnCount)
	}
	for i, name := range columnNames {
		if header[i] != name {
			return errors.Errorf("read CSV: column %d is %q, expected %q", i+1, header[i], name)
		}
	}
	return nil
}

func parseRecord(record []string, line int) (RowFields, []CSVError) {
	if len(record) != columnCount {
		reason := fmt.Sprintf("the line has %d cells, expected %d", len(record), columnCount)
		return RowFields{}, []CSVError{{line: line, column: "all", reason: reason}}
	}
	var cellErrors []CSVError
	parseInt := func(column int) int {
		value, err := strconv.Atoi(record[column])
		if err != nil {
			cellErrors = append(cellErrors, CSVError{line, columnNames[column], fmt.Sprintf("%q is not a whole number", record[column])})
		}
		return value
	}
	parseFloat := func(column int) float64 {
		value, err := strconv.ParseFloat(record[column], 64)
		if err != nil {
			cellErrors = append(cellErrors, CSVError{line, columnNames[column], fmt.Sprintf("%q is not a number", record[column])})
		}
		return value
	}
	row := RowFields{
		Service: record[columnService], DataCentre: record[columnDataCentre],
		Weight: parseInt(columnWeight), Slots: parseInt(columnSlots), Connections: parseInt(columnConnections),
		DeadlineMs: parseInt(columnDeadline), MinCoverage: parseFloat(columnMinCoverage),
		HedgePercent: parseFloat(columnHedgePercent), State: State(record[columnState]),
		Revision: uint64(max(0, parseInt(columnRevision))),
	}
	if len(cellErrors) > 0 {
		return row, cellErrors
	}
	for _, cellError := range checkFields(row) {
		cellErrors = append(cellErrors, CSVError{line: line, column: cellError.column, reason: cellError.reason})
	}
	return row, cellErrors
}
