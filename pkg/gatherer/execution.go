package gatherer

import "time"

const (
	// Continue means that the query keeps waiting for parts.
	Continue Decision = iota
	// Complete means that the query answers with the parts of all shards.
	Complete
	// Partial means that the query answers with the parts received so far, which are at least MinParts.
	Partial
	// Exhausted means that the query fails because it has too few parts and too few can still arrive.
	Exhausted
	// TimedOut means that the query fails because it had too few parts at its deadline.
	TimedOut
)

type (
	// Decision is what the query does next.
	Decision int

	// Plan holds the parameters of a query, which do not change while it runs. Points in time are readings of the instance's
	// monotonic clock.
	Plan struct {
		// Shards is the number of shards that the query is sent to.
		Shards int
		// MinParts is the smallest number of parts that makes an answer. A part is the result of one shard.
		MinParts int
		// MaxAttempts is the largest number of attempts for each shard.
		MaxAttempts int
		// ForbidsHedging rules out a second attempt for a shard while the first one is in flight.
		ForbidsHedging bool
		// IsSlice marks a query over some shards of a query that another instance coordinates and answers. It ends only when all
		// parts have arrived or no more can. Until the coordinating instance grants further attempts, each shard gets only one,
		// because that instance may have taken the shards back and be sending to their leafs itself.
		IsSlice bool
		// HedgeDelay is the time without an answer after which a shard gets another attempt.
		HedgeDelay time.Duration
		// SoftDeadline is the time by which an answer must be sent to meet the objective.
		SoftDeadline time.Duration
		// LateDeadline is the time until which an answer that missed the soft deadline waits for the missing shards.
		LateDeadline time.Duration
		// Deadline is the time at which the caller stops waiting or the timeout of the route ends.
		Deadline time.Duration
		// RetryUntil is the time after which a shard without an attempt in flight is no longer retried when no leaf can take the
		// request.
		RetryUntil time.Duration
	}

	// Execution is the state of one query. It decides when to hedge, when to retry, and when to answer:
	//
	//	start          each shard gets one attempt
	//	hedge delay    a shard without an answer gets another attempt, at another leaf
	//	soft deadline  an answer with at least MinParts parts is sent, to be in time
	//	late deadline  an answer that is late is sent with at least MinParts parts
	//	deadline       the query ends, with an answer if it has MinParts parts and with an error otherwise
	Execution struct {
		plan    Plan
		shards  []shard
		parts   int
		missing int
		// allowedAttempts is the current limit of attempts for each shard, at most one for a slice without a grant.
		allowedAttempts int
		// expectsLate is set if fewer than MinParts parts are expected before the soft deadline.
		expectsLate bool
	}

	shard struct {
		done     bool
		attempts int
		inFlight int
		lastSent time.Duration
		// delegated is set while another instance sends the request to the leafs of the shard.
		delegated bool
		// notBefore is the earliest time of the next attempt, after one that no leaf could take or, for a delegated shard, while
		// a report of the other instance is awaited.
		notBefore time.Duration
		// backingOff is set while the shard has no attempt in flight and waits for backoff to pass, because no leaf could take
		// the request.
		backingOff bool
		backoff    time.Duration
		// exhausted is set if no further attempt is possible.
		exhausted bool
	}
)

const (
	// minBackoff is the first backoff after no leaf could take an attempt, and the time by which hedges are deferred under load.
	// A rate-limited leaf takes its next request after 50 ms or more.
	minBackoff = 25 * time.Millisecond
	// maxBackoff bounds the backoff of a shard, which doubles each time. Leafs refuse connections for about a second after
	// all instances were lost, and each attempt may open a connection.
	maxBackoff = 200 * time.Millisecond
	// overloadShare is the share of late shards above which the cause is taken to be load. Leafs that pause or become slow
	// make about a third of the shards late.
	overloadShare = 0.5
)

// New returns the state of a query that has not sent any request.
func New(plan Plan) *Execution {
	allowedAttempts := plan.MaxAttempts
	if plan.IsSlice {
		allowedAttempts = min(1, allowedAttempts)
	}
	return &Execution{plan: plan, shards: make([]shard, plan.Shards), missing: plan.Shards, allowedAttempts: allowedAttempts}
}

// OnGrantReceived allows all attempts of a slice and returns the shards that need another attempt now.
func (e *Execution) OnGrantReceived() []int {
	if e.allowedAttempts >= e.plan.MaxAttempts {
		return nil
	}
	e.allowedAttempts = e.plan.MaxAttempts
	var retry []int
	for index := range e.shards {
		s := &e.shards[index]
		if s.exhausted && !s.done && s.inFlight == 0 && s.attempts < e.allowedAttempts {
			s.exhausted = false
			retry = append(retry, index)
		}
	}
	return retry
}

