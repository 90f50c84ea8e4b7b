package promoter

import (
	"strings"
	"testing"
	"time"

	"lovagedeck/pkg/tabulator"
)

const (
	minute   = time.Minute
	halfMin  = 30 * time.Second
	twelve   = 12 * time.Second
	fewSeeds = 10
	// rollbackLimit is the stated time after the 50th bad answer from which a bad version gets nothing.
	rollbackLimit = 5 * time.Second
)

func after(start time.Duration) func(moment) bool {
	return func(m moment) bool { return m.at >= start }
}

// onNewByShare returns a probability for answers of the new version that grows with its share, up to the given one.
func onNewByShare(probability float64) func(moment) float64 {
	return func(m moment) float64 {
		if m.isNew {
			return probability * float64(m.share) / tabulator.WholeShare
		}
		return 0
	}
}

// Each case is a load pattern with a bad version. The version is rolled back, with the stated exposure at most, and gets nothing later than
// rollbackLimit after its 50th bad answer.
//
// The exposure limits wantBy: with N requests in the duration, of which T reach the new version before it gets all, at R requests/s, it gets
// all for (N/10 + 50 - T)/R at most. From "little time" on: (130-66)/200 s after 2.6 s; "under load" (530-251)/400 s after 10.2 s, of
// which 0.3 s are for a higher share than decided and 0.3 s for the spread of the roll-back; "under full load" (170-62)/100 s; "burst"
// (852-580)/400 s after 27 s. A step back adds 1.2 s to compare: (146-62)/120 s after 6.6 s and (1250-626)/1000 s after 10.2 s.
// For all others the time below is shorter than that.
func TestBadVersionIsRolledBackWithinTheExposure(t *testing.T) {
	cases := []struct {
		name   string
		replay replay
		// wantBy is the time by which the version is rolled back.
		wantBy time.Duration
	}{
		{"at once", replay{duration: twelve, rate: steadily(200), failure: onNew(0.3, after(0))}, 5 * time.Second},
		{"slow at once", replay{duration: twelve, rate: steadily(200), slowness: onNew(0.5, after(0))}, 4 * time.Second},
		{"at once with little time", replay{duration: 4 * time.Second, rate: steadily(200), failure: onNew(0.5, after(0))}, 2900 * time.Millisecond},
		{"later", replay{duration: twelve, rate: steadily(200), failure: onNew(0.4, after(5*time.Second))}, 8 * time.Second},
		{"later, after failures of both versions", replay{duration: 2 * minute, rate: steadily(200), badFrom: minute, failure: func(m moment) float64 {
			if m.at < minute {
				return 0.15
			}
			return onNew(0.3, after(0))(m)
		}}, minute + 8*time.Second},
		{"late in a long roll-out", replay{duration: 10 * minute, rate: steadily(100), failure: onNew(0.3, after(7*minute))}, 7*minute + 15*time.Second},
		{"under load", replay{duration: twelve, rate: steadily(400), failure: onNew(0.5, func(m moment) bool { return m.share >= middleShare })}, 10900 * time.Millisecond},
		{"under full load", replay{duration: twelve, rate: steadily(100), failure: onNew(0.5, func(m moment) bool { return m.share > middleShare })}, 11280 * time.Millisecond},
		{"the busier the more", replay{duration: 8 * time.Second, rate: steadily(120), failure: onNewByShare(0.12), delay: usualDelay}, 8500 * time.Millisecond},
		{"the busier the more, many requests", replay{duration: twelve, rate: steadily(1000), failure: onNewByShare(0.12)}, twelve},
		{"on one route", replay{
			duration: halfMin, rate: steadily(200), routes: map[string]float64{"busy": 0.95, "rare": 0.05},
			failure: func(m moment) float64 {
				if m.route == "busy" {
					return 0.2
				}
				return onNew(1, after(0))(m)
			},
		}, 28 * time.Second},
		{"few requests", replay{duration: halfMin, rate: steadily(3), failure: onNew(0.5, after(0))}, 28 * time.Second},
		{"burst after few requests", replay{
			duration: halfMin, failure: onNew(0.2, after(25*time.Second)),
			rate: func(at time.Duration) float64 {
				if at > 10*time.Second {
					return 400
				}
				return 2
			},
		}, 27700 * time.Millisecond},
		{"another leader", replay{duration: twelve, rate: steadily(200), failure: onNew(0.4, after(5*time.Second)), newLeaderAt: 6 * time.Second}, 8 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(fewSeeds) {
				got := c.replay.run(seed)
				if got.rollout.State != tabulator.RolloutRolledBack || got.endedAt > c.wantBy || got.rollout.Share != 0 {
					t.Errorf("seed %d: got %s with share %d at %v (%s), want rolled back by %v", seed, got.rollout.State, got.rollout.Share, got.endedAt, got.rollout.Reason, c.wantBy)
				}
				if limit := got.fiftiethBadAt + rollbackLimit; got.fiftiethBadAt > 0 && got.lastNewAt > limit {
					t.Errorf("seed %d: the version got a request at %v, want none after %v", seed, got.lastNewAt, limit)
				}
				if permitted := 0.1*got.total + 50; got.exposed > permitted {
					t.Errorf("seed %d: the version got %g of %g requests, want at most %g (%s)", seed, got.exposed, got.total, permitted, got.rollout.Reason)
				}
			}
		})
	}
}

