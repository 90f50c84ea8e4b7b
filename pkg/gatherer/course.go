// Course follows one query over a set of shards. It answers early with what it
// has where waiting for the rest would make the whole answer late, and sends a
// request again where the first one is late for its kind:
//
//	begin    ask every shard once
//	hedge    a shard that is silent for longer than is usual is asked again, elsewhere
//	due      the answer leaves now to be in time; enough parts make an answer
//	give up  the caller stops waiting; enough parts make a late answer

package gatherer

import "time"

const (
	// Continue waits for more.
	Continue Verdict = iota
	// Complete answers with all parts.
	Complete
	// Partial answers with the parts that are there.
	Partial
	// Exhausted fails: too few parts, and no more can come.
	Exhausted
	// TimedOut fails: too few parts when the time was over.
	TimedOut
)

type (
	// Verdict says what the query does next.
	Verdict int

	// Plan is what is fixed when the query begins; times are on the instance's steady clock.
	Plan struct {
		Shards   int
		MinParts int
		Attempts int
		// Once forbids a second request of a shard while the first one runs.
		Once bool
		// Slice tells that the shards are a part of a query that another instance answers. The course ends only when nothing more
		// can come, and asks one leaf of each shard until the other instance grants the other attempts: it may have taken the
		// shards back, and asks their leafs itself.
		Slice bool
		// HedgeAfter is how long a shard may be silent before it is asked again.
		HedgeAfter time.Duration
		// Due is when an answer must leave to be in time.
		Due time.Duration
		// LateUntil is how long a late answer waits for the shards that are missing.
		LateUntil time.Duration
		// GiveUp is when the caller, or the route, stops waiting.
		GiveUp time.Duration
		// RetryUntil is until when a shard that no leaf could take is tried again after a pause, where the answer needs it.
		RetryUntil time.Duration
	}

	// Course is the state of one query.
	Course struct {
		plan   Plan
		shards []shard
		parts  int
		open   int
		// allowed is how many leafs of a shard may run the request at present.
		allowed int
		// expectLate tells that too few parts are expected before the due time.
		expectLate bool
	}

	shard struct {
		done     bool
		asked    int
		running  int
		lastSent time.Duration
		// handed tells that another instance asks the leafs.
		handed bool
		// deniedUntil is when an attempt may be tried again, after no leaf could take it.
		deniedUntil time.Duration
		// paused tells that nothing runs for the shard and no leaf could take it; pause is how long it waits then.
		paused bool
		pause  time.Duration
		// lost tells that no further attempt is possible.
		lost bool
	}
)

const (
	// deniedPause is the time until a second request that no leaf could take is tried again: a leaf that is paced takes
	// the next request after 50 ms or more.
	deniedPause = 25 * time.Millisecond
	// longestPause bounds the pause of a shard, which doubles each time: leafs refuse connections for about a second after a
	// loss of all instances, and each try may open one.
	longestPause = 200 * time.Millisecond
	// crowdShare is the share of shards that are late together under load; leafs that pause or turn slow make a third late.
	crowdShare = 0.5
)

// New returns a course of which nothing was asked yet.
func New(plan Plan) *Course {
	allowed := plan.Attempts
	if plan.Slice {
		allowed = min(1, allowed)
	}
	return &Course{plan: plan, shards: make([]shard, plan.Shards), open: plan.Shards, allowed: allowed}
}

// OnGrant allows all attempts of a slice, and returns the shards that need another one now.
func (c *Course) OnGrant() []int {
	if c.allowed >= c.plan.Attempts {
		return nil
	}
	c.allowed = c.plan.Attempts
	var again []int
	for index := range c.shards {
		s := &c.shards[index]
		if s.lost && !s.done && s.running == 0 && s.asked < c.allowed {
			s.lost = false
			again = append(again, index)
		}
	}
	return again
}

// NeedsGrant tells whether a shard waits for another attempt to be allowed.
func (c *Course) NeedsGrant() bool {
	if c.allowed >= c.plan.Attempts {
		return false
	}
	for index := range c.shards {
		if s := &c.shards[index]; s.lost && !s.done && s.running == 0 {
			return true
		}
	}
	return false
}

// OnSent notes that a shard was asked.
func (c *Course) OnSent(index int, now time.Duration) {
	s := &c.shards[index]
	s.asked++
	s.running++
	s.lastSent = now
}

// OnHandedOver notes that another instance asks the leafs of a shard, and reports until the given time.
func (c *Course) OnHandedOver(index int, now, until time.Duration) {
	c.OnSent(index, now)
	c.shards[index].handed = true
	c.shards[index].deniedUntil = until
}

// OnGranted notes that the other instance may use all attempts of a shard, and reports again until the given time.
func (c *Course) OnGranted(index int, until time.Duration) {
	s := &c.shards[index]
	s.asked = c.plan.Attempts
	s.deniedUntil = until
}

// OnPart notes a part and tells whether it counts: the first of its shard does.
func (c *Course) OnPart(index int) bool {
	s := &c.shards[index]
	s.running--
	if s.done {
		return false
	}
	s.done = true
	c.parts++
	c.open--
	return true
}

// OnFailure notes a request that brought no part, and tells whether the shard needs another attempt; one that no leaf
// ran counts as none.
func (c *Course) OnFailure(index int, ran bool) bool {
	s := &c.shards[index]
	s.running--
	s.handed = false
	if !ran {
		s.asked--
	}
	if s.done || s.running > 0 {
		return false
	}
	s.lost = s.asked >= c.allowed
	return !s.lost
}

