// A slice gathers some shards of a query for another instance, which answers
// the caller. It reports when a shard is late or failed, so that the other
// instance knows early that this one is at work; second leafs are asked once it
// grants them. Further reports come at the due time of the query, and from then
// on again and again.

package gatekeeper

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/aggregator"
	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/gatherer"
	"lovagedeck/pkg/router"
)

const (
	// maxSlices bounds the slices under way; a query has one at an instance, and takes some tens of milliseconds.
	maxSlices = 2048
	// collectTime is how long the last report of a slice is kept for the instance that asked.
	collectTime = time.Second
	// abandonTime is how long nobody may wait for a report: the instance that asked asks on within the way there and back, unless
	// it is gone or has taken the slice back.
	abandonTime = 300 * time.Millisecond
)

type (
	// sliceSet holds the slices of other instances' queries that are under way here.
	sliceSet struct {
		mu      sync.Mutex
		running map[aggregator.SliceID]*slice
	}

	// slice is some shards of another instance's query; run has it to itself, but for what mu guards.
	slice struct {
		query *query
		id    aggregator.SliceID
		set   *sliceSet
		// stop ends the slice, with the work at the leafs where it carries true.
		stop chan bool
		// granted tells that the other instance allows all attempts.
		granted chan struct{}
		// ready has room for one word that a report can be collected.
		ready chan struct{}
		mu    sync.Mutex
		next  aggregator.Report
		// reportAt is when the next report is due, unless parts come before.
		reportAt time.Duration
		reported bool
		// waiting counts who waits for a report, and leftAt is when the last one got it.
		waiting int
		leftAt  time.Duration
		// parts are the shards whose parts are in no report yet.
		parts []int
	}
)

func newSliceSet() *sliceSet { return &sliceSet{running: map[aggregator.SliceID]*slice{}} }

// GatherSlice takes a slice of another instance's query and returns its first report.
func (g *Gatekeeper) GatherSlice(query aggregator.SliceQuery) aggregator.Report {
	if reason := g.refusesSlice(query); reason != "" {
		g.config.Log.Info("gatekeeper: slice refused", "request", query.Request, "from", query.From, "reason", reason)
		return aggregator.Report{NotRun: reason, Final: true}
	}
	s := g.newSlice(query)
	if !g.slices.add(s) {
		return aggregator.Report{NotRun: "too many slices are under way", Final: true}
	}
	g.counters.slices.Inc()
	go s.run()
	return s.collect(g)
}

// MoreOfSlice returns the next report of a slice.
func (g *Gatekeeper) MoreOfSlice(id aggregator.SliceID) aggregator.Report {
	s := g.slices.find(id)
	if s == nil {
		// It has run, and ended since nobody waited for it.
		return aggregator.Report{Final: true}
	}
	s.grant()
	return s.collect(g)
}

// DropSlice ends a slice; cut ends the work at the leafs as well.
func (g *Gatekeeper) DropSlice(id aggregator.SliceID, cut bool) {
	if s := g.slices.find(id); s != nil {
		s.end(cut)
	}
}