// Each case is a load pattern with a version that is bad under load only, whose leader is lost before enough was seen.
func TestAnotherLeaderDoesNotCompleteABadVersion(t *testing.T) {
	cases := []struct {
		name   string
		replay replay
	}{
		{"while the new version gets all", replay{leaderlessFrom: 10500 * time.Millisecond, newLeaderAt: 11500 * time.Millisecond, failure: onNewByShare(0.12)}},
		{"in the step before", replay{leaderlessFrom: 9500 * time.Millisecond, newLeaderAt: twelve, failure: onNewByShare(0.12)}},
		{"in the step before, in time", replay{leaderlessFrom: 9500 * time.Millisecond, newLeaderAt: 10 * time.Second, failure: onNewByShare(0.12)}},
		{"in the trial, until after the end", replay{leaderlessFrom: 8 * time.Second, newLeaderAt: 14 * time.Second, failure: onNewByShare(0.12)}},
		{"after the step back", replay{leaderlessFrom: 11 * time.Second, newLeaderAt: 11500 * time.Millisecond, failure: onNewByShare(0.12)}},
		{"half of all answers", replay{leaderlessFrom: 10300 * time.Millisecond, newLeaderAt: 15 * time.Second, failure: onNew(0.5, func(m moment) bool { return m.share > middleShare })}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.replay.duration, c.replay.rate = twelve, steadily(200)
			for seed := range uint64(fewSeeds) {
				got := c.replay.run(seed)
				if got.rollout.State != tabulator.RolloutRolledBack {
					t.Errorf("seed %d: got %s at %v (%s), want rolled back", seed, got.rollout.State, got.endedAt, got.rollout.Reason)
				}
				if limit := max(c.replay.newLeaderAt, got.fiftiethBadAt) + rollbackLimit; got.lastNewAt > limit {
					t.Errorf("seed %d: the version got a request at %v, want none after %v", seed, got.lastNewAt, limit)
				}
			}
		})
	}
}

// Two changes of the share take 0.35 s each to be in force, and two watches 1.2 s each at most.
func TestGoodVersionIsCompletedAfterTheLossOfAllLeaders(t *testing.T) {
	const newLeaderAt, limit = 14 * time.Second, 3200 * time.Millisecond
	for seed := range uint64(fewSeeds) {
		got := replay{duration: twelve, rate: steadily(200), leaderlessFrom: 8 * time.Second, newLeaderAt: newLeaderAt}.run(seed)
		if got.rollout.State != tabulator.RolloutCompleted || got.endedAt > newLeaderAt+limit {
			t.Errorf("seed %d: got %s at %v (%s), want completed by %v", seed, got.rollout.State, got.endedAt, got.rollout.Reason, newLeaderAt+limit)
		}
	}
}

