package gatekeeper

import (
	"maps"
	"slices"
	"time"

	"lovagedeck/pkg/aggregator"
	"lovagedeck/pkg/retrier"
	"lovagedeck/pkg/slicer"
)

const (
	// hopMargin is subtracted from the deadlines of a delegated slice, so that its report arrives before the deadlines of the query.
	hopMargin = 3 * time.Millisecond
	// reportInterval is the maximum time between reports of a slice after its due time.
	reportInterval = 100 * time.Millisecond
)

type (
	// delegatedSlice is a subset of the shards of a query that another instance gathers. If that instance fails or does not
	// report in time, its pending shards are reclaimed and later reports are ignored, so that each part is merged once.
	delegatedSlice struct {
		call      *aggregator.Call
		shards    []int
		startedAt time.Duration
		// hasReported is set by the first report.
		hasReported bool
		// isClosed is set once further reports are ignored.
		isClosed bool
		// extraAttempts and overBudget are the numbers of hedges and retries sent, and denied by the budget, as of the last report.
		extraAttempts int
		overBudget    int
		// pendingShards describes, by shard, the leafs tried and their outcomes.
		pendingShards map[int]string
	}

	// sliceReport is a report of a delegated slice, or the error of the call for it.
	sliceReport struct {
		slice  *delegatedSlice
		report aggregator.Report
		err    error
	}
)

// groupByGatherer returns the shards to delegate, by the instance that gathers them. Slices of other instances are not delegated.
func (q *query) groupByGatherer() map[string][]int {
	if q.plan.IsSlice {
		return nil
	}
	return q.gate.fleet.groupsFor(q.in.route)
}

// localShards returns the shards that are in no group. This instance gathers them.
func (q *query) localShards(groups map[string][]int) []int {
	isDelegated := make([]bool, len(q.shards))
	for _, shards := range groups {
		for _, shard := range shards {
			isDelegated[shard] = true
		}
	}
	local := make([]int, 0, len(q.shards))
	for shard := range q.shards {
		if !isDelegated[shard] {
			local = append(local, shard)
		}
	}
	return local
}

func (q *query) localServices(groups map[string][]int) []string {
	local := q.localShards(groups)
	services := make([]string, 0, len(local))
	for _, shard := range local {
		services = append(services, q.shards[shard])
	}
	return services
}

// delegate sends each group to its instance. If an instance has no open connection, this instance gathers the shards of its group.
func (q *query) delegate(groups map[string][]int) {
	now := q.gate.config.Now()
	reportTimeout := q.gate.reportTimeout(q.in)
	for instance, shards := range groups {
		s := &delegatedSlice{shards: shards, startedAt: now, pendingShards: map[int]string{}}
		s.call = q.gate.config.Peers.Gather(instance, q.newSliceQuery(shards, now, reportTimeout), q.reportCallback(s))
		if s.call == nil {
			for _, shard := range shards {
				q.dispatch(shard, selectWithinLimit)
			}
			continue
		}
		for _, shard := range shards {
			q.delegated[shard] = s
			q.execution.OnDelegated(shard, now, now+reportTimeout)
		}
	}
}

func (q *query) reportCallback(s *delegatedSlice) func(aggregator.Report, error) {
	return func(report aggregator.Report, err error) {
		q.reports <- sliceReport{slice: s, report: report, err: err}
	}
}

func (q *query) newSliceQuery(shards []int, now, reportTimeout time.Duration) aggregator.SliceQuery {
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
		GiveUp: q.plan.Deadline - hopMargin - now, CallerLeft: time.Until(q.in.deadline), ReportTimeout: reportTimeout,
		Tenant: q.in.tenantName(), Key: q.in.peerKey(),
	}
}

