package steward

import (
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lovagedeck/pkg/controller"
	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/promoter"
	"lovagedeck/pkg/tabulator"
)

const (
	// candidateCountInterval is the interval at which the leafs of the new versions are counted.
	candidateCountInterval = 200 * time.Millisecond
	// rolloutStatusInterval is the interval of the log lines on a roll-out that does not change.
	rolloutStatusInterval = 5 * time.Second
)

type (
	// rolloutLeader holds what the leader needs to decide on roll-outs. It belongs to rolloutLoop, except the metrics.
	rolloutLeader struct {
		term      uint64
		promoters map[uint64]*promoter.Promoter
		// proposals receives the order of a roll-out whose proposed change has an outcome.
		proposals chan uint64
		proposed  map[uint64]bool
		loggedAt  map[uint64]time.Duration
		counts    candidateCounts
		metrics   *metrics.Set
		ended     map[tabulator.RolloutState]*metrics.Counter
		changes   *metrics.Counter
	}

	// candidateCounts holds the leafs of the list by service and version.
	candidateCounts struct {
		countedAt time.Duration
		leafs     map[versionKey]candidateCount
	}

	candidateCount struct {
		listed, warm int
	}

	versionKey struct {
		service, version string
	}

	// candidateVersions holds the versions of services whose leafs were last marked in the list. It belongs to listLoop.
	candidateVersions struct {
		marked map[versionKey]bool
		// requested holds the versions for which the list was fetched ahead of time. One fetch is enough, also if it fails.
		requested map[versionKey]bool
	}
)

func newRolloutLeader() rolloutLeader {
	set := metrics.NewSet()
	return rolloutLeader{
		promoters: map[uint64]*promoter.Promoter{}, proposals: make(chan uint64, 1), proposed: map[uint64]bool{}, loggedAt: map[uint64]time.Duration{},
		metrics: set, changes: set.GetOrCreateCounter("lovagedeck_rollout_changes_total"),
		ended: map[tabulator.RolloutState]*metrics.Counter{
			tabulator.RolloutCompleted:  set.GetOrCreateCounter(`lovagedeck_rollouts_ended_total{state="completed"}`),
			tabulator.RolloutRolledBack: set.GetOrCreateCounter(`lovagedeck_rollouts_ended_total{state="rolled-back"}`),
		},
	}
}

// Metrics returns the metrics of the control instance.
func (c *Control) Metrics() *metrics.Set { return c.rollouts.metrics }

// rolloutLoop decides on the roll-outs that run while this instance is the leader.
func (c *Control) rolloutLoop() {
	c.rollouts.metrics.NewGauge("lovagedeck_rollouts_running", func() float64 { return float64(c.server.RunningRolloutCount()) })
	for {
		select {
		case <-c.stop:
			return
		case order := <-c.rollouts.proposals:
			delete(c.rollouts.proposed, order)
		case <-time.After(leaderPollInterval):
			c.decideRollouts()
		}
	}
}

func (c *Control) decideRollouts() {
	term, isLeader := c.server.LeaderTerm()
	if term != c.rollouts.term {
		c.rollouts.term = term
		c.rollouts.retain(nil)
	}
	if !isLeader {
		return
	}
	if c.server.RunningRolloutCount() == 0 {
		c.rollouts.retain(nil)
		return
	}
	statuses, err := c.server.RunningRollouts()
	if err != nil {
		c.log.Error(err, "steward: cannot read the roll-outs")
		return
	}
	c.rollouts.retain(statuses)
	for _, status := range statuses {
		c.decideRollout(status)
	}
}

// retain forgets the roll-outs that do not run any more.
func (l *rolloutLeader) retain(running []controller.RolloutStatus) {
	hasEnded := func(order uint64) bool {
		return !slices.ContainsFunc(running, func(status controller.RolloutStatus) bool { return status.Rollout.Order == order })
	}
	maps.DeleteFunc(l.promoters, func(order uint64, _ *promoter.Promoter) bool { return hasEnded(order) })
	maps.DeleteFunc(l.loggedAt, func(order uint64, _ time.Duration) bool { return hasEnded(order) })
}

func (c *Control) decideRollout(status controller.RolloutStatus) {
	order := status.Rollout.Order
	if c.rollouts.proposed[order] {
		return
	}
	decider := c.rollouts.promoters[order]
	if decider == nil {
		decider = promoter.New(c.settings.promotion(), status.Rollout.Duration)
		c.rollouts.promoters[order] = decider
	}
	_, isListKnown := c.rosterStore.LastReadAt()
	leafs := c.countCandidates(versionKey{service: status.Rollout.Service, version: status.Rollout.Version})
	decision := decider.Decide(promoter.Observation{
		Rollout: status.Rollout, Elapsed: status.Elapsed, SinceChange: status.SinceChange, Evidence: status.Report.Evidence,
		IsInForce: status.InForce.Everywhere, IsListKnown: isListKnown, IsUnreported: status.Report.Instances == 0, Candidates: leafs.listed, Warm: leafs.warm,
	})
	if decision.IsChange || c.now()-c.rollouts.loggedAt[order] >= rolloutStatusInterval {
		c.rollouts.loggedAt[order] = c.now()
		c.logRollout(status, leafs, decision)
	}
	if !decision.IsChange {
		return
	}
	c.rollouts.proposed[order] = true
	go c.advanceRollout(status, decision)
}