// OnDenied notes that no leaf could take an attempt, or that the budget is used up. It is tried again after a pause, which
// grows where no earlier attempt runs.
func (c *Course) OnDenied(index int, now time.Duration) {
	s := &c.shards[index]
	s.deniedUntil = now + deniedPause
	if s.running > 0 {
		return
	}
	s.pause = min(longestPause, max(deniedPause, 2*s.pause))
	s.deniedUntil = now + s.pause
	s.lost = s.deniedUntil > c.plan.RetryUntil
	s.paused = !s.lost
}

// OnLost notes that no leaf is left that could take another attempt, while none runs.
func (c *Course) OnLost(index int) { c.shards[index].lost = true }

// PauseOver returns the shards whose pause is over, which should be tried again now.
func (c *Course) PauseOver(now time.Duration) []int {
	var over []int
	for index := range c.shards {
		if s := &c.shards[index]; s.paused && now >= s.deniedUntil {
			s.paused = false
			over = append(over, index)
		}
	}
	return over
}

// AtRisk tells whether more shards are open, after the due time, than an answer may lack.
func (c *Course) AtRisk(now time.Duration) bool {
	return now >= c.plan.Due && !c.enough()
}

// Lost tells whether no further attempt of a shard is possible.
func (c *Course) Lost(index int) bool { return c.shards[index].lost }

// Done tells whether the part of a shard is there.
func (c *Course) Done(index int) bool { return c.shards[index].done }

// Expect takes how many shards will probably answer before the due time.
func (c *Course) Expect(inTime int) { c.expectLate = inTime < c.plan.MinParts }

// AttemptUntil returns when a leaf should stop work on a request that is sent now. Before the due time that is
// the due time: a leaf that falls behind then drops what nobody waits for, instead of working it off and
// being late for everything behind it. A query that is expected to be late waits for what is late; the last attempt of
// a shard runs on for a while where more shards are open than an answer may lack.
func (c *Course) AttemptUntil(index int, now time.Duration) time.Duration {
	last := c.shards[index].asked+1 >= c.plan.Attempts
	atRisk := c.open > c.plan.Shards-c.plan.MinParts
	switch {
	case now >= c.plan.Due || c.expectLate:
		return c.plan.GiveUp
	case last && atRisk:
		return max(c.plan.LateUntil, now+(c.plan.GiveUp-now)/2)
	}
	return c.plan.Due
}

// Parts returns how many parts are there.
func (c *Course) Parts() int { return c.parts }

// Late returns the shards that should be asked again now. Those that this instance asked are left out where so many are late
// that the cause is load, which second requests would add to.
func (c *Course) Late(now time.Duration) []int {
	var late, handed []int
	for index := range c.shards {
		switch s := &c.shards[index]; {
		case !c.mayHedge(s) || now < c.hedgeAt(s):
		case s.handed:
			handed = append(handed, index)
		default:
			late = append(late, index)
		}
	}
	if len(late) <= 1 || float64(len(late)) <= crowdShare*float64(c.plan.Shards) {
		return append(handed, late...)
	}
	for _, index := range late {
		c.shards[index].deniedUntil = now + deniedPause
	}
	return handed
}

// Verdict says whether the query ends now.
func (c *Course) Verdict(now time.Duration) Verdict {
	switch {
	case c.open == 0:
		return Complete
	case c.hopeless():
		return c.end(Exhausted)
	case now >= c.plan.GiveUp:
		return c.end(TimedOut)
	case c.plan.Slice:
		return Continue
	case now >= c.plan.LateUntil && c.enough():
		return Partial
	case now >= c.plan.Due && now < c.plan.LateUntil && c.enough() && c.wasEnoughAtDue(now):
		return Partial
	}
	return Continue
}

// Wake returns when to look again if nothing happens.
func (c *Course) Wake(now time.Duration) time.Duration {
	wake := c.plan.GiveUp
	for _, moment := range []time.Duration{c.plan.Due, c.plan.LateUntil} {
		if moment > now {
			wake = min(wake, moment)
		}
	}
	for index := range c.shards {
		s := &c.shards[index]
		if c.mayHedge(s) {
			wake = min(wake, max(now, c.hedgeAt(s)))
		}
		if s.paused {
			wake = min(wake, max(now, s.deniedUntil))
		}
	}
	return wake
}

func (c *Course) enough() bool { return c.parts >= c.plan.MinParts }

// wasEnoughAtDue holds just after the due time; an answer that is late anyway waits until LateUntil for more parts.
func (c *Course) wasEnoughAtDue(now time.Duration) bool { return now < c.plan.Due+dueSlack }

// dueSlack is how late the look at the due time may come and still count as in time.
const dueSlack = 5 * time.Millisecond

func (c *Course) end(failure Verdict) Verdict {
	if c.enough() {
		return Partial
	}
	return failure
}

// hopeless tells whether nothing more can come, or more shards are lost than an answer may lack. An answer with enough
// parts does not wait for shards that pause.
func (c *Course) hopeless() bool {
	lost, paused := 0, 0
	for index := range c.shards {
		switch s := &c.shards[index]; {
		case s.done:
		case s.lost:
			lost++
		case s.paused:
			paused++
		}
	}
	if c.plan.Slice {
		return lost == c.open && !c.NeedsGrant()
	}
	return lost == c.open || lost > c.plan.Shards-c.plan.MinParts || c.enough() && lost+paused == c.open
}

func (c *Course) mayHedge(s *shard) bool {
	return !c.plan.Once && !s.done && !s.lost && s.running > 0 && s.asked < c.allowed
}

func (c *Course) hedgeAt(s *shard) time.Duration {
	return max(s.lastSent+c.plan.HedgeAfter, s.deniedUntil)
}