// onReport merges the parts of a report and requests the next one. If the call failed or the slice was refused, it reclaims the
// shards.
func (q *query) onReport(r sliceReport) {
	s := r.slice
	switch {
	case s.isClosed:
		return
	case r.err != nil:
		q.reclaimSlice(s, r.err.Error(), retrier.Unknown)
		return
	case r.report.NotRun != "":
		q.reclaimSlice(s, r.report.NotRun, retrier.NotSent)
		return
	}
	now := q.gate.config.Now()
	if !s.hasReported {
		s.hasReported = true
		q.gate.recordReportTime(q.in, now-s.startedAt)
	}
	for _, index := range r.report.Parts {
		if index >= 0 && index < len(s.shards) {
			q.execution.OnPart(s.shards[index])
		}
	}
	q.top.Add(r.report.Records)
	q.proofs = append(q.proofs, r.report.Proofs...)
	q.extraAttempts += r.report.Extra - s.extraAttempts
	q.overBudget += r.report.OverBudget - s.overBudget
	s.extraAttempts, s.overBudget = r.report.Extra, r.report.OverBudget
	if r.report.IsCutOff {
		q.reclaimSlice(s, "the instance reaches no leaf", retrier.Unknown)
		return
	}
	q.updatePendingShards(s, r.report, now)
	if r.report.Final {
		q.closeSlice(s)
		return
	}
	s.call.NextReport(q.reportCallback(s))
}

// updatePendingShards records the attempts at the pending shards of a slice, and extends the time until its next report is due.
func (q *query) updatePendingShards(s *delegatedSlice, report aggregator.Report, now time.Duration) {
	nextReportBy := max(q.plan.SoftDeadline, now+reportInterval) + slicer.ReportTimeout(0, reportInterval)
	for _, pendingShard := range report.Open {
		if pendingShard.Shard < 0 || pendingShard.Shard >= len(s.shards) {
			continue
		}
		shard := s.shards[pendingShard.Shard]
		s.pendingShards[shard] = pendingShard.Leafs
		q.execution.OnGrantSent(shard, nextReportBy)
		if pendingShard.PermitWait > 0 {
			q.gate.fleet.onPermitWait(q.shards[shard], pendingShard.PermitWait)
		}
		if pendingShard.Lost {
			q.execution.OnExhausted(shard)
		}
	}
}

// closeSlice ends a slice after its final report. Its pending shards are lost, because their attempts are used up.
func (q *query) closeSlice(s *delegatedSlice) {
	s.isClosed = true
	for _, shard := range s.shards {
		if !q.execution.HasPart(shard) {
			q.execution.OnExhausted(shard)
		}
	}
}

// reclaimOverdueSlices returns the late shards that this instance gathers. A delegated shard is late if its slice did not report
// in time. Such slices are reclaimed.
func (q *query) reclaimOverdueSlices(late []int) []int {
	var local []int
	overdue := map[*delegatedSlice]bool{}
	for _, shard := range late {
		switch s := q.delegated[shard]; {
		case s == nil:
			local = append(local, shard)
		case !s.isClosed:
			overdue[s] = true
		}
	}
	for s := range overdue {
		s.call.MarkUnavailable()
		q.reclaimSlice(s, "no report in time", retrier.Unknown)
	}
	return local
}

// reclaimSlice closes a slice and sends the request to leafs of its pending shards. If the peer may already have sent it to them, the
// attempts count against the retry budget.
func (q *query) reclaimSlice(s *delegatedSlice, cause string, progress retrier.Progress) {
	s.isClosed = true
	q.gate.counters.slicesTakenBack.Inc()
	q.gate.config.Log.Info("gatekeeper: slice taken back", "request", q.in.id, "peer", s.call.Instance(), "cause", cause, "ran", progress.MayHaveRun(),
		"shards", len(s.shards), "after-ms", (q.gate.config.Now() - s.startedAt).Milliseconds())
	for _, shard := range s.shards {
		if q.execution.HasPart(shard) {
			continue
		}
		q.delegated[shard] = nil
		q.reached[shard] = q.reached[shard] || progress.MayHaveArrived()
		if q.execution.OnFailure(shard, progress.MayHaveRun()) {
			q.dispatch(shard, selectAny)
		}
	}
}

// cancelSlices cancels the slices that are still open.
func (q *query) cancelSlices(callerLeft bool) {
	dropped := map[*delegatedSlice]bool{}
	for _, s := range q.delegated {
		if s != nil && !s.isClosed && !dropped[s] {
			dropped[s] = true
			s.isClosed = true
			s.call.Cancel(callerLeft)
		}
	}
}

// gathererNames returns the sorted names of the instances that gather delegated shards, for the log.
func (q *query) gathererNames() []string {
	counts := map[string]int{}
	for _, s := range q.delegated {
		if s != nil {
			counts[s.call.Instance()]++
		}
	}
	if len(counts) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(counts))
}
