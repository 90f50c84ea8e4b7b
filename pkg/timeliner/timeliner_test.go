package timeliner

import (
	"testing"
	"time"
)

func TestEventsFollowTheirCauses(t *testing.T) {
	now := time.Unix(1000, 0)
	ahead := New("a", func() time.Time { return now.Add(time.Minute) })
	behind := New("b", func() time.Time { return now })
	ahead.Add("cause", "", "")
	behind.Observe(ahead.Now())
	behind.Add("effect", "", "")
	events := append(behind.Events(Filter{}), ahead.Events(Filter{})...)
	Sort(events)
	if events[0].Kind != "cause" || events[1].Kind != "effect" {
		t.Fatalf("%v comes before its cause", events[0])
	}
}

func TestFilter(t *testing.T) {
	now := time.Unix(1000, 0)
	line := New("a", func() time.Time { return now })
	line.Add("k1", "p1", "")
	now = now.Add(time.Minute)
	line.Add("k1", "p2", "")
	line.Add("k2", "p2", "")
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
		if got := len(line.Events(test.filter)); got != test.want {
			t.Errorf("%s: %d events, want %d", test.name, got, test.want)
		}
	}
}

func TestTimelineIsBounded(t *testing.T) {
	line := New("a", time.Now)
	for range 2 * keptEvents {
		line.Add("k", "", "")
	}
	if got := len(line.Events(Filter{})); got != keptEvents {
		t.Fatalf("%d events are kept", got)
	}
}
