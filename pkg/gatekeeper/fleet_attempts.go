// An attempt is placed, counted against the budget of its service, and its end
// is what the instance learns of the leaf.

package gatekeeper

import (
	"time"

	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/hedger"
	"lovagedeck/pkg/placer"
	"lovagedeck/pkg/router"
)

const (
	// needReady takes any leaf that has room.
	needReady need = iota
	// needSound takes a leaf that is expected to answer at once, for a second request beside the first.
	needSound
	// needAny takes a leaf beyond what it answers in time, where the answer cannot do without it.
	needAny
)

const (
	// denialNone stands beside an attempt that was begun.
	denialNone denial = iota
	// denialNoLeaf means that no leaf of the service would do.
	denialNoLeaf
	// denialBudget means that the service gets no further repeated request from this instance at the moment.
	denialBudget
)

const (
	// firstTypical and firstLate are the parts of the objective that are assumed before the first answers: an instance that
	// has just started opens connections and would take every request for late.
	firstTypical = 0.15
	firstLate    = 0.4
	// typicalGain is the weight of one answer in the usual time, and typicalClip how far one may lie off it, in usual times:
	// where a sixth of the leafs is slow, the usual time stays that of the others.
	typicalGain = 0.05
	typicalClip = 0.5
	// hedgeFactor bounds the time before a hedge, in usual times: the quantile rises with the slow leafs that hedges are for.
	// One answer in fifty of a sound leaf takes longer.
	hedgeFactor = 2.2
	// hedgeReserve is the number of usual times that must fit between a hedge and the due time.
	hedgeReserve = 1.5
	// lateQuantile is the share of answers that come before a hedge.
	lateQuantile = 0.93
)

type (
	// kind is what one kind of request usually takes at a leaf.
	kind struct {
		typical time.Duration
		late    *hedger.Quantile
		// report is how long other instances take until their first report on a slice.
		report *hedger.Quantile
	}

	// need says which leafs will do for a request.
	need int

	// denial says why no attempt was begun.
	denial int

	// attempt is one request at one leaf.
	attempt struct {
		id       uint64
		shard    int
		upstream *upstream
		kind     *kind
		begun    time.Duration
		ticket   *exchanger.Ticket
		isExtra  bool
		// isLate tells that its silence was noted.
		isLate bool
		// expected is how long the answer will probably take.
		expected time.Duration
	}
)

// kindOf returns the statistics of a route and service.
func (f *fleet) kindOf(route *router.Route) *kind {
	key := route.Fields().Host + route.Fields().Prefix
	k := f.kinds[key]
	if k == nil {
		objective := float64(route.Objective())
		k = &kind{
			typical: time.Duration(firstTypical * objective),
			late:    hedger.NewQuantileAt(lateQuantile, time.Duration(firstLate*objective)),
			report:  newReportQuantile(objective),
		}
		f.kinds[key] = k
	}
	return k
}

// learn takes the time of one answer.
func (k *kind) learn(took time.Duration) {
	clip := typicalClip * float64(k.typical)
	k.typical += time.Duration(typicalGain * max(-clip, min(float64(took-k.typical), clip)))
	k.late.Add(took)
}

// hedgeAfter returns how long an answer of the kind may be awaited before a second leaf is asked; latest is when that is
// too late to help.
func (k *kind) hedgeAfter(latest time.Duration) time.Duration {
	patient := time.Duration(hedgeFactor * float64(k.typical))
	return max(k.typical, min(k.late.Value(), patient, latest-time.Duration(hedgeReserve*float64(k.typical))))
}

// begin picks a leaf of the service. An attempt after another one that arrived at a leaf, or may have, is within the budget
// of repeated requests.
func (f *fleet) begin(route *router.Route, serviceName string, tried []*placer.Leaf, need need, arrived bool) (*attempt, denial) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[serviceName]
	if s == nil {
		return nil, denialNoLeaf
	}
	now := f.now()
	leaf := placer.Choose(s.states, placer.Wish{
		Now: now, DataCentre: f.centre, Out: func(centre string) bool { return f.out[centre] },
		Tried: tried, Once: !route.Idempotent(), Sound: need == needSound, Beyond: need == needAny, Tie: f.random.Float64(),
	})
	if leaf == nil {
		return nil, denialNoLeaf
	}
	if arrived && !s.allowance.Take(now) {
		return nil, denialBudget
	}
	f.lastID++
	a := &attempt{id: f.lastID, upstream: s.upstreamOf(leaf), kind: f.kindOf(route), begun: now, isExtra: arrived}
	a.expected = leaf.Expected(a.kind.typical, now)
	leaf.OnSend(a.id, a.kind.typical, now)
	return a, denialNone
}

// picture returns what is known of the leaf of an attempt.
func (f *fleet) picture(a *attempt) placer.Picture {
	f.mu.Lock()
	defer f.mu.Unlock()
	return a.upstream.leaf.Picture(f.now())
}

func (s *service) upstreamOf(leaf *placer.Leaf) *upstream {
	for _, m := range s.upstreams {
		if m.leaf == leaf {
			return m
		}
	}
	return nil
}

// end notes the outcome of an attempt; unsent extra attempts give their token back.
func (f *fleet) end(a *attempt, outcome placer.Outcome, took time.Duration, sent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	leaf := a.upstream.leaf
	away, gone := leaf.Away(now), leaf.Gone()
	leaf.OnEnd(a.id, outcome, took, a.kind.typical, now)
	if away != leaf.Away(now) || gone != leaf.Gone() {
		f.noteBelief(leaf, outcome, now)
	}
	f.tellNews(leaf, now)
	if outcome == placer.Answered {
		a.kind.learn(took)
	}
	f.giveBack(a, sent)
}

// noteBelief logs that a leaf is left alone, or used again.
func (f *fleet) noteBelief(leaf *placer.Leaf, outcome placer.Outcome, now time.Duration) {
	picture := leaf.Picture(now)
	f.log.Info("gatekeeper: leaf believed", "leaf", leaf.Fields().ID, "service", leaf.Fields().Service, "away", picture.Away,
		"replaced", leaf.Gone(), "after", outcome.String(), "faults", picture.Faults, "slowness", picture.Slowness)
}

// silent notes attempts that are late for their kind, before they end: the others hear of the leaf while it matters.
func (f *fleet) silent(attempts []*attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, a := range attempts {
		if a.isLate {
			continue
		}
		a.isLate = true
		a.upstream.leaf.OnSilence(now-a.begun, a.kind.typical, now)
		f.tellNews(a.upstream.leaf, now)
	}
}

// endLate notes an attempt that was given up because another one answered, or the caller left.
func (f *fleet) endLate(a *attempt, sent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	a.upstream.leaf.OnLate(a.id, now-a.begun, a.kind.typical, now)
	if sent {
		f.tellNews(a.upstream.leaf, now)
	}
	f.giveBack(a, sent)
}

func (f *fleet) giveBack(a *attempt, sent bool) {
	if !a.isExtra || sent {
		return
	}
	if s := f.services[a.upstream.leaf.Fields().Service]; s != nil {
		s.allowance.Return(f.now())
	}
}
