package timeliner

import (
	"testing"
	"time"
)

// Guards against an effect that is sorted before its cause because its instance has a clock that is a minute behind.
func TestSortOrdersEventAfterCause(t *testing.T) {
	now := time.Unix(1000, 0)
	ahead := New("a", func() time.Time { return now.Add(time.Minute) })
	behind := New("b", func() time.Time { return now })
	ahead.Add("cause", "", "")
	behind.Observe(ahead.Now())
	behind.Add("effect", "", "")
	events := append(behind.Events(Filter{}), ahead.Events(Filter{})...)
	Sort(events)
	if events[0].Kind != "cause" || events[1].Kind != "effect" {
		t.Fatalf("got first event %v, want the cause before its effect", events[0])
	}
}

func TestEventsFilter(t *testing.T) {
	now := time.Unix(1000, 0)
	timeline := New("a", func() time.Time { return now })
	timeline.Add("k1", "p1", "")
	now = now.Add(time.Minute)
	timeline.Add("k1", "p2", "")
	timeline.Add("k2", "p2", "")
	tests := []struct {
		name   string
		filter Filter
		want   int
	}{
		{"all", Filter{}, 3},
		{"kind", Filter{Kind: "k1"}, 2},
		{"peer", Filter{Peer: "p2"}, 2},
		{"since", Filter{Since: time.Unix(1030, 0)}, 2},
		{"kind and peer", Filter{Kind: "k2", Peer: "p1"}, 0},
	}
	for _, test := range tests {
		if got := len(timeline.Events(test.filter)); got != test.want {
			t.Errorf("%s: got %d events, want %d", test.name, got, test.want)
		}
	}
}

func TestTimelineLimitsEvents(t *testing.T) {
	timeline := New("a", time.Now)
	for range 2 * maxEvents {
		timeline.Add("k", "", "")
	}
	if got := len(timeline.Events(Filter{})); got != maxEvents {
		t.Fatalf("got %d events, want %d", got, maxEvents)
	}
}
