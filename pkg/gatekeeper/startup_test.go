package gatekeeper

import (
	"net/http"
	"testing"
	"time"

	"lovagedeck/pkg/router"
)

func TestPlanStartup(t *testing.T) {
	ms := time.Millisecond
	cases := []struct {
		name            string
		uptime, timeout time.Duration
		jitter          float64
		want            startupPlan
	}{
		{"retries when startup is complete", 300 * ms, 3000 * ms, 0, startupPlan{retryAfter: 600 * ms}},
		{"retries are spread", 300 * ms, 3000 * ms, 0.5, startupPlan{retryAfter: 800 * ms}},
		{"spread is limited by the timeout", 0, 2760 * ms, 0.5, startupPlan{retryAfter: 910 * ms}},
		{"waits because the retry would come too early", 300 * ms, 1200 * ms, 0.5, startupPlan{wait: 600 * ms, retryAfter: unreadyRetryAfter}},
		{"waits because startup is late", typicalStartupTime, 3000 * ms, 0.5, startupPlan{wait: 1500 * ms, retryAfter: unreadyRetryAfter}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := planStartup(c.uptime, c.timeout, c.jitter); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// All instances have lost power and the control instances take longer than usual to return, so that callers retry
// before there are routes.
func TestRequestWaitsForSlowStartup(t *testing.T) {
	tier := newTier(t, "card")
	startedAt := time.Now().Add(-typicalStartupTime)
	tier.gate.config.Now = func() time.Duration { return time.Since(startedAt) }
	statuses := make(chan int, 1)
	go func() {
		response, _ := tier.request(http.MethodGet, "/p/x", nil)
		if response == nil {
			statuses <- 0
			return
		}
		statuses <- response.StatusCode
	}()
	time.Sleep(50 * time.Millisecond)
	tier.setRoute(router.RouteFields{Name: "card", Service: "card", MaxAttempts: 1})
	if got := <-statuses; got != http.StatusOK {
		t.Errorf("got status %d, want 200 from the leaf", got)
	}
}