// advanceRollout proposes a decision. It is refused if it is based on an older state than the newest.
func (c *Control) advanceRollout(status controller.RolloutStatus, decision promoter.Decision) {
	startedAt := c.now()
	result, err := c.submit(tabulator.AdvanceRollout{
		Service: status.Rollout.Service, Base: status.Rollout.Revision, State: decision.State, Share: decision.Share, Elapsed: status.Elapsed,
		Reason: decision.Reason,
	})
	if err != nil {
		c.log.Error(err, "steward: roll-out not changed", "service", status.Rollout.Service, "wanted", decision.State, "share", decision.Share)
	} else {
		c.rollouts.changes.Inc()
		if ended := c.rollouts.ended[decision.State]; ended != nil {
			ended.Inc()
		}
		c.log.Info("steward: roll-out changed", "service", status.Rollout.Service, "version", status.Rollout.Version, "order", status.Rollout.Order,
			"state", decision.State, "share", decision.Share, "revision", result.Revision, "took-ms", (c.now() - startedAt).Milliseconds())
	}
	select {
	case c.rollouts.proposals <- status.Rollout.Order:
	case <-c.stop:
	}
}

// logRollout logs a decision on a roll-out with its inputs.
func (c *Control) logRollout(status controller.RolloutStatus, leafs candidateCount, decision promoter.Decision) {
	total := status.Report.Evidence.Total()
	c.log.Info("steward: roll-out", "service", status.Rollout.Service, "version", status.Rollout.Version, "order", status.Rollout.Order,
		"share", status.Rollout.Share, "elapsed-ms", status.Elapsed.Milliseconds(), "duration-ms", status.Rollout.Duration.Milliseconds(),
		"in-force", status.InForce.Everywhere, "acting", status.InForce.Acting, "members", status.InForce.Members, "reporting", status.Report.Instances,
		"sent", status.Report.Evidence.Sent, "sent-new", status.Report.Evidence.SentNew, "old-in-progress", status.Report.Evidence.OldInProgress,
		"new-answers", total.New.Answers, "new-failures", total.New.Failures, "new-slow", total.New.Slow,
		"old-answers", total.Old.Answers, "old-failures", total.Old.Failures, "old-slow", total.Old.Slow,
		"leafs", leafs.listed, "warm", leafs.warm, "changes", decision.IsChange, "reason", decision.Reason)
}

// countCandidates returns the number of listed leafs of a version that do not leave.
func (c *Control) countCandidates(key versionKey) candidateCount {
	counts := &c.rollouts.counts
	if now := c.now(); counts.leafs == nil || now-counts.countedAt >= candidateCountInterval {
		counts.countedAt, counts.leafs = now, map[versionKey]candidateCount{}
		for _, leaf := range c.rosterStore.FullRoster().Leafs {
			if !leaf.IsCandidate || leaf.Leaving {
				continue
			}
			count := counts.leafs[versionKey{service: leaf.Service, version: leaf.Version}]
			count.listed++
			if leaf.ColdFor == 0 {
				count.warm++
			}
			counts.leafs[versionKey{service: leaf.Service, version: leaf.Version}] = count
		}
	}
	return counts.leafs[key]
}

// mark marks the leafs of the new versions of roll-outs that run or were rolled back.
func (v *candidateVersions) mark(server *controller.Server, leafs []lister.RosterLeaf) []lister.RosterLeaf {
	if current, ok := readCandidateVersions(server); ok {
		v.marked, v.requested = current, current
	}
	if len(v.marked) == 0 {
		return leafs
	}
	for i, leaf := range leafs {
		leafs[i].IsCandidate = v.marked[versionKey{service: leaf.Service, version: leaf.Version}]
	}
	return leafs
}

// haveChanged reports whether other leafs must be marked than in the last list, so that it must be fetched again.
func (v *candidateVersions) haveChanged(server *controller.Server) bool {
	if !server.HasRollouts() {
		return false
	}
	current, ok := readCandidateVersions(server)
	if !ok || maps.Equal(current, v.requested) {
		return false
	}
	v.requested = current
	return true
}

func readCandidateVersions(server *controller.Server) (versions map[versionKey]bool, isKnown bool) {
	rollouts, err := server.Rollouts()
	if err != nil {
		return nil, false
	}
	versions = map[versionKey]bool{}
	for _, rollout := range rollouts {
		if rollout.State != tabulator.RolloutCompleted {
			versions[versionKey{service: rollout.Service, version: rollout.Version}] = true
		}
	}
	return versions, true
}
