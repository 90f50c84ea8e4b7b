// Shards of a query that another instance gathers. A slice that is not reported
// in time, or whose instance fails, is given up as a whole, and this instance
// asks the leafs itself: its parts must come from one of the two only.

package gatekeeper

import (
	"maps"
	"slices"
	"time"

	"lovagedeck/pkg/aggregator"
	"lovagedeck/pkg/slicer"
)

const (
	// hopMargin is taken off the times of a slice, so that its report is here when the query needs it.
	hopMargin = 3 * time.Millisecond
	// reportPause is the longest time between reports of a slice after its due time.
	reportPause = 100 * time.Millisecond
)

type (
	// handedSlice is some shards of a query at another instance.
	handedSlice struct {
		call   *aggregator.Call
		shards []int
		begun  time.Duration
		// reported tells that a first report came.
		reported bool
		// over tells that nothing more is taken from the slice.
		over  bool
		extra int
		// overBudget counts the repeated requests that the budget did not allow there.
		overBudget int
		// open has, for each shard, which leafs were asked and what they did.
		open map[int]string
	}

	sliceReport struct {
		slice  *handedSlice
		report aggregator.Report
		err    error
	}
)

// groupByInstance returns the shards that other instances should gather, by instance.
func (q *query) groupByInstance() map[string][]int {
	if q.plan.IsSlice || !q.in.route.Idempotent() {
		return nil
	}
	return q.gate.fleet.gatherersOf(q.shards)
}

// ownPlaces returns the shards that are in no group.
func (q *query) ownPlaces(groups map[string][]int) []int {
	handed := make([]bool, len(q.shards))
	for _, shards := range groups {
		for _, shard := range shards {
			handed[shard] = true
		}
	}
	own := make([]int, 0, len(q.shards))
	for shard := range q.shards {
		if !handed[shard] {
			own = append(own, shard)
		}
	}
	return own
}

func (q *query) ownShards(groups map[string][]int) []string {
	own := q.ownPlaces(groups)
	names := make([]string, 0, len(own))
	for _, shard := range own {
		names = append(names, q.shards[shard])
	}
	return names
}

// handOver sends each group to its instance. Shards of one that turns out to have no connection are asked here.
func (q *query) handOver(groups map[string][]int) {
	now := q.gate.config.Now()
	until := now + q.gate.reportTime(q.in)
	for instance, shards := range groups {
		s := &handedSlice{shards: shards, begun: now, open: map[int]string{}}
		s.call = q.gate.config.Peers.Gather(instance, q.sliceQuery(shards, now), q.reportTo(s))
		if s.call == nil {
			for _, shard := range shards {
				q.ask(shard, needReady)
			}
			continue
		}
		for _, shard := range shards {
			q.slices[shard] = s
			q.course.OnDelegated(shard, now, until)
		}
	}
}

func (q *query) reportTo(s *handedSlice) func(aggregator.Report, error) {
	return func(report aggregator.Report, err error) {
		q.reports <- sliceReport{slice: s, report: report, err: err}
	}
}

func (q *query) sliceQuery(shards []int, now time.Duration) aggregator.SliceQuery {
	route, fields := q.in.route, q.in.route.Fields()
	services := make([]string, 0, len(shards))
	for _, shard := range shards {
		services = append(services, q.shards[shard])
	}
	return aggregator.SliceQuery{
		ID: q.gate.fleet.nextID(), From: q.gate.config.Instance, Request: q.in.id, Head: q.in.request.Head, Body: q.in.request.Body,
		RouteName: route.Name(), Host: fields.Host, Prefix: fields.Prefix, Version: q.in.version, Services: services,
		Attempts: route.MaxAttempts(), Records: route.TopRecords(), MinParts: max(1, len(shards)*route.MinParts()/len(q.shards)),
		Objective: route.Objective(), Due: q.plan.SoftDeadline - hopMargin - now, LateUntil: q.plan.LateDeadline - hopMargin - now,
		GiveUp: q.plan.Deadline - hopMargin - now, CallerLeft: time.Until(q.in.deadline),
	}
}

