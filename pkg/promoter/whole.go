// While the new version gets all requests, there are no answers of the old one
// at the same time to compare with. A version that fails then gets few requests
// again once, until the answers of the old one tell trouble of both versions from
// a fault of the new one under load.

package promoter

import (
	"fmt"
	"time"

	"lovagedeck/pkg/tabulator"
)

// complete ends a roll-out whose new version gets all requests, once that was watched, is in force at all instances and the old leafs, which
// stop without a drain, are idle.
func (p *Promoter) complete(o Observation) Decision {
	isLate := o.Elapsed >= o.Rollout.Duration-endMargin
	isIdle := o.Evidence.OldInProgress == 0
	isEnd := o.IsInForce && p.isWatched(o) && (isIdle || isLate)
	chance := watchChance
	if isEnd {
		chance = stepChance
	}
	if reason := p.suspicion(chance); reason != "" {
		if p.hasSteppedBack {
			return rollBack(reason + ", for the second time")
		}
		p.hasSteppedBack = true
		return Decision{IsChange: true, State: tabulator.RolloutRunning, Share: p.baseShare(), Reason: "step back to compare: " + reason}
	}
	if !isEnd {
		return Decision{}
	}
	total := p.history.total()
	return Decision{IsChange: true, State: tabulator.RolloutCompleted, Share: tabulator.WholeShare, Reason: fmt.Sprintf(
		"completed after %s: %d of %d answers of the new version failed, %d of %d of the old ones; %d requests in progress at old leafs",
		o.Elapsed.Round(time.Millisecond), total.New.Failures, total.New.Answers, total.Old.Failures, total.Old.Answers, o.Evidence.OldInProgress)}
}

// isWatched reports whether this leader has seen the new version get all requests for long enough. The time limit shortens the watch of a
// service with few requests while it can still be kept.
func (p *Promoter) isWatched(o Observation) bool {
	_, wholeAt := steps(o.Rollout.Duration)
	wholeTime := o.Rollout.Duration - wholeAt
	shortest, longest := min(minWholeSoak, wholeTime/2), min(maxWholeSoak, wholeTime)
	watched := min(o.SinceChange, o.Elapsed-p.startedAt)
	if watched >= longest || o.Elapsed > o.Rollout.Duration {
		return watched >= longest
	}
	_, whole := p.history.beforeAndAtWhole()
	return watched >= shortest && (whole.Answers >= soakAnswers || o.Elapsed >= o.Rollout.Duration-endMargin)
}

// suspicion returns what speaks against a version that gets all requests, or an empty text. There are no answers of old leafs at the same
// time, so that trouble of both versions looks the same.
func (p *Promoter) suspicion(chance float64) string {
	before, whole := p.history.beforeAndAtWhole()
	c := compareTallies(before, whole)
	if whole.Answers < minWholeAnswers || !c.isWorse(chance, minFailureExcess) {
		return ""
	}
	return describeWhole(c)
}

// compareAfterWhole decides on a version that has failed while it got all requests, by what the old one does afterwards: trouble of both
// versions goes on, failures under load end.
func (p *Promoter) compareAfterWhole(o Observation) Decision {
	before, whole, after := p.history.aroundWhole()
	expected := whole.failureShare() * float64(after.Old.Answers)
	if !o.IsInForce || expected < minExpectedFailures && o.SinceChange < maxWholeSoak {
		return Decision{}
	}
	c := compareTallies(before.Add(after.Old), whole)
	doOldFail := after.Old.failureShare() >= before.failureShare()+commonTroublePart*(whole.failureShare()-before.failureShare())
	if !doOldFail && c.isWorse(stepChance, minFailureExcess) {
		return rollBack(fmt.Sprintf("%s and after, %d of %d after", describeWhole(c), after.Old.Failures, after.Old.Answers))
	}
	if !o.isWarm() {
		return Decision{}
	}
	return Decision{IsChange: true, State: tabulator.RolloutRunning, Share: tabulator.WholeShare, Reason: fmt.Sprintf(
		"whole again after %s: %d of %d answers of the old version failed since the step back, %d of %d of the new one when it got all requests",
		o.Elapsed.Round(time.Millisecond), after.Old.Failures, after.Old.Answers, whole.Failures, whole.Answers)}
}

// faultOfWhole returns why a version that gets all requests, or got them until now, is bad beyond what trouble of both versions would explain.
func (p *Promoter) faultOfWhole(share int, chance float64) string {
	before, whole := p.history.beforeAndAtWhole()
	if share < tabulator.WholeShare {
		before, whole, _ = p.history.aroundWhole()
	}
	if c := compareTallies(before, whole); whole.Answers >= minWholeAnswers && c.isWorse(chance, minWholeExcess) {
		return describeWhole(c)
	}
	return ""
}

// compareTallies compares the failures of the two versions at different times.
func compareTallies(old, whole Tally) comparison {
	return compare([]sample{{oldAnswers: old.Answers, oldBad: old.Failures, newAnswers: whole.Answers, newBad: whole.Failures}})
}

func describeWhole(c comparison) string {
	return fmt.Sprintf("%d of %d failed while it got all requests, %d of %d on the old ones before", c.newBad, c.newAnswers, c.oldBad, c.oldAnswers)
}
