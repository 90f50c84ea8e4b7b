package fellow

import (
	"strings"
	"testing"

	"lovagedeck/pkg/tabulator"
)

type recorder struct {
	asks, cancels, replies int
}

func (r *recorder) OnAsks(_ tabulator.MemberID, _ string, asks []Ask)  { r.asks += len(asks) }
func (r *recorder) OnCancels(_ tabulator.MemberID, ids []uint64)       { r.cancels += len(ids) }
func (r *recorder) OnReplies(_ tabulator.MemberID, replies []Reply)    { r.replies += len(replies) }
func (r *recorder) Holdings([]string) map[string][]Holding             { return nil }
func (r *recorder) Release(ReleaseQuery) []Released                    { return nil }
func (r *recorder) RunTicket(_ string, request []byte) ([]byte, error) { return request, nil }

func TestExchangeChecksIncarnationAndSequence(t *testing.T) {
	self := tabulator.MemberID{Instance: "e1", Incarnation: 5}
	from := tabulator.MemberID{Instance: "e2", Incarnation: 1}
	tests := []struct {
		name  string
		batch Batch
		taken int
		err   string
	}{
		{"first", Batch{From: from, To: self, Sequence: 10, Asks: make([]Ask, 2)}, 2, ""},
		{"repeated", Batch{From: from, To: self, Sequence: 10, Asks: make([]Ask, 2)}, 2, "came before"},
		{"out of order", Batch{From: from, To: self, Sequence: 9, Asks: make([]Ask, 1)}, 3, ""},
		{"for an earlier run", Batch{From: from, To: tabulator.MemberID{Instance: "e1", Incarnation: 4}, Sequence: 11, Asks: make([]Ask, 1)}, 3, wrongIncarnation},
		{"far ahead", Batch{From: from, To: self, Sequence: 10 + 2*sequenceWindow, Asks: make([]Ask, 1)}, 4, ""},
		{"too old to tell", Batch{From: from, To: self, Sequence: 8, Asks: make([]Ask, 1)}, 4, "came before"},
		{"of another run of the sender", Batch{From: tabulator.MemberID{Instance: "e2", Incarnation: 2}, To: self, Sequence: 10, Asks: make([]Ask, 1)}, 5, ""},
	}
	handler := &recorder{}
	service := NewService(self, handler)
	for _, test := range tests {
		err := service.Exchange(test.batch, &struct{}{})
		if (err == nil) != (test.err == "") || (err != nil && !strings.Contains(err.Error(), test.err)) {
			t.Errorf("%s: error %v, want %q", test.name, err, test.err)
		}
		if handler.asks != test.taken {
			t.Errorf("%s: %d asks taken, want %d", test.name, handler.asks, test.taken)
		}
	}
}