// NeedsGrant reports whether a shard of a slice can get another attempt only after a grant.
func (e *Execution) NeedsGrant() bool {
	if e.allowedAttempts >= e.plan.MaxAttempts {
		return false
	}
	for index := range e.shards {
		if s := &e.shards[index]; s.exhausted && !s.done && s.inFlight == 0 {
			return true
		}
	}
	return false
}

// OnSent records an attempt for a shard.
func (e *Execution) OnSent(index int, now time.Duration) {
	s := &e.shards[index]
	s.attempts++
	s.inFlight++
	s.lastSent = now
}

// OnDelegated records that another instance sends the request to the leafs of a shard and is expected to report by the
// given time.
func (e *Execution) OnDelegated(index int, now, reportBy time.Duration) {
	e.OnSent(index, now)
	e.shards[index].delegated = true
	e.shards[index].notBefore = reportBy
}

// OnGrantSent records that the other instance may use all attempts of a delegated shard and is expected to report again by the
// given time.
func (e *Execution) OnGrantSent(index int, reportBy time.Duration) {
	s := &e.shards[index]
	s.attempts = e.plan.MaxAttempts
	s.notBefore = reportBy
}

// OnPart records a part of a shard and reports whether it is the first one, which alone goes into the answer.
func (e *Execution) OnPart(index int) bool {
	s := &e.shards[index]
	s.inFlight--
	if s.done {
		return false
	}
	s.done = true
	e.parts++
	e.missing--
	return true
}

// OnFailure records an attempt that ended without a part and reports whether the shard needs another one. An attempt that no
// leaf ran does not count towards the limit.
func (e *Execution) OnFailure(index int, ran bool) bool {
	s := &e.shards[index]
	s.inFlight--
	s.delegated = false
	if !ran {
		s.attempts--
	}
	if s.done || s.inFlight > 0 {
		return false
	}
	s.exhausted = s.attempts >= e.allowedAttempts
	return !s.exhausted
}

// OnDenied records that an attempt was not sent, because no leaf could take it or the retry budget is used up. The shard is
// tried again after a backoff, which grows if no earlier attempt is in flight.
func (e *Execution) OnDenied(index int, now time.Duration) {
	s := &e.shards[index]
	s.notBefore = now + minBackoff
	if s.inFlight > 0 {
		return
	}
	s.backoff = min(maxBackoff, max(minBackoff, 2*s.backoff))
	s.notBefore = now + s.backoff
	s.exhausted = s.notBefore > e.plan.RetryUntil
	s.backingOff = !s.exhausted
}

// OnExhausted records that no further attempt of a shard is possible and none is in flight.
func (e *Execution) OnExhausted(index int) { e.shards[index].exhausted = true }

// ShardsToRetry returns the shards whose backoff has passed and ends their backoff. The caller tries them again at once.
func (e *Execution) ShardsToRetry(now time.Duration) []int {
	var retry []int
	for index := range e.shards {
		if s := &e.shards[index]; s.backingOff && now >= s.notBefore {
			s.backingOff = false
			retry = append(retry, index)
		}
	}
	return retry
}

// IsOverdue reports whether the soft deadline has passed with fewer than MinParts parts.
func (e *Execution) IsOverdue(now time.Duration) bool {
	return now >= e.plan.SoftDeadline && !e.hasMinParts()
}

// Attempts returns the number of attempts of a shard that leafs may have run or may still run. Those that another instance may use
// for it count as used.
func (e *Execution) Attempts(index int) int { return e.shards[index].attempts }

// InFlight returns the number of attempts of a shard that are in flight.
func (e *Execution) InFlight(index int) int { return e.shards[index].inFlight }

// IsExhausted reports whether no further attempt of a shard is possible.
func (e *Execution) IsExhausted(index int) bool { return e.shards[index].exhausted }

// HasPart reports whether the part of a shard has arrived.
func (e *Execution) HasPart(index int) bool { return e.shards[index].done }

// SetExpectedParts sets the number of shards that are expected to answer before the soft deadline.
func (e *Execution) SetExpectedParts(inTime int) { e.expectsLate = inTime < e.plan.MinParts }

