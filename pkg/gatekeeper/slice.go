package gatekeeper

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/aggregator"
	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/gatherer"
	"lovagedeck/pkg/router"
	"lovagedeck/pkg/slicer"
)

const (
	// maxSlices is the maximum number of slices gathered at a time. A query has at most one slice per instance and takes some tens
	// of milliseconds.
	maxSlices = 2048
	// reportRetention is how long a finished slice is kept for the requesting instance to collect its final report.
	reportRetention = time.Second
	// abandonTimeout is how long a slice runs without a pending call for its next report. The requesting instance calls again
	// within a round trip, unless it has failed or has reclaimed the slice.
	abandonTimeout = 300 * time.Millisecond
)

type (
	// sliceSet holds the slices that this instance gathers for other instances.
	sliceSet struct {
		mu      sync.Mutex
		running map[aggregator.SliceID]*slice
	}

	// slice gathers a subset of the shards of a query for the instance that answers the caller. The first report is made once a
	// shard is late or has failed, so that the requesting instance knows early that the slice is running. Second attempts are
	// sent once that instance grants them. The next report is made at the due time of the query, and later ones at intervals.
	// Except for the channels and the fields guarded by mu, only the goroutine of run changes its state.
	slice struct {
		query *query
		id    aggregator.SliceID
		set   *sliceSet
		// stop ends the slice. The value true also closes the connections of its attempts, so that the leafs stop work.
		stop chan bool
		// granted signals that the requesting instance allows all attempts.
		granted chan struct{}
		// reportReady signals that pendingReport can be collected. Its capacity is 1.
		reportReady chan struct{}
		// mu guards pendingReport, waiters and lastCollected.
		mu            sync.Mutex
		pendingReport aggregator.Report
		// reportAt is the time at which the next report is due, on the clock of the instance.
		reportAt    time.Duration
		hasReported bool
		// waiters is the number of calls that wait for a report, and lastCollected the time at which the last one returned.
		waiters       int
		lastCollected time.Duration
		// unreportedParts holds the shards whose parts are not in a report yet.
		unreportedParts []int
	}
)

func newSliceSet() *sliceSet { return &sliceSet{running: map[aggregator.SliceID]*slice{}} }

// GatherSlice starts to gather a slice of another instance's query and returns its first report, or the reason for a refusal.
func (g *Gatekeeper) GatherSlice(query aggregator.SliceQuery) aggregator.Report {
	if reason := g.sliceRefusalReason(query); reason != "" {
		g.config.Log.Info("gatekeeper: slice refused", "request", query.Request, "from", query.From, "reason", reason)
		return aggregator.Report{NotRun: reason, Final: true}
	}
	s := g.newSlice(query)
	if !g.slices.add(s) {
		return aggregator.Report{NotRun: "too many slices are under way", Final: true}
	}
	g.counters.slices.Inc()
	go s.run()
	return s.collectReport(g)
}

// NextSliceReport allows all attempts of a slice, waits for its next report and returns it.
func (g *Gatekeeper) NextSliceReport(id aggregator.SliceID) aggregator.Report {
	s := g.slices.find(id)
	if s == nil {
		// The slice has run and was removed. With a NotRun reason, the requesting instance would count its shards
		// as not run.
		return aggregator.Report{Final: true}
	}
	s.grantAttempts()
	return s.collectReport(g)
}

// CancelSlice ends a slice. If cancelAttempts is set, the attempts at the leafs are cancelled as well.
func (g *Gatekeeper) CancelSlice(id aggregator.SliceID, cancelAttempts bool) {
	if s := g.slices.find(id); s != nil {
		s.requestStop(cancelAttempts)
	}
}

func (g *Gatekeeper) sliceRefusalReason(query aggregator.SliceQuery) string {
	switch {
	case !g.Ready():
		return "the instance is not ready"
	case !g.TakesWork():
		return "the instance reaches no leaf"
	case g.config.MayBeStale != nil && g.config.MayBeStale():
		return "the slice may have waited while the process was paused"
	case query.GiveUp <= 0 || query.CallerLeft <= 0:
		return "the time is over"
	case g.keyStateOf(g.newPeerIdentity(query.Tenant, query.Key), query.Version) != keyHeld:
		return "the tenant does not hold the key any more"
	case len(query.Services) == 0 || query.Request == "":
		return "the slice is empty"
	}
	return ""
}