// Trouble of both versions ends a step back: the old one fails as well.
func TestTroubleOfBothVersionsIsComparedAfterAStepBack(t *testing.T) {
	got := replay{duration: halfMin, rate: steadily(400), failure: func(m moment) float64 {
		if m.at >= 27*time.Second {
			return 0.12
		}
		return 0
	}}.run(1)
	if got.rollout.State != tabulator.RolloutCompleted || got.changes != 6 {
		t.Errorf("got %s after %d changes (%s), want completed after trial, two steps, step back and whole again", got.rollout.State, got.changes, got.rollout.Reason)
	}
}

// Each case is a load pattern with a good version. It is completed within the duration.
func TestGoodVersionIsCompletedInTime(t *testing.T) {
	during := func(from, to time.Duration, probability float64) func(moment) float64 {
		return func(m moment) float64 {
			if m.at >= from && m.at < to {
				return probability
			}
			return 0
		}
	}
	cases := []struct {
		name   string
		replay replay
	}{
		{"steady", replay{duration: twelve, rate: steadily(200)}},
		{"two seconds", replay{duration: 2 * time.Second, rate: steadily(40)}},
		{"four seconds", replay{duration: 4 * time.Second, rate: steadily(40)}},
		{"many requests in four seconds", replay{duration: 4 * time.Second, rate: steadily(2000)}},
		{"five minutes", replay{duration: 5 * minute, rate: steadily(40)}},
		{"few requests", replay{duration: twelve, rate: steadily(1)}},
		{"no requests", replay{duration: twelve, rate: steadily(0)}},
		{"leafs listed late", replay{duration: twelve, rate: steadily(40), listedAt: 5 * time.Second}},
		{"both versions fail at times", replay{duration: halfMin, rate: steadily(200), failure: always(0.02)}},
		{"both versions grey", replay{duration: halfMin, rate: steadily(200), failure: always(0.3)}},
		{"both versions slow", replay{duration: halfMin, rate: steadily(200), slowness: always(0.4)}},
		{"failures in a burst while the share is large", replay{duration: halfMin, rate: steadily(200), failure: during(25*time.Second, 27*time.Second, 0.15)}},
		{"slow leafs while the share is large", replay{duration: halfMin, rate: steadily(200), slowness: during(25*time.Second, halfMin, 0.5)}},
		{"another leader during the last steps", replay{duration: twelve, rate: steadily(200), newLeaderAt: 10 * time.Second, failure: during(9*time.Second, twelve, 0.2)}},
		{"some failures of all leafs at the last step", replay{duration: halfMin, rate: steadily(400), failure: during(27*time.Second, halfMin, 0.1)}},
		{"old requests that last", replay{duration: twelve, rate: steadily(40), oldInProgress: func(int, time.Duration) int { return 1 }}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(fewSeeds) {
				got := c.replay.run(seed)
				if got.rollout.State != tabulator.RolloutCompleted || got.endedAt > c.replay.duration {
					t.Errorf("seed %d: got %s at %v (%s), want completed by %v", seed, got.rollout.State, got.endedAt, got.rollout.Reason, c.replay.duration)
				}
				if got.changes > 6 {
					t.Errorf("seed %d: got %d changes, want at most 6", seed, got.changes)
				}
			}
		})
	}
}

func TestVersionWithoutLeafsNeverGetsAShare(t *testing.T) {
	got := replay{duration: 4 * time.Second, rate: steadily(40), listedAt: -1}.run(1)
	if got.rollout.State != tabulator.RolloutRolledBack || !strings.Contains(got.rollout.Reason, "no leaf of version v2") || got.endedAt < 14*time.Second || got.changes != 1 {
		t.Errorf("got %s after %v and %d changes (%s), want rolled back 10s after the end", got.rollout.State, got.endedAt, got.changes, got.rollout.Reason)
	}
}