// AttemptDeadline returns the deadline for a leaf of an attempt that is sent now. It is usually the soft deadline, so that a leaf
// with a backlog drops requests whose answer would come too late, and does not delay the requests queued behind them. A query
// that is or will be late uses its own deadline. If parts that the answer needs are still missing, the last attempt of a
// shard gets half of the remaining time or the late deadline, whichever is later.
func (e *Execution) AttemptDeadline(index int, now time.Duration) time.Duration {
	isLast := e.shards[index].attempts+1 >= e.plan.MaxAttempts
	lacksParts := e.missing > e.plan.Shards-e.plan.MinParts
	switch {
	case now >= e.plan.SoftDeadline || e.expectsLate:
		return e.plan.Deadline
	case isLast && lacksParts:
		return max(e.plan.LateDeadline, now+(e.plan.Deadline-now)/2)
	}
	return e.plan.SoftDeadline
}

// Parts returns the number of shards whose part has arrived.
func (e *Execution) Parts() int { return e.parts }

// ShardsToHedge returns the shards that need another attempt now because their answer or report is late. If so many are late that
// the cause is load, it defers the shards that are not delegated, since hedged requests would add to the load.
func (e *Execution) ShardsToHedge(now time.Duration) []int {
	var late, delegated []int
	for index := range e.shards {
		switch s := &e.shards[index]; {
		case !e.canHedge(s) || now < e.hedgeTime(s):
		case s.delegated:
			delegated = append(delegated, index)
		default:
			late = append(late, index)
		}
	}
	if len(late) <= 1 || float64(len(late)) <= overloadShare*float64(e.plan.Shards) {
		return append(delegated, late...)
	}
	for _, index := range late {
		e.shards[index].notBefore = now + minBackoff
	}
	return delegated
}

// Decide returns whether the query ends now, and how.
func (e *Execution) Decide(now time.Duration) Decision {
	switch {
	case e.missing == 0:
		return Complete
	case e.shouldStopEarly():
		return e.finish(Exhausted)
	case now >= e.plan.Deadline:
		return e.finish(TimedOut)
	case e.plan.IsSlice:
		return Continue
	case now >= e.plan.LateDeadline && e.hasMinParts():
		return Partial
	case now >= e.plan.SoftDeadline && now < e.plan.LateDeadline && e.hasMinParts() && e.isAtSoftDeadline(now):
		return Partial
	}
	return Continue
}

// NextCheck returns the time of the next check if no event comes before it.
func (e *Execution) NextCheck(now time.Duration) time.Duration {
	next := e.plan.Deadline
	for _, deadline := range []time.Duration{e.plan.SoftDeadline, e.plan.LateDeadline} {
		if deadline > now {
			next = min(next, deadline)
		}
	}
	for index := range e.shards {
		s := &e.shards[index]
		if e.canHedge(s) {
			next = min(next, max(now, e.hedgeTime(s)))
		}
		if s.backingOff {
			next = min(next, max(now, s.notBefore))
		}
	}
	return next
}

func (e *Execution) hasMinParts() bool { return e.parts >= e.plan.MinParts }

// isAtSoftDeadline reports whether the soft deadline has only just passed. An answer that is already late waits for more parts
// until the late deadline.
func (e *Execution) isAtSoftDeadline(now time.Duration) bool {
	return now < e.plan.SoftDeadline+softDeadlineSlack
}

// softDeadlineSlack is the longest delay of the check at the soft deadline that still counts as in time.
const softDeadlineSlack = 5 * time.Millisecond

func (e *Execution) finish(failure Decision) Decision {
	if e.hasMinParts() {
		return Partial
	}
	return failure
}

// shouldStopEarly reports whether the query should end before its deadlines: no more parts can arrive, too few can for an
// answer, or it has MinParts parts and the other shards are exhausted or in backoff. A slice ends early only when no more parts
// can arrive, even after a grant.
func (e *Execution) shouldStopEarly() bool {
	exhausted, backingOff := 0, 0
	for index := range e.shards {
		switch s := &e.shards[index]; {
		case s.done:
		case s.exhausted:
			exhausted++
		case s.backingOff:
			backingOff++
		}
	}
	if e.plan.IsSlice {
		return exhausted == e.missing && !e.NeedsGrant()
	}
	return exhausted == e.missing || exhausted > e.plan.Shards-e.plan.MinParts || e.hasMinParts() && exhausted+backingOff == e.missing
}

func (e *Execution) canHedge(s *shard) bool {
	return !e.plan.ForbidsHedging && !s.done && !s.exhausted && s.inFlight > 0 && s.attempts < e.allowedAttempts
}

func (e *Execution) hedgeTime(s *shard) time.Duration {
	return max(s.lastSent+e.plan.HedgeDelay, s.notBefore)
}
