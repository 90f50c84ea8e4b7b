package promoter

import (
	"fmt"
	"slices"
	"time"

	"lovagedeck/pkg/tabulator"
)

const (
	// trialPart is the part of the permitted share that the new version gets during most of the time. The rest is for the
	// steps at the end, at which a version that is bad only under load shows itself.
	trialPart = 0.4
	// slackPart is the part of the permitted slack that a service with few requests uses to get enough samples.
	slackPart = 0.4
	// exposurePart is the part of the permitted exposure above which the share falls back to that of the trial.
	exposurePart = 0.6
	// maxTrialShare is the largest share of the trial. The old version must get as many requests to compare with.
	maxTrialShare = tabulator.WholeShare / 2
	// middleShare is the share of the step between the trial and the whole.
	middleShare = tabulator.WholeShare * 3 / 10
	// rateShare is the part of the duration after which the rate of requests counts as known, but at most maxRateTime.
	rateShare   = 1.0 / 6
	maxRateTime = time.Second
	// The share is raised only by a factor of at least minRaise, because each change costs a round of renewals.
	minRaise = 1.5

	// wholeTimePart is the part of the duration for which the new version gets everything before the end, within minWholeTime and maxWholeTime.
	// It covers the spread of the last step, the end of requests in progress and one change of leader.
	wholeTimePart = 0.15
	minWholeTime  = 1400 * time.Millisecond
	maxWholeTime  = 3 * time.Second
	// middleTimePart is the part of the duration for which middleShare holds, within minMiddleTime and maxMiddleTime.
	middleTimePart = 0.07
	minMiddleTime  = 600 * time.Millisecond
	maxMiddleTime  = 1500 * time.Millisecond
	// maxStepsPart limits both steps together in short roll-outs.
	maxStepsPart = 0.6
	// minWholeSoak is the time for which a version that gets everything is watched before the old leafs stop, and maxWholeSoak that for
	// a service with few requests.
	minWholeSoak = 700 * time.Millisecond
	maxWholeSoak = 1200 * time.Millisecond
	// endMargin is the time before the end at which the roll-out is completed although some requests are still in progress at old leafs.
	endMargin = 500 * time.Millisecond
	// lastWarmMargin is the time before the end from which one warm leaf of the new version is enough.
	lastWarmMargin = time.Second
	// minNewAnswers is the number of answers of the new version before which it does not get everything, if that many can be had.
	minNewAnswers = 8
	// minAbsentTime is how long after the end a roll-out waits for a leaf of the new version.
	minAbsentTime = 10 * time.Second

	// lookChance is the chance of a wrong roll-back at one look, of which there are many. stepChance is that of the look before each of the
	// three last steps, and watchChance that of each look meanwhile which only leads to a comparison.
	lookChance  = 1e-5
	stepChance  = 0.002
	watchChance = 1e-3
	// A difference below minExcess, as a share of the answers, does not count, however certain it is. Slow answers vary more.
	minFailureExcess = 0.03
	minSlowExcess    = 0.05
	minBad           = 3
	// testsPerRoute is the number of tests of one route at one look.
	testsPerRoute = 4
	// minWholeAnswers and minWholeExcess apply when the old version gets no requests to compare with at the same time.
	minWholeAnswers = 20
	minWholeExcess  = 0.15
	// commonTroublePart is the part of the increase of failures that the old version shows as well if both versions have the same trouble.
	commonTroublePart = 1.0 / 3
	// minExpectedFailures is the number of failures of the old version to be expected if trouble of both versions made the new one fail
	// while it got all requests. That many answers are awaited, but not beyond maxWholeSoak.
	minExpectedFailures = 8
	// soakAnswers is the number of answers to watch before the old leafs stop, unless maxWholeSoak passes.
	soakAnswers = 150
)

type (
	// Settings are the bounds that the deployment sets.
	Settings struct {
		// ExposureShare and ExposureSlack limit the requests that a bad version gets, as a share of all and as a number.
		ExposureShare float64
		ExposureSlack float64
	}

	// Observation is the state of a roll-out as known to the leader.
	Observation struct {
		Rollout tabulator.Rollout
		// Elapsed is the time since the order.
		Elapsed  time.Duration
		Evidence Evidence
		// SinceChange is the time since the last change of the roll-out.
		SinceChange time.Duration
		// IsInForce reports whether no instance acts on an older share.
		IsInForce bool
		// IsListKnown reports whether the list of leafs has been read.
		IsListKnown bool
		// IsUnreported is set while no entry instance has reported on the roll-out to this leader.
		IsUnreported bool
		// Candidates is the number of listed leafs of the new version, and Warm the number of those that have warmed up.
		Candidates int
		Warm       int
	}

	// Decision is the next state of a roll-out.
	Decision struct {
		// IsChange reports whether the decision differs from the state in force.
		IsChange bool
		State    tabulator.RolloutState
		Share    int
		Reason   string
	}

	// Promoter decides on one roll-out.
	Promoter struct {
		settings Settings
		history  *history
		hasBase  bool
		// startedAt is the time since the order of the first observation.
		startedAt time.Duration
		// hasSteppedBack is set once the new version has got all requests, failed, and got fewer again.
		hasSteppedBack bool
	}
)

