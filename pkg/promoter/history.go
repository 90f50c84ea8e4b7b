// The evidence is cumulative. The history divides it into stretches of time, in
// each of which the share was the same.

package promoter

import (
	"time"

	"lovagedeck/pkg/tabulator"
)

const (
	// minStretch and stretchesPerRollout limit the number of stretches. A stretch must be short against a burst or the
	// restart of a leaf, which would otherwise be compared with the time before it.
	minStretch          = time.Second
	stretchesPerRollout = 40
	// minStretchAnswers is the number of answers below which a stretch goes on. Stretches of a few answers each say nothing.
	minStretchAnswers = 40
	// recentStretches is the number of stretches that also count alone.
	recentStretches = 3
)

type (
	// history holds what was seen in each stretch.
	history struct {
		length time.Duration
		// seen is the highest sum of each route so far. Sums fall while a control instance or an entry instance is lost.
		seen map[string]RouteEvidence
		// skipped is the sum of the answers that cannot be divided into stretches.
		skipped   RouteEvidence
		stretches []stretch
	}

	stretch struct {
		startedAt time.Duration
		share     int
		answers   uint64
		routes    map[string]RouteEvidence
	}
)

func newHistory(duration time.Duration) *history {
	return &history{length: max(minStretch, duration/stretchesPerRollout), seen: map[string]RouteEvidence{}}
}

// add records newer sums, and reports whether they differ from the earlier ones.
func (h *history) add(evidence Evidence, share int, now time.Duration) bool {
	hasChanged := false
	for _, route := range evidence.Routes {
		before := h.seen[route.Route]
		increase := RouteEvidence{Route: route.Route, Old: route.Old.since(before.Old), New: route.New.since(before.New)}
		if increase.Old == (Tally{}) && increase.New == (Tally{}) {
			continue
		}
		hasChanged = true
		h.seen[route.Route] = RouteEvidence{Route: route.Route, Old: before.Old.Add(increase.Old), New: before.New.Add(increase.New)}
		current := h.current(share, now)
		current.answers += increase.Old.Answers + increase.New.Answers
		sum := current.routes[route.Route]
		current.routes[route.Route] = RouteEvidence{Route: route.Route, Old: sum.Old.Add(increase.Old), New: sum.New.Add(increase.New)}
	}
	return hasChanged
}

// skip makes the sums so far the base of the next ones. They cannot be divided into stretches.
func (h *history) skip(evidence Evidence) {
	for _, route := range evidence.Routes {
		h.seen[route.Route] = route
	}
	h.skipped = evidence.Total()
}

// current returns the stretch at time now, a new one if the share has changed or the last one is long enough.
func (h *history) current(share int, now time.Duration) *stretch {
	last := len(h.stretches) - 1
	if last < 0 || h.stretches[last].share != share || h.stretches[last].answers >= minStretchAnswers && now-h.stretches[last].startedAt >= h.length {
		h.stretches = append(h.stretches, stretch{startedAt: now, share: share, routes: map[string]RouteEvidence{}})
		last++
	}
	return &h.stretches[last]
}

// recent returns the newest stretches.
func (h *history) recent() []stretch {
	return h.stretches[max(0, len(h.stretches)-recentStretches):]
}

// samples returns the stretches of one route, or of all routes if the name is empty, with the bad answers that pick selects.
func samples(stretches []stretch, name string, pick func(Tally) (answers, bad uint64)) []sample {
	var samples []sample
	for _, s := range stretches {
		for routeName, route := range s.routes {
			if name != "" && name != routeName {
				continue
			}
			var one sample
			one.oldAnswers, one.oldBad = pick(route.Old)
			one.newAnswers, one.newBad = pick(route.New)
			samples = append(samples, one)
		}
	}
	return samples
}

// since returns by how much the counts are above those of an earlier tally.
func (t Tally) since(before Tally) Tally {
	return Tally{Answers: increase(before.Answers, t.Answers), Failures: increase(before.Failures, t.Failures), Slow: increase(before.Slow, t.Slow)}
}

func increase(before, after uint64) uint64 {
	if after <= before {
		return 0
	}
	return after - before
}

func pickFailures(t Tally) (answers, bad uint64) { return t.Answers, min(t.Failures, t.Answers) }

// pickSlow counts slow successes among the successes, so that failures do not hide them.
func pickSlow(t Tally) (answers, bad uint64) {
	successes := increase(min(t.Failures, t.Answers), t.Answers)
	return successes, min(t.Slow, successes)
}

// watched returns the sum over all stretches.
func (h *history) watched() RouteEvidence {
	var total RouteEvidence
	for _, s := range h.stretches {
		total = total.add(s.total())
	}
	return total
}

// beforeAndAtWhole returns the answers of the old version shortly before, and those of the new version since, it gets all requests.
func (h *history) beforeAndAtWhole() (before, whole Tally) {
	i := len(h.stretches) - 1
	for ; i >= 0 && h.stretches[i].isWhole(); i-- {
		whole = whole.Add(h.stretches[i].total().New)
	}
	return h.before(i), whole
}

// aroundWhole returns the answers of the old version before the new one got all requests, those of the new one meanwhile, and those of
// both afterwards. The last answers to requests of the time between come afterwards.
func (h *history) aroundWhole() (before, whole Tally, after RouteEvidence) {
	i := len(h.stretches) - 1
	for ; i >= 0 && !h.stretches[i].isWhole(); i-- {
		after = after.add(h.stretches[i].total())
	}
	for ; i >= 0 && h.stretches[i].isWhole(); i-- {
		whole = whole.Add(h.stretches[i].total().New)
	}
	return h.before(i), whole.Add(after.New), after
}

// before returns the answers of the old version in the stretches up to the last one, all of which divide the requests. A leader that came
// late has seen few of them: it adds those before its time, unless the old version fails more often now.
func (h *history) before(last int) Tally {
	var before Tally
	for i := last; i >= 0 && i > last-recentStretches && !h.stretches[i].isWhole(); i-- {
		before = before.Add(h.stretches[i].total().Old)
	}
	if before.Answers < minStretchAnswers || before.failureShare() <= h.skipped.Old.failureShare() {
		before = before.Add(h.skipped.Old)
	}
	return before
}

func (s stretch) isWhole() bool { return s.share >= tabulator.WholeShare }

func (s stretch) total() RouteEvidence {
	var total RouteEvidence
	for _, route := range s.routes {
		total = total.add(route)
	}
	return total
}

// total returns the sum over all routes since the first observation.
func (h *history) total() RouteEvidence {
	var total RouteEvidence
	for _, route := range h.seen {
		total = total.add(route)
	}
	return total
}
