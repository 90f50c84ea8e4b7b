package tabulator

import (
	"fmt"
	"testing"
)

// Guards against renamed fields of stored and exchanged types: gob and msgpack write Go field names and ignore json tags, and
// the checksum of a view contains them, so builds with other names would lose the field or reject each other's views.
func TestEncodedFieldNames(t *testing.T) {
	tests := []struct {
		value any
		want  string
	}{
		{RowFields{}, "{Service: DataCentre: Weight:0 Slots:0 Connections:0 DeadlineMs:0 MinCoverage:0 HedgePercent:0 State: Revision:0}"},
		{DataCentre{}, "{Name: State: Revision:0}"},
		{MemberFields{}, "{Instance: Incarnation:0 DataCentre: FellowAddress: OperatorAddress: Via: Draining:false Joined:0 Revision:0}"},
	}
	for _, test := range tests {
		if got := fmt.Sprintf("%+v", test.value); got != test.want {
			t.Errorf("%T: got %s, want %s", test.value, got, test.want)
		}
	}
}