// The old leafs stop at once when the roll-out is completed.
func TestOldRequestsDelayTheCompletion(t *testing.T) {
	const idleAfter = 1200 * time.Millisecond
	got := replay{duration: halfMin, rate: steadily(40), oldInProgress: func(share int, since time.Duration) int {
		if share == tabulator.WholeShare && since >= idleAfter {
			return 0
		}
		return 1
	}}.run(1)
	if earliest := 27*time.Second + idleAfter; got.rollout.State != tabulator.RolloutCompleted || got.endedAt < earliest {
		t.Errorf("got %s at %v, want completed at %v or later", got.rollout.State, got.endedAt, earliest)
	}
}

// A leader that had just been elected after the loss of all control instances knew no entry instance yet. That the last share was in force at
// all of them, and that no answer had failed, were both true of none, and it completed the roll-out of a bad version.
func TestNothingIsCompletedWithoutReports(t *testing.T) {
	rollout := tabulator.Rollout{Version: "v2", Duration: twelve, State: tabulator.RolloutRunning, Share: tabulator.WholeShare}
	p := New(Settings{ExposureShare: 0.1, ExposureSlack: 50}, twelve)
	for elapsed := twelve - time.Second; elapsed < 2*twelve; elapsed += 200 * time.Millisecond {
		decision := p.Decide(Observation{Rollout: rollout, Elapsed: elapsed, SinceChange: elapsed, IsInForce: true, IsListKnown: true, IsUnreported: true, Candidates: 3, Warm: 3})
		if decision.IsChange {
			t.Fatalf("%v after the order: got %s (%s), want no change", elapsed, decision.State, decision.Reason)
		}
	}
}

func TestNothingGrowsUntilTheListIsKnownAndTheLeafsAreWarm(t *testing.T) {
	rollout := tabulator.Rollout{Version: "v2", Duration: twelve, State: tabulator.RolloutRunning, Share: middleShare}
	seen := Observation{Rollout: rollout, Elapsed: 10500 * time.Millisecond, SinceChange: time.Second, IsInForce: true, IsListKnown: true, Candidates: 3, Warm: 3}
	change := func(edit func(o *Observation)) Observation {
		o := seen
		edit(&o)
		return o
	}
	cases := []struct {
		name        string
		observation Observation
		want        int
	}{
		{"ready", seen, tabulator.WholeShare},
		{"list not known", change(func(o *Observation) { o.IsListKnown, o.Candidates, o.Warm = false, 0, 0 }), middleShare},
		{"no answers yet", change(func(o *Observation) { o.Evidence.Sent = 4000 }), middleShare},
		{"one leaf cold", change(func(o *Observation) { o.Warm = 2 }), middleShare},
		{"share not in force", change(func(o *Observation) { o.IsInForce = false }), middleShare},
		{"no report of an entry instance yet", change(func(o *Observation) { o.IsUnreported = true }), middleShare},
		{"all leafs gone", change(func(o *Observation) { o.Candidates, o.Warm = 0, 0 }), 0},
	}
	for _, c := range cases {
		decision := New(Settings{ExposureShare: 0.1, ExposureSlack: 50}, twelve).Decide(c.observation)
		got := middleShare
		if decision.IsChange {
			got = decision.Share
		}
		if got != c.want {
			t.Errorf("%s: got share %d (%s), want %d", c.name, got, decision.Reason, c.want)
		}
	}
}

// The reason tells operators what the decision is based on.
func TestReasonNamesTheRouteAndTheCounts(t *testing.T) {
	p := New(Settings{ExposureShare: 0.1, ExposureSlack: 50}, twelve)
	rollout := tabulator.Rollout{Version: "v2", Duration: twelve, State: tabulator.RolloutRunning, Share: 400}
	evidence := Evidence{Routes: []RouteEvidence{{Route: "r", Old: Tally{Answers: 240, Failures: 2}, New: Tally{Answers: 61, Failures: 14}}}}
	got := p.Decide(Observation{Rollout: rollout, Elapsed: 2 * time.Second, Evidence: evidence, IsListKnown: true, Candidates: 1, Warm: 1})
	if want := "rolled back: 14 of 61 failed on route r, 2 of 240 on the old ones"; got.Reason != want {
		t.Errorf("got %q, want %q", got.Reason, want)
	}
}