// New returns a promoter for a roll-out of the given duration.
func New(settings Settings, duration time.Duration) *Promoter {
	return &Promoter{settings: settings, history: newHistory(duration)}
}

// Decide returns the next state of the roll-out. It must be called with observations in the order of time.
func (p *Promoter) Decide(o Observation) Decision {
	if !p.hasBase {
		p.hasBase, p.startedAt = true, o.Elapsed
		// A leader that comes later cannot tell the answers before the last steps from those during them.
		if middleAt, _ := steps(o.Rollout.Duration); o.Rollout.Elapsed >= middleAt {
			p.history.skip(o.Evidence)
		}
	}
	if p.history.add(o.Evidence, o.Rollout.Share, o.Elapsed) {
		if reason := p.fault(o, lookChance); reason != "" {
			return rollBack(reason)
		}
	}
	switch {
	case !o.IsListKnown:
		return Decision{}
	case o.Candidates == 0:
		return p.awaitCandidates(o)
	case o.IsUnreported && o.Rollout.Share > 0:
		return Decision{}
	case o.Rollout.Share >= tabulator.WholeShare:
		return p.complete(o)
	case p.hasSteppedBack && o.Rollout.Share > 0:
		return p.compareAfterWhole(o)
	}
	return p.grow(o)
}

func rollBack(reason string) Decision {
	return Decision{IsChange: true, State: tabulator.RolloutRolledBack, Reason: "rolled back: " + reason}
}

// awaitCandidates waits for a leaf of the new version. Without one there is nothing to move the requests to.
func (p *Promoter) awaitCandidates(o Observation) Decision {
	if limit := o.Rollout.Duration + max(o.Rollout.Duration, minAbsentTime); o.Elapsed >= limit {
		return rollBack(fmt.Sprintf("no leaf of version %s was listed within %s", o.Rollout.Version, o.Elapsed.Round(time.Second)))
	}
	if o.Rollout.Share > 0 {
		reason := fmt.Sprintf("no leaf of version %s is listed any more", o.Rollout.Version)
		return Decision{IsChange: true, State: tabulator.RolloutRunning, Reason: reason}
	}
	return Decision{}
}

// grow raises the share while both versions get requests.
func (p *Promoter) grow(o Observation) Decision {
	middleAt, wholeAt := steps(o.Rollout.Duration)
	share, reason := p.trialShare(o), "trial"
	if o.Elapsed >= middleAt {
		share, reason = middleShare, "step before the whole"
	}
	if o.Elapsed >= wholeAt && p.isReadyForWhole(o) {
		share, reason = tabulator.WholeShare, "whole"
	}
	if reason != "trial" && share > o.Rollout.Share {
		if fault := p.fault(o, stepChance); fault != "" {
			return rollBack(fault)
		}
	}
	if reason != "trial" {
		share = max(share, o.Rollout.Share)
	}
	if share == o.Rollout.Share {
		return Decision{}
	}
	total := p.history.total()
	return Decision{IsChange: true, State: tabulator.RolloutRunning, Share: share, Reason: fmt.Sprintf("%s: share %.1f%% after %s; %d of %d answers of the new version failed, %d of %d of the old ones",
		reason, float64(share)*100/tabulator.WholeShare, o.Elapsed.Round(time.Millisecond), total.New.Failures, total.New.Answers, total.Old.Failures, total.Old.Answers)}
}

// steps returns the times since the order at which the new version gets middleShare and everything.
func steps(duration time.Duration) (middleAt, wholeAt time.Duration) {
	whole := between(time.Duration(wholeTimePart*float64(duration)), minWholeTime, maxWholeTime)
	middle := between(time.Duration(middleTimePart*float64(duration)), minMiddleTime, maxMiddleTime)
	if limit := time.Duration(maxStepsPart * float64(duration)); whole+middle > limit {
		middle = time.Duration(float64(middle) * float64(limit) / float64(whole+middle))
		whole = limit - middle
	}
	return duration - whole - middle, duration - whole
}