func (g *Gatekeeper) newSlice(query aggregator.SliceQuery) *slice {
	now := g.config.Now()
	route := router.NewRoute(router.RouteFields{
		Name: query.RouteName, Host: query.Host, Prefix: query.Prefix, Idempotent: true, Timeout: query.GiveUp,
		Objective: query.Objective, MaxAttempts: query.Attempts, Shards: query.Services, TopRecords: query.Records,
		MinCoverage: float64(query.MinParts) / float64(len(query.Services)),
	})
	deadline := time.Now().Add(query.CallerLeft)
	in := &inboundRequest{
		id: query.Request, arrivedAt: time.Now(), route: route, version: query.Version, deadline: deadline,
		identity: g.newPeerIdentity(query.Tenant, query.Key),
		request:  exchanger.Request{ID: query.Request, Head: query.Head, Body: query.Body, Deadline: deadline, MaxPermitWait: maxPermitWait(route)},
	}
	plan := gatherer.Plan{
		Shards: len(query.Services), MinParts: route.MinParts(), MaxAttempts: route.MaxAttempts(), IsSlice: true,
		HedgeDelay: g.hedgeDelay(in), SoftDeadline: now + query.Due, LateDeadline: now + query.LateUntil, Deadline: now + query.GiveUp,
		RetryUntil: now + query.GiveUp,
	}
	return &slice{
		query: g.newQueryWithPlan(in, plan), id: query.SliceID(), set: g.slices, stop: make(chan bool, 1), granted: make(chan struct{}, 1), reportReady: make(chan struct{}, 1),
		reportAt: min(now+slicer.FirstReportDelay(plan.HedgeDelay, query.ReportTimeout), plan.SoftDeadline), lastCollected: now,
	}
}

// run gathers the parts until the slice is complete, no further part is possible, or the slice is dropped or abandoned.
func (s *slice) run() {
	q := s.query
	cancelAttempts := false
	defer func() {
		if panicValue := recover(); panicValue != nil {
			q.gate.config.Log.Error(errors.Errorf("%v", panicValue), "gatekeeper: panic while gathering a slice", "request", q.in.id, "from", s.id.From)
			s.publishReport(q.gate.config.Now(), true)
		}
		q.cancelOutstanding(cancelAttempts)
		time.AfterFunc(reportRetention, func() { s.set.remove(s.id) })
	}()
	q.gate.fleet.countSlice(q.shards)
	cutOff := q.gate.fleet.noticeOfCutOff()
	placed, _ := q.placeAll(nil)
	q.sendAll(placed)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := q.gate.config.Now()
		if q.execution.Decide(now) != gatherer.Continue {
			s.publishReport(now, true)
			return
		}
		if s.isAbandoned(now) {
			q.gate.config.Log.Info("gatekeeper: slice cancelled, the requesting instance no longer waits for it", "request", q.in.id, "from", s.id.From)
			cancelAttempts = true
			return
		}
		q.sendDueAttempts(now)
		if now >= s.reportAt || !s.hasReported && q.execution.NeedsGrant() {
			s.publishReport(now, false)
		}
		timer.Reset(min(q.execution.NextCheck(now), max(s.reportAt, now)) - now)
		select {
		case c := <-q.completions:
			s.onCompletion(c)
			s.drainCompletions()
		case <-s.granted:
			for _, shard := range q.execution.OnGrantReceived() {
				q.dispatch(shard, selectAny)
			}
		case <-timer.C:
		case <-cutOff:
			s.publishCutOff(q.gate.config.Now())
			return
		case <-q.gate.service.Done():
			q.gate.logUnfinished(q.in, q.describeMissing())
			s.publishCutOff(q.gate.config.Now())
			return
		case cancelAttempts = <-s.stop:
			return
		}
	}
}

