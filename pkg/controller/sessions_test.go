package controller

import (
	"testing"
	"time"

	"lovagedeck/pkg/lister"
)

// All instances start together, and entry instances wait for the list of leafs, which only the leader reads.
func TestInstanceWithoutAListAsksForItSoon(t *testing.T) {
	cases := []struct {
		name  string
		board *lister.RosterStore
		read  bool
		want  time.Duration
	}{
		{"no list yet", lister.NewRosterStore(func() time.Duration { return time.Second }), false, firstReport},
		{"a list", lister.NewRosterStore(func() time.Duration { return time.Second }), true, reportInterval},
		{"an instance that hands on no list", nil, false, reportInterval},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.read {
				c.board.Publish(1, []lister.RosterLeaf{{ID: "a"}})
			}
			server := &Server{config: ServerConfig{Board: c.board}}
			if got := server.reportPause(); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
