package gatekeeper

import (
	"net/http"
	"testing"
	"time"

	"lovagedeck/pkg/router"
)

func TestPlanStart(t *testing.T) {
	ms := time.Millisecond
	cases := []struct {
		name              string
		running, patience time.Duration
		tie               float64
		want              startPlan
	}{
		{"comes back when the start is over", 300 * ms, 3000 * ms, 0, startPlan{retryAfter: 600 * ms}},
		{"comes back later than others", 300 * ms, 3000 * ms, 0.5, startPlan{retryAfter: 800 * ms}},
		{"has little time beyond the start", 0, 2760 * ms, 0.5, startPlan{retryAfter: 910 * ms}},
		{"would be back too early, and waits", 300 * ms, 1200 * ms, 0.5, startPlan{wait: 600 * ms, retryAfter: retryUnready}},
		{"came back to a late start, and waits", startTime, 3000 * ms, 0.5, startPlan{wait: 1500 * ms, retryAfter: retryUnready}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := planStart(c.running, c.patience, c.tie); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// All instances lost power, and the control instances need longer than usual: callers come back before there are routes.
func TestRequestAtALateStartIsServed(t *testing.T) {
	tier := newTier(t, "card")
	began := time.Now().Add(-startTime)
	tier.gate.config.Now = func() time.Duration { return time.Since(began) }
	answered := make(chan int, 1)
	go func() {
		response, _ := tier.ask(http.MethodGet, "/p/x", nil)
		if response == nil {
			answered <- 0
			return
		}
		answered <- response.StatusCode
	}()
	time.Sleep(50 * time.Millisecond)
	tier.route(router.RouteFields{Name: "card", Service: "card", MaxAttempts: 1})
	if got := <-answered; got != http.StatusOK {
		t.Errorf("status %d, want the answer of the leaf", got)
	}
}