func between(value, lowest, highest time.Duration) time.Duration {
	return min(max(value, lowest), highest)
}

// trialShare returns the share of the trial: a part of the permitted share, and more for a service with so few requests that the permitted
// slack covers it.
func (p *Promoter) trialShare(o Observation) int {
	base := p.baseShare()
	permitted := exposurePart * (p.settings.ExposureShare*float64(o.Evidence.Sent) + p.settings.ExposureSlack)
	if float64(o.Evidence.SentNew) > permitted {
		return min(base, o.Rollout.Share)
	}
	if o.Elapsed < min(maxRateTime, time.Duration(rateShare*float64(o.Rollout.Duration))) {
		return max(base, o.Rollout.Share)
	}
	middleAt, _ := steps(o.Rollout.Duration)
	expected := float64(o.Evidence.Sent) * float64(middleAt) / float64(o.Elapsed)
	share := maxTrialShare
	if expected > 0 {
		share = min(maxTrialShare, base+int(slackPart*p.settings.ExposureSlack/expected*tabulator.WholeShare))
	}
	if float64(share) >= minRaise*float64(max(1, o.Rollout.Share)) && o.SinceChange >= min(maxRateTime, time.Duration(rateShare*float64(o.Rollout.Duration))) {
		return share
	}
	return max(base, o.Rollout.Share)
}

// baseShare returns the share of the trial of a service with many requests.
func (p *Promoter) baseShare() int {
	return int(trialPart * p.settings.ExposureShare * tabulator.WholeShare)
}

// isReadyForWhole reports whether the new version has been seen at a smaller share and can take all requests.
func (p *Promoter) isReadyForWhole(o Observation) bool {
	return o.Rollout.Share >= middleShare && o.IsInForce && o.isWarm() && p.hasEnoughAnswers(o)
}

// isWarm reports whether the leafs of the new version can take all requests.
func (o Observation) isWarm() bool {
	return o.Warm == o.Candidates || o.Warm > 0 && o.Elapsed >= o.Rollout.Duration-lastWarmMargin
}

// hasEnoughAnswers reports whether this leader has seen both versions answer enough requests, or so few are sent that the permitted slack
// covers them.
func (p *Promoter) hasEnoughAnswers(o Observation) bool {
	_, wholeAt := steps(o.Rollout.Duration)
	rest := float64(o.Evidence.Sent) * float64(o.Rollout.Duration-wholeAt) / float64(o.Elapsed)
	seen := p.history.watched()
	isOldSeen := seen.Old.Answers >= minStretchAnswers || o.Elapsed-p.startedAt >= maxWholeSoak
	return seen.New.Answers >= minNewAnswers && isOldSeen || rest <= slackPart*p.settings.ExposureSlack
}

// fault returns why the new version is bad, or an empty text. The chance is divided among the tests of one look.
func (p *Promoter) fault(o Observation, chance float64) string {
	routes := []string{""}
	for route := range p.history.seen {
		routes = append(routes, route)
	}
	slices.Sort(routes)
	if len(routes) == 2 {
		// The sum of one route says nothing new.
		routes = routes[1:]
	}
	chance /= float64(testsPerRoute * len(routes))
	// Single routes come before the sum of all, because they say more.
	slices.Reverse(routes)
	for _, route := range routes {
		// Failures that both versions had for long would hide a version that turns bad late, so that recent stretches also count alone.
		for _, stretches := range [][]stretch{p.history.stretches, p.history.recent()} {
			if c := compare(samples(stretches, route, pickFailures)); c.isWorse(chance, minFailureExcess) {
				return c.describe("failed", route)
			}
			if c := compare(samples(stretches, route, pickSlow)); c.isWorse(chance, minSlowExcess) {
				return c.describe("were slow", route)
			}
		}
	}
	if o.Rollout.Share >= tabulator.WholeShare || p.hasSteppedBack {
		return p.faultOfWhole(o.Rollout.Share, chance)
	}
	return ""
}

func (c comparison) isWorse(chance, minExcess float64) bool {
	return c.newBad >= minBad && c.chance < chance && c.excess() >= minExcess
}

func (c comparison) describe(what, route string) string {
	where := "on all routes together"
	if route != "" {
		where = "on route " + route
	}
	return fmt.Sprintf("%d of %d %s %s, %d of %d on the old ones", c.newBad, c.newAnswers, what, where, c.oldBad, c.oldAnswers)
}
