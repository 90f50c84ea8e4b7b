package tabulator

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
)

func TestSheetRoundTrip(t *testing.T) {
	rows := []RowFields{validRow("customs-desk-01", "ub-a"), validRow("customs-desk-01", "ub-b")}
	var buffer bytes.Buffer
	if err := WriteSheet(&buffer, rows); err != nil {
		t.Fatal(err)
	}
	got, faults, err := ReadSheet(&buffer)
	if err != nil || len(faults) > 0 {
		t.Fatal(err, faults)
	}
	if !reflect.DeepEqual(got, rows) {
		t.Fatalf("read %+v, wrote %+v", got, rows)
	}
}

func TestBadSheets(t *testing.T) {
	header := strings.Join(Columns(), ",") + "\n"
	tests := []struct {
		name    string
		text    string
		columns []string
		err     bool
	}{
		{"empty", "", nil, true},
		{"wrong header", "a,b\n", nil, true},
		{"two bad cells together", header + "s,d,many,2,25,52,0.9,4,sideways,0\n", []string{"weight"}, false},
		{"limits", header + "s,d,1,0,25,52,1.5,4,gone,0\n", []string{"slots", "min-coverage", "state"}, false},
		{"short line", header + "s,d\n", []string{"all"}, false},
		{"not a number", header + "s,d,1,2,25,52,NaN,4,in,0\n", []string{"min-coverage"}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, faults, err := ReadSheet(strings.NewReader(test.text))
			if (err != nil) != test.err {
				t.Fatalf("error %v, want %t", err, test.err)
			}
			var columns []string
			for _, fault := range faults {
				columns = append(columns, fault.column)
			}
			if !reflect.DeepEqual(columns, test.columns) {
				t.Fatalf("faults in %v, want %v", columns, test.columns)
			}
		})
	}
}
