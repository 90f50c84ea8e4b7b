package tabulator

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
)

func TestCSVIsReadAsWritten(t *testing.T) {
	rows := []RowFields{validRow("customs-desk-01", "ub-a"), validRow("customs-desk-01", "ub-b")}
	var buffer bytes.Buffer
	if err := WriteCSV(&buffer, rows); err != nil {
		t.Fatal(err)
	}
	got, cellErrors, err := ReadCSV(&buffer)
	if err != nil || len(cellErrors) > 0 {
		t.Fatalf("got error %v and invalid cells %v, want none", err, cellErrors)
	}
	if !reflect.DeepEqual(got, rows) {
		t.Fatalf("got %+v, want %+v", got, rows)
	}
}

func TestInvalidCSVIsRejected(t *testing.T) {
	header := strings.Join(Columns(), ",") + "\n"
	tests := []struct {
		name    string
		text    string
		columns []string
		wantErr bool
	}{
		{"empty", "", nil, true},
		{"wrong header", "a,b\n", nil, true},
		{"unparsable weight and invalid state", header + "s,d,many,2,25,52,0.9,4,sideways,0\n", []string{"weight"}, false},
		{"values out of range", header + "s,d,1,0,25,52,1.5,4,gone,0\n", []string{"slots", "min-coverage", "state"}, false},
		{"short line", header + "s,d\n", []string{"all"}, false},
		{"not a number", header + "s,d,1,2,25,52,NaN,4,in,0\n", []string{"min-coverage"}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, cellErrors, err := ReadCSV(strings.NewReader(test.text))
			if (err != nil) != test.wantErr {
				t.Fatalf("got error %v, want an error: %t", err, test.wantErr)
			}
			var columns []string
			for _, cellError := range cellErrors {
				columns = append(columns, cellError.column)
			}
			if !reflect.DeepEqual(columns, test.columns) {
				t.Fatalf("got errors in columns %v, want %v", columns, test.columns)
			}
		})
	}
}