func (g *Gatekeeper) refusesSlice(query aggregator.SliceQuery) string {
	switch {
	case !g.Ready():
		return "the instance is not ready"
	case g.config.Stale != nil && g.config.Stale():
		return "the slice may have waited while the process was paused"
	case query.GiveUp <= 0 || query.CallerLeft <= 0:
		return "the time is over"
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
	in := &inbound{
		id: query.Request, arrived: time.Now(), route: route, version: query.Version, deadline: deadline,
		request: exchanger.Request{ID: query.Request, Head: query.Head, Body: query.Body, Deadline: deadline},
	}
	plan := gatherer.Plan{
		Shards: len(query.Services), MinParts: route.MinParts(), MaxAttempts: route.MaxAttempts(), IsSlice: true,
		HedgeDelay: g.hedgeDelay(in), SoftDeadline: now + query.Due, LateDeadline: now + query.LateUntil, Deadline: now + query.GiveUp,
		RetryUntil: now + query.GiveUp,
	}
	return &slice{
		query: g.queryOf(in, plan), id: query.Name(), set: g.slices, stop: make(chan bool, 1), granted: make(chan struct{}, 1), ready: make(chan struct{}, 1),
		reportAt: min(now+plan.HedgeDelay, plan.SoftDeadline), leftAt: now,
	}
}

// run asks the leafs until all parts are there, nothing more can come, or the slice is dropped.
func (s *slice) run() {
	q := s.query
	cut := false
	defer func() {
		if fault := recover(); fault != nil {
			q.gate.config.Log.Error(errors.Errorf("%v", fault), "gatekeeper: a slice failed", "request", q.in.id, "from", s.id.From)
			s.report(q.gate.config.Now(), true)
		}
		q.abandonAll(cut)
		time.AfterFunc(collectTime, func() { s.set.remove(s.id) })
	}()
	q.gate.fleet.countSlice(q.shards)
	placed, _ := q.placeAll(nil)
	q.sendAll(placed)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := q.gate.config.Now()
		if q.course.Decide(now) != gatherer.Continue {
			s.report(now, true)
			return
		}
		if s.isAbandoned(now) {
			q.gate.config.Log.Info("gatekeeper: slice ended, nobody waits for it", "request", q.in.id, "from", s.id.From)
			cut = true
			return
		}
		q.hedge(now)
		if now >= s.reportAt || !s.reported && q.course.NeedsGrant() {
			s.report(now, false)
		}
		timer.Reset(min(q.course.NextCheck(now), max(s.reportAt, now)) - now)
		select {
		case end := <-q.ends:
			s.onEnd(end)
			s.drainEnds()
		case <-s.granted:
			for _, shard := range q.course.OnGrantReceived() {
				q.ask(shard, needAny)
			}
		case <-timer.C:
		case cut = <-s.stop:
			return
		}
	}
}

func (s *slice) onEnd(end exchangeEnd) {
	done := s.query.course.HasPart(end.shard)
	s.query.onEnd(end)
	if !done && s.query.course.HasPart(end.shard) {
		s.parts = append(s.parts, end.shard)
	}
}

func (s *slice) drainEnds() {
	for {
		select {
		case end := <-s.query.ends:
			s.onEnd(end)
		default:
			return
		}
	}
}

// report makes what came since the last report ready to be collected.
func (s *slice) report(now time.Duration, final bool) {
	q := s.query
	s.mu.Lock()
	s.next.Parts = append(s.next.Parts, s.parts...)
	s.next.Proofs = append(s.next.Proofs, q.proofs...)
	s.next.Records = append(s.next.Records, q.top.Bytes()...)
	s.next.Open = s.openShards()
	s.next.Extra, s.next.OverBudget, s.next.Final = q.extra, q.overBudget, final
	s.mu.Unlock()
	s.parts, q.proofs, q.top = nil, nil, gatherer.NewTop(q.in.route.TopRecords())
	s.reported = true
	s.reportAt = max(q.plan.SoftDeadline, now+reportPause)
	if now < q.plan.SoftDeadline {
		s.reportAt = q.plan.SoftDeadline
	}
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

func (s *slice) openShards() []aggregator.OpenShard {
	q := s.query
	var open []aggregator.OpenShard
	for shard := range q.shards {
		if !q.course.HasPart(shard) {
			open = append(open, aggregator.OpenShard{
				Shard: shard, Leafs: q.asked(shard), Lost: q.course.IsExhausted(shard) && !q.course.NeedsGrant(),
			})
		}
	}
	return open
}

// collect waits for the next report and takes it.
func (s *slice) collect(g *Gatekeeper) aggregator.Report {
	timer := time.NewTimer(time.Until(s.query.in.deadline) + collectTime)
	defer timer.Stop()
	s.mu.Lock()
	s.waiting++
	s.mu.Unlock()
	select {
	case <-s.ready:
	case <-timer.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	s.leftAt = g.config.Now()
	report := s.next
	s.next = aggregator.Report{}
	report.Leaving = g.draining.Load()
	if report.Final {
		s.set.remove(s.id)
	}
	return report
}

// isAbandoned tells whether the instance that asked for the slice no longer waits for it.
func (s *slice) isAbandoned(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting == 0 && now-s.leftAt > abandonTime
}

func (s *slice) grant() {
	select {
	case s.granted <- struct{}{}:
	default:
	}
}

func (s *slice) end(cut bool) {
	select {
	case s.stop <- cut:
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

func (s *sliceSet) remove(id aggregator.SliceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, id)
}