func (s *slice) onCompletion(c completion) {
	wasDone := s.query.execution.HasPart(c.shard)
	s.query.onCompletion(c)
	if !wasDone && s.query.execution.HasPart(c.shard) {
		s.unreportedParts = append(s.unreportedParts, c.shard)
	}
}

func (s *slice) drainCompletions() {
	for {
		select {
		case c := <-s.query.completions:
			s.onCompletion(c)
		default:
			return
		}
	}
}

// publishReport adds the parts since the last report to the pending report and signals that it can be collected.
func (s *slice) publishReport(now time.Duration, final bool) {
	q := s.query
	s.mu.Lock()
	s.pendingReport.Parts = append(s.pendingReport.Parts, s.unreportedParts...)
	s.pendingReport.Proofs = append(s.pendingReport.Proofs, q.proofs...)
	s.pendingReport.Records = append(s.pendingReport.Records, q.top.Bytes()...)
	s.pendingReport.Open = s.pendingShards()
	s.pendingReport.Extra, s.pendingReport.OverBudget, s.pendingReport.Final = q.extraAttempts, q.overBudget, final
	s.mu.Unlock()
	s.unreportedParts, q.proofs, q.top = nil, nil, gatherer.NewTop(q.in.route.TopRecords())
	s.hasReported = true
	s.reportAt = max(q.plan.SoftDeadline, now+reportInterval)
	if now < q.plan.SoftDeadline {
		s.reportAt = q.plan.SoftDeadline
	}
	select {
	case s.reportReady <- struct{}{}:
	default:
	}
}

// publishCutOff makes the requesting instance take back the shards without a part, because this one reaches no leaf any more or stops.
func (s *slice) publishCutOff(now time.Duration) {
	s.mu.Lock()
	s.pendingReport.IsCutOff = true
	s.mu.Unlock()
	s.publishReport(now, true)
}

func (s *slice) pendingShards() []aggregator.PendingShard {
	q := s.query
	var open []aggregator.PendingShard
	for shard := range q.shards {
		if !q.execution.HasPart(shard) {
			pending := aggregator.PendingShard{
				Shard: shard, Leafs: q.describeAttempts(shard), Lost: q.execution.IsExhausted(shard) && !q.execution.NeedsGrant(),
			}
			if q.execution.IsExhausted(shard) {
				pending.PermitWait = q.gate.fleet.permitWaitOf(q.shards[shard])
			}
			open = append(open, pending)
		}
	}
	return open
}

// collectReport waits for the next report and returns it. On timeout, it returns what is pending.
func (s *slice) collectReport(g *Gatekeeper) aggregator.Report {
	timer := time.NewTimer(time.Until(s.query.in.deadline) + reportRetention)
	defer timer.Stop()
	s.mu.Lock()
	s.waiters++
	s.mu.Unlock()
	select {
	case <-s.reportReady:
	case <-timer.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters--
	s.lastCollected = g.config.Now()
	report := s.pendingReport
	s.pendingReport = aggregator.Report{}
	report.Leaving = g.drain.Load() != nil
	if report.Final {
		s.set.remove(s.id)
	}
	return report
}

// isAbandoned reports whether the requesting instance has stopped waiting for reports.
func (s *slice) isAbandoned(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiters == 0 && now-s.lastCollected > abandonTimeout
}

func (s *slice) grantAttempts() {
	select {
	case s.granted <- struct{}{}:
	default:
	}
}

func (s *slice) requestStop(cancelAttempts bool) {
	select {
	case s.stop <- cancelAttempts:
	default:
	}
}

func (s *sliceSet) add(added *slice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.running) >= maxSlices || s.running[added.id] != nil {
		return false
	}
	s.running[added.id] = added
	return true
}

func (s *sliceSet) find(id aggregator.SliceID) *slice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[id]
}

func (s *sliceSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

func (s *sliceSet) remove(id aggregator.SliceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, id)
}
