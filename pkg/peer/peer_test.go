package peer

import (
	"strings"
	"testing"

	"lovagedeck/pkg/tabulator"
)

type recordingHandler struct {
	requests, cancels, replies int
}

func (r *recordingHandler) OnRequests(_ tabulator.MemberID, _ string, requests []Request) {
	r.requests += len(requests)
}

func (r *recordingHandler) OnCancels(_ tabulator.MemberID, ids []uint64) { r.cancels += len(ids) }

func (r *recordingHandler) OnReplies(_ tabulator.MemberID, replies []Reply) {
	r.replies += len(replies)
}
func (r *recordingHandler) Holdings([]string) map[string][]Holding             { return nil }
func (r *recordingHandler) Release(ReleaseQuery) []ReleasedLeaf                { return nil }
func (r *recordingHandler) RunTicket(_ string, request []byte) ([]byte, error) { return request, nil }

func TestExchangeIncarnationAndSequence(t *testing.T) {
	self := tabulator.MemberID{Instance: "e1", Incarnation: 5}
	from := tabulator.MemberID{Instance: "e2", Incarnation: 1}
	tests := []struct {
		name         string
		batch        Batch
		wantRequests int
		wantErr      string
	}{
		{"first", Batch{From: from, To: self, Sequence: 10, Asks: make([]Request, 2)}, 2, ""},
		{"duplicate", Batch{From: from, To: self, Sequence: 10, Asks: make([]Request, 2)}, 2, "came before"},
		{"out of order", Batch{From: from, To: self, Sequence: 9, Asks: make([]Request, 1)}, 3, ""},
		{"for an earlier incarnation of the receiver", Batch{From: from, To: tabulator.MemberID{Instance: "e1", Incarnation: 4}, Sequence: 11, Asks: make([]Request, 1)}, 3, wrongIncarnation},
		{"far ahead", Batch{From: from, To: self, Sequence: 10 + 2*sequenceWindow, Asks: make([]Request, 1)}, 4, ""},
		{"older than the sequence window", Batch{From: from, To: self, Sequence: 8, Asks: make([]Request, 1)}, 4, "came before"},
		{"from another incarnation of the sender", Batch{From: tabulator.MemberID{Instance: "e2", Incarnation: 2}, To: self, Sequence: 10, Asks: make([]Request, 1)}, 5, ""},
	}
	handler := &recordingHandler{}
	service := NewService(self, handler)
	for _, test := range tests {
		err := service.Exchange(test.batch, &struct{}{})
		if (err == nil) != (test.wantErr == "") || (err != nil && !strings.Contains(err.Error(), test.wantErr)) {
			t.Errorf("%s: got error %v, want %q", test.name, err, test.wantErr)
		}
		if handler.requests != test.wantRequests {
			t.Errorf("%s: %d requests handled, want %d", test.name, handler.requests, test.wantRequests)
		}
	}
}
