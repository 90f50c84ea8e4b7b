package gatekeeper

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"lovagedeck/pkg/explainer"
	"lovagedeck/pkg/recorder"
	"lovagedeck/pkg/router"
)

// Each cause is injected, the request is made, and the sentence from the logs must name the cause.
func TestLogsNameTheCause(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	card := router.RouteFields{Name: "card", Service: "card", MaxAttempts: 2, Timeout: 300 * time.Millisecond}
	safe := card
	safe.Idempotent = true
	sweep := router.RouteFields{
		Name: "sweep", Shards: []string{"s1", "s2", "s3", "s4"}, MaxAttempts: 2, Idempotent: true, Objective: 120 * time.Millisecond,
		Timeout: 300 * time.Millisecond, TopRecords: 2, MinCoverage: 0.75,
	}
	all := func(handle http.HandlerFunc) map[int]http.HandlerFunc {
		return map[int]http.HandlerFunc{0: handle, 1: handle, 2: handle, 3: handle}
	}
	cases := []struct {
		name    string
		route   *router.RouteFields
		leafs   []string
		handles map[int]http.HandlerFunc
		closed  []int
		want    []string
	}{
		{"passed on", &card, []string{"card"}, nil, nil, []string{"passed on", "card-0"}},
		{"leafs full", &card, []string{"card", "card"}, all(shed), nil, []string{"ended with 503", "refused without running it", "card-0", "card-1"}},
		{"leaf fails", &card, []string{"card"}, all(status(500)), nil, []string{"the answer 500 of leaf card-0", "failed: card-0"}},
		{"leaf breaks off", &card, []string{"card", "card"}, all(breakOff), nil, []string{"ended with 502", "broke off"}},
		{"leaf silent", &card, []string{"card"}, all(hang), nil, []string{"ended with 504", "no answer in time", "silent: card-0"}},
		{"leaf not reached", &safe, []string{"card"}, nil, []int{0}, []string{"ended with 503", "could not be reached", "not reached: card-0"}},
		{"no leaf", &card, []string{"card"}, nil, []int{-1}, []string{"ended with 503", "no leaf of the service is known"}},
		{"shard fails", &sweep, sweep.Shards, map[int]http.HandlerFunc{2: status(500)}, nil, []string{"3 parts", "left out", "s3(s3-2:failed)", "failed: s3-2"}},
		{"shard silent", &sweep, sweep.Shards, map[int]http.HandlerFunc{1: hang}, nil, []string{"3 parts", "left out", "s2(s2-1:silent)"}},
		{"shards fail", &sweep, sweep.Shards, all(status(500)), nil, []string{"ended with 502", "too few shards answered, and no more can", "share this cause: failed: s"}},
		{"shards silent", &sweep, sweep.Shards, all(hang), nil, []string{"ended with 504", "too few shards answered in time", "share this cause: silent", "s1-0", "s4-3"}},
		{"no route", &card, []string{"card"}, nil, []int{-2}, []string{"ended with 404", "no route"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tier := newTier(t, c.leafs...)
			var out lockedBuffer
			lines := recorder.New(&out)
			log := lines.Logger("entry", "info").WithValues("instance", "entry-1")
			tier.gate.config.Log, tier.gate.fleet.log = log, log
			for i, handle := range c.handles {
				if i < len(tier.leafs) {
					tier.leafs[i].set(handle)
				}
			}
			path := "/p/x"
			for _, i := range c.closed {
				if i >= 0 {
					// Closed before the route is known: no connection is opened ahead, which the close would break.
					_ = tier.leafs[i].server.Close()
				}
			}
			tier.route(*c.route)
			for _, i := range c.closed {
				switch i {
				case -1:
					tier.leafs = nil
					tier.list()
				case -2:
					path = "/elsewhere"
				}
			}
			tier.ask(http.MethodPost, path, nil)
			_ = lines.Sync()
			course := explainer.New("r-1")
			if err := course.Read(strings.NewReader(out.text())); err != nil {
				t.Fatal(err)
			}
			sentence := course.Sentence()
			for _, want := range append(c.want, "entry-1") {
				if !strings.Contains(sentence, want) {
					t.Errorf("the sentence does not say %q: %s", want, sentence)
				}
			}
		})
	}
}

type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

var _ io.Writer = (*lockedBuffer)(nil)