// onReport takes what another instance gathered.
func (q *query) onReport(r sliceReport) {
	s := r.slice
	switch {
	case s.over:
		return
	case r.err != nil:
		q.askInstead(s, r.err.Error(), true)
		return
	case r.report.NotRun != "":
		q.askInstead(s, r.report.NotRun, false)
		return
	}
	now := q.gate.config.Now()
	if !s.reported {
		s.reported = true
		q.gate.learnReport(q.in, now-s.begun)
	}
	for _, place := range r.report.Parts {
		if place >= 0 && place < len(s.shards) {
			q.course.OnPart(s.shards[place])
		}
	}
	q.top.Add(r.report.Records)
	q.proofs = append(q.proofs, r.report.Proofs...)
	q.extra += r.report.Extra - s.extra
	q.overBudget += r.report.OverBudget - s.overBudget
	s.extra, s.overBudget = r.report.Extra, r.report.OverBudget
	q.noteOpen(s, r.report, now)
	if r.report.Final {
		q.endSlice(s)
		return
	}
	s.call.More(q.reportTo(s))
}

// noteOpen takes what is known of the shards of a slice that brought no part yet.
func (q *query) noteOpen(s *handedSlice, report aggregator.Report, now time.Duration) {
	until := max(q.plan.SoftDeadline, now+reportPause) + slicer.Patience(0, reportPause)
	for _, open := range report.Open {
		if open.Shard < 0 || open.Shard >= len(s.shards) {
			continue
		}
		shard := s.shards[open.Shard]
		s.open[shard] = open.Leafs
		q.course.OnGrantSent(shard, until)
		if open.Lost {
			q.course.OnExhausted(shard)
		}
	}
}

// endSlice notes that nothing more comes of a slice; its open shards have used their attempts.
func (q *query) endSlice(s *handedSlice) {
	s.over = true
	for _, shard := range s.shards {
		if !q.course.HasPart(shard) {
			q.course.OnExhausted(shard)
		}
	}
}

// withoutSilentSlices returns the shards that this instance asked itself. Slices with a late shard did not report in time.
func (q *query) withoutSilentSlices(late []int) []int {
	var own []int
	silent := map[*handedSlice]bool{}
	for _, shard := range late {
		switch s := q.slices[shard]; {
		case s == nil:
			own = append(own, shard)
		case !s.over:
			silent[s] = true
		}
	}
	for s := range silent {
		s.call.Silent()
		q.askInstead(s, "no report in time", true)
	}
	return own
}

// askInstead takes the open shards of a slice back and asks their leafs; ran tells whether the other instance may have done so.
func (q *query) askInstead(s *handedSlice, cause string, ran bool) {
	s.over = true
	q.gate.counters.slicesLost.Inc()
	q.gate.config.Log.Info("gatekeeper: slice taken back", "request", q.in.id, "peer", s.call.Instance(), "cause", cause, "ran", ran,
		"shards", len(s.shards), "after-ms", (q.gate.config.Now() - s.begun).Milliseconds())
	for _, shard := range s.shards {
		if q.course.HasPart(shard) {
			continue
		}
		q.slices[shard] = nil
		q.arrived[shard] = q.arrived[shard] || ran
		if q.course.OnFailure(shard, ran) {
			q.ask(shard, needAny)
		}
	}
}

// dropSlices ends the slices that are still gathered.
func (q *query) dropSlices(callerLeft bool) {
	dropped := map[*handedSlice]bool{}
	for _, s := range q.slices {
		if s != nil && !s.over && !dropped[s] {
			dropped[s] = true
			s.call.Drop(callerLeft)
		}
	}
}

// handedTo names the instances that gathered shards, for the log.
func (q *query) handedTo() []string {
	counts := map[string]int{}
	for _, s := range q.slices {
		if s != nil {
			counts[s.call.Instance()]++
		}
	}
	if len(counts) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(counts))
}
