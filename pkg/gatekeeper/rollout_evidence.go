// An instance counts what it sees of a roll-out, for each route and version.
// Control instances compare the versions and decide.

package gatekeeper

import (
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"lovagedeck/pkg/detector"
	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/placer"
	"lovagedeck/pkg/promoter"
	"lovagedeck/pkg/retrier"
)

const (
	// maxEvidenceRoutes limits the routes that are counted apart. Further ones are counted together as promoter.OtherRoutes.
	maxEvidenceRoutes = 24
	// slowFactor is how many typical latencies of the route a slow response takes at least. Bad versions are several times slower.
	slowFactor = 2.5
	// minSlowExcess is the least time beyond the typical latency that a slow response takes. It covers scheduling delays on routes of
	// a few milliseconds.
	minSlowExcess = 10 * time.Millisecond
)

type (
	// rolloutEvidence holds the counts of one roll-out.
	rolloutEvidence struct {
		sent    uint64
		sentNew uint64
		routes  map[string]*promoter.RouteEvidence
	}

	// rolloutCounters are the metrics of all roll-outs together, by version.
	rolloutCounters struct {
		old versionCounters
		new versionCounters
	}

	versionCounters struct {
		requests *metrics.Counter
		failures *metrics.Counter
		slow     *metrics.Counter
	}
)

func newRolloutCounters(set *metrics.Set) *rolloutCounters {
	newVersionCounters := func(version string) versionCounters {
		return versionCounters{
			requests: set.NewCounter(`gatekeeper_rollout_requests_total{version="` + version + `"}`),
			failures: set.NewCounter(`gatekeeper_rollout_failures_total{version="` + version + `"}`),
			slow:     set.NewCounter(`gatekeeper_rollout_slow_answers_total{version="` + version + `"}`),
		}
	}
	return &rolloutCounters{old: newVersionCounters("old"), new: newVersionCounters("new")}
}

// recordVersionStart counts an attempt that begins.
func (f *fleet) recordVersionStart(r *serviceRollout, a *attempt) {
	r.inProgress[a.version]++
	if !r.split.IsRunning() {
		return
	}
	r.evidence.sent++
	if r.split.IsNew(a.version) {
		r.evidence.sentNew++
	}
	f.rolloutCounters.of(r.split.IsNew(a.version)).requests.Inc()
}

// recordVersionEnd removes an attempt from those in progress and returns the tally that counts its end, or nil if none does.
func (f *fleet) recordVersionEnd(a *attempt) *promoter.Tally {
	r := f.rollouts[a.upstream.leaf.Fields().Service]
	if r == nil || a.isEnded {
		return nil
	}
	a.isEnded = true
	if r.inProgress[a.version]--; r.inProgress[a.version] <= 0 {
		delete(r.inProgress, a.version)
	}
	if !r.split.IsRunning() {
		return nil
	}
	route := r.evidence.route(a.route)
	if r.split.IsNew(a.version) {
		return &route.New
	}
	return &route.Old
}

// recordEvidence counts the end of an attempt, if it says something about the version of its leaf.
func (f *fleet) recordEvidence(a *attempt, outcome placer.Outcome, result exchanger.Result) {
	tally := f.recordVersionEnd(a)
	if tally == nil {
		return
	}
	switch outcome {
	case placer.Answered:
		f.addToTally(tally, a, false, isSlow(result.ResponseTime, a.latency.typical))
	case placer.Failed, placer.LeafTimedOut:
		f.addToTally(tally, a, true, false)
	case placer.Unanswered:
		if result.Progress.MayHaveArrived() {
			f.addToTally(tally, a, true, false)
		}
	case placer.Unreachable:
		if errors.Is(result.Err, exchanger.ErrUnreachable) && f.detector.State() == detector.InTouch {
			f.addToTally(tally, a, true, false)
		}
	}
}

// recordAbandoned counts an attempt that was given up, if it was already slow, or late when its hedge was sent: the response to the hedge
// hides how slow the leaf would have been. Late attempts of a sound version are as frequent as those of the other one.
func (f *fleet) recordAbandoned(a *attempt, progress retrier.Progress, now time.Duration) {
	tally := f.recordVersionEnd(a)
	isLate := a.isLateRecorded || isSlow(now-a.startedAt, a.latency.typical)
	if tally != nil && progress.MayHaveArrived() && isLate && f.detector.State() == detector.InTouch {
		f.addToTally(tally, a, false, true)
	}
}

func (f *fleet) addToTally(tally *promoter.Tally, a *attempt, isFailure, isSlow bool) {
	counters := f.rolloutCounters.of(f.isNewVersion(a))
	tally.Answers++
	if isFailure {
		tally.Failures++
		counters.failures.Inc()
	}
	if isSlow {
		tally.Slow++
		counters.slow.Inc()
	}
}

// isSlow reports whether a response took several times as long as usual.
func isSlow(took, typical time.Duration) bool {
	return took >= max(time.Duration(slowFactor*float64(typical)), typical+minSlowExcess)
}

// isNewVersion reports whether the leaf of the attempt is of the new version of a roll-out that runs.
func (f *fleet) isNewVersion(a *attempt) bool {
	r := f.rollouts[a.upstream.leaf.Fields().Service]
	return r != nil && r.split.IsNew(a.version)
}

// rolloutEvidence returns the evidence on all roll-outs that run, sorted by service.
func (f *fleet) rolloutEvidence() []promoter.Evidence {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []promoter.Evidence
	for service, r := range f.rollouts {
		if !r.split.IsRunning() {
			continue
		}
		rollout, _ := r.split.Rollout()
		evidence := promoter.Evidence{Service: service, Order: rollout.Order, Sent: r.evidence.sent, SentNew: r.evidence.sentNew}
		for version, count := range r.inProgress {
			if version != rollout.Version {
				evidence.OldInProgress += count
			}
		}
		for _, route := range r.evidence.routes {
			evidence.Routes = append(evidence.Routes, *route)
		}
		slices.SortFunc(evidence.Routes, func(a, b promoter.RouteEvidence) int { return strings.Compare(a.Route, b.Route) })
		all = append(all, evidence)
	}
	slices.SortFunc(all, func(a, b promoter.Evidence) int { return strings.Compare(a.Service, b.Service) })
	return all
}

// route returns the counts of a route, or those of promoter.OtherRoutes if too many routes are counted.
func (e *rolloutEvidence) route(name string) *promoter.RouteEvidence {
	if e.routes == nil {
		e.routes = map[string]*promoter.RouteEvidence{}
	}
	if e.routes[name] == nil && len(e.routes) >= maxEvidenceRoutes {
		name = promoter.OtherRoutes
	}
	if e.routes[name] == nil {
		e.routes[name] = &promoter.RouteEvidence{Route: name}
	}
	return e.routes[name]
}

func (c *rolloutCounters) of(isNew bool) *versionCounters {
	if isNew {
		return &c.new
	}
	return &c.old
}
