package controller

import (
	"testing"
	"time"

	"lovagedeck/pkg/lister"
)

// Guards against a slow start of the whole tier: only the leader reads the leaf roster, and entry instances wait for it.
func TestReportIntervalIsShorterWithoutRoster(t *testing.T) {
	cases := []struct {
		name        string
		rosterStore *lister.RosterStore
		read        bool
		want        time.Duration
	}{
		{"no roster yet", lister.NewRosterStore(func() time.Duration { return time.Second }), false, initialReportInterval},
		{"roster received", lister.NewRosterStore(func() time.Duration { return time.Second }), true, reportInterval},
		{"instance without a roster store", nil, false, reportInterval},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.read {
				c.rosterStore.Publish(1, []lister.RosterLeaf{{ID: "a"}}, time.Second)
			}
			server := &Server{config: ServerConfig{RosterStore: c.rosterStore}}
			if got := server.nextReportInterval(); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
