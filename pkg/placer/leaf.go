// The state of a leaf is derived from requests only. Health endpoints are not
// consulted: they may answer while requests fail, and fail while requests
// succeed.

package placer

import (
	"sync/atomic"
	"time"

	"lovagedeck/pkg/limiter"
)

const (
	// slownessGain is the weight of one answer in the moving average of the slowness. slowPeriodGain replaces it once a
	// leaf has been slow for longer than a pause lasts.
	slownessGain   = 0.25
	slowPeriodGain = 0.6
	// slownessHalfLife is the half-life with which slowness decays to 1, so that a leaf that was slow is tried again: slow
	// periods last 6 to 8 s.
	slownessHalfLife = 4 * time.Second
	// minSlowness and maxSlowness clamp the slowness computed from one answer.
	minSlowness = 0.3
	maxSlowness = 30.0
	// failureRateGain is the weight of one outcome in the moving average of the failure rate.
	failureRateGain = 0.4
	// failureRateHalfLife is the half-life with which the failure rate decays: failures of a leaf last 4 to 8 s.
	failureRateHalfLife = 5 * time.Second
	// minEjection and maxEjection bound the time for which a leaf is ejected after it was unreachable or did not answer.
	minEjection = 100 * time.Millisecond
	maxEjection = 1600 * time.Millisecond
	// stallFactor is how many typical latencies a request may remain unanswered before the leaf counts as stalled.
	stallFactor = 3.0
	// maxLimit is the initial and highest concurrency limit, in requests of this instance.
	maxLimit = 16.0
	// minLimit is the lowest concurrency limit. A limit below 1 allows one request at a time, with a pause after each.
	minLimit = 0.125
	// pacingInterval is the time that must pass between the starts of two requests at a limit of 0.5: about the interval at
	// which one instance sends requests to a leaf in the present deployment.
	pacingInterval = 50 * time.Millisecond
	// The limit is multiplied by limitDecreaseFactor after a late or timed-out request and raised by limitIncrease after
	// each answer.
	limitDecreaseFactor = 0.5
	limitIncrease       = 0.1
	// DrainingGrace is how long a draining leaf may still be chosen as a last resort. The leaf serves for longer than that,
	// but the list of leafs reports the start of draining with a delay.
	DrainingGrace = time.Second
	// minStall prevents a scheduling delay of this instance from making short requests look stalled.
	minStall = 25 * time.Millisecond
)

const (
	// Answered means that the leaf returned a usable answer.
	Answered Outcome = iota
	// Refused means that the leaf refused the request for lack of capacity and did not execute it.
	Refused
	// Failed means that the leaf returned an error or an invalid answer, or that the connection broke.
	Failed
	// Unreachable means that no connection could be opened.
	Unreachable
	// Replaced means that another leaf now uses the address.
	Replaced
	// LeafTimedOut means that the leaf stopped work at the time limit it was given.
	LeafTimedOut
	// Unanswered means that the request had no answer when its time was over and was abandoned.
	Unanswered
	// Dropped means that this instance had no memory left for the answer, which says nothing about the leaf.
	Dropped
	// NotPermitted means that the rate limit of the leaf left no room for the request, which was not sent.
	NotPermitted
	// Resting means that the leaf had asked for rest before the request was sent to it.
	Resting
	// Unopened means that this instance had no descriptor or memory left for a connection, which says nothing about the leaf.
	Unopened
)

type (
	// Outcome is the result of one request to a leaf.
	Outcome int

	// Fields holds the attributes of a leaf as given in the list of leafs.
	Fields struct {
		ID         string
		Service    string
		DataCentre string
		Address    string
		Slots      int
		IsDraining bool
		// Version is the version of the software of the leaf, and IsCandidate is set if a control instance has marked it as one of a new
		// version.
		Version     string
		IsCandidate bool
		// ListedAt is when this instance first saw the leaf in a list.
		ListedAt time.Duration
	}

	// Leaf holds what this instance knows about one leaf and requires external locking, except for Fields.
	Leaf struct {
		// fields points to a value that is replaced and never changed, because log lines read it without the lock.
		fields      atomic.Pointer[Fields]
		warmUpUntil time.Duration
		// running holds the requests of this instance in progress by ID, and foreign those of other instances that it knows.
		running map[uint64]*task
		foreign map[uint64]*task
		// slowness is a moving average of the ratio of the latency to the typical latency; it is 1 for a leaf of usual speed.
		slowness             float64
		slownessUpdatedAt    time.Duration
		failureRate          float64
		failureRateUpdatedAt time.Duration
		// ejection is the length of the last ejection, 0 after an answer.
		ejection        time.Duration
		ejectedUntil    time.Duration
		lastAnswerAt    time.Duration
		typicalLatency  time.Duration
		isReplaced      bool
		replacedAt      time.Duration
		isOutsideSubset bool
		limit           float64
		lastSentAt      time.Duration
		drainingSince   time.Duration
		// isSlow is set if the last answer was slow. slowSince and lastSlowAt are the times of the first and the last slow
		// answer of the slow period.
		isSlow     bool
		slowSince  time.Duration
		lastSlowAt time.Duration
		// observedAt is the time of the latest observation, made here or applied from another instance.
		observedAt time.Duration
		// isKnownUnhealthy is set if the latest observation, made here or applied from another instance, was that the leaf is
		// slow, failing or replaced.
		isKnownUnhealthy bool
		rateLimit        limiter.Limit
		noPermitUntil    time.Duration
		restUntil        time.Duration
		// statesLeaving is set while the responses of the leaf state that it is leaving, last at leavingStatedAt.
		statesLeaving   bool
		leavingStatedAt time.Duration
	}
)

// New returns a leaf without recorded requests that is warming up until warmUpUntil. One that is listed as draining gets no requests,
// since it is not known for how long it has been.
func New(fields Fields, warmUpUntil, now time.Duration) *Leaf {
	l := &Leaf{warmUpUntil: warmUpUntil, drainingSince: now - DrainingGrace, slowness: 1, limit: maxLimit, running: map[uint64]*task{}}
	l.fields.Store(&fields)
	return l
}

// String returns the outcome as text for logs and explanations.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case Refused:
		return "refused without running it"
	case Failed:
		return "failed"
	case Unreachable:
		return "not reached"
	case Replaced:
		return "another leaf has the address"
	case LeafTimedOut:
		return "stopped at its time limit"
	case Unanswered:
		return "silent"
	case Dropped:
		return "dropped here for lack of memory"
	case Unopened:
		return "no connection for lack of descriptors or memory here"
	case NotPermitted:
		return "not sent: the rate limit of the leaf is used up"
	case Resting:
		return "not sent: the leaf asked for rest"
	}
	return "unknown"
}

// Stats holds the figures of a leaf that are written to the log.
type Stats struct {
	Running     int
	Limit       float64
	Slowness    float64
	FailureRate float64
	IsStalled   bool
	IsEjected   bool
}

// Stats returns the current figures of the leaf for a log line.
func (l *Leaf) Stats(now time.Duration) Stats {
	return Stats{
		Running: len(l.running), Limit: l.limit, Slowness: l.slownessAt(now), FailureRate: l.failureRateAt(now),
		IsStalled: l.IsStalled(now), IsEjected: l.IsEjected(now),
	}
}

// Fields returns the attributes of the leaf as last given in the list of leafs. It may be called without the lock.
func (l *Leaf) Fields() Fields { return *l.fields.Load() }

// Update sets the attributes and the end of the warm-up from a newer list of leafs, read at readAt, and reports whether they show that the
// leaf has started again.
func (l *Leaf) Update(fields Fields, warmUpUntil, readAt, now time.Duration) bool {
	previous := l.fields.Load()
	if fields.IsDraining && !l.IsDraining() {
		l.drainingSince = now
	}
	l.fields.Store(&fields)
	l.warmUpUntil = warmUpUntil
	hasRestarted := previous.IsDraining && !fields.IsDraining || previous.isOfOtherBuild(fields)
	if hasRestarted {
		l.forgetProcess(readAt)
	}
	return l.OnListed(readAt) || hasRestarted
}

// isOfOtherBuild reports whether the leaf runs another service or version. A control instance of an older build does not know versions.
func (f *Fields) isOfOtherBuild(other Fields) bool {
	return f.Service != other.Service || f.Version != other.Version && f.Version != "" && other.Version != ""
}

// IsClosed reports whether the leaf must get no more requests, since it has been draining for DrainingGrace.
func (l *Leaf) IsClosed(now time.Duration) bool {
	return l.IsDraining() && now-l.drainingSince >= DrainingGrace
}

// IsWarmingUp reports whether the leaf is still in its warm-up period.
func (l *Leaf) IsWarmingUp(now time.Duration) bool { return now < l.warmUpUntil }

// ExtendWarmUp extends the warm-up period to the given time and never shortens it.
func (l *Leaf) ExtendWarmUp(until time.Duration) { l.warmUpUntil = max(l.warmUpUntil, until) }

// SetInSubset sets whether the leaf is in the subset to which this instance keeps persistent connections.
func (l *Leaf) SetInSubset(isInSubset bool) { l.isOutsideSubset = !isInSubset }

// IsInSubset reports whether the leaf is in the subset to which this instance keeps persistent connections.
func (l *Leaf) IsInSubset() bool { return !l.isOutsideSubset }

// IsReplaced reports whether another leaf now uses the address.
func (l *Leaf) IsReplaced() bool { return l.isReplaced }

// IsEjected reports whether the leaf is temporarily ejected and gets requests only as a last resort.
func (l *Leaf) IsEjected(now time.Duration) bool { return now < l.ejectedUntil }

// Running returns the number of requests of this instance in progress at the leaf.
func (l *Leaf) Running() int { return len(l.running) }

// OnSend records that a request was sent to the leaf; typicalLatency is the usual latency of requests of its kind.
func (l *Leaf) OnSend(id uint64, typicalLatency, now time.Duration) {
	l.running[id] = &task{sentAt: now}
	l.startTasks(now)
	l.lastSentAt = now
	l.typicalLatency = typicalLatency
}

// OnEnd records the outcome of a request and its latency, measured from the time of sending.
func (l *Leaf) OnEnd(id uint64, outcome Outcome, latency, typicalLatency, now time.Duration) {
	delete(l.running, id)
	l.startTasks(now)
	switch outcome {
	case Answered:
		l.lastAnswerAt = now
		l.ejection = 0
		l.ejectedUntil = 0
		ratio := float64(latency) / float64(max(typicalLatency, time.Millisecond))
		l.trackSlowPeriod(ratio, now)
		l.updateSlowness(ratio, now)
		l.updateFailureRate(0, now)
		l.limit = min(maxLimit, l.limit+limitIncrease)
	case Refused:
		// The limit is unchanged: a refusal takes none of the leaf's time, and some leafs refuse requests while they still
		// have capacity.
		l.lastAnswerAt = now
		l.updateFailureRate(1, now)
	case Failed:
		l.updateFailureRate(1, now)
	case Unreachable, Unanswered:
		l.updateFailureRate(1, now)
		l.eject(now)
	case Unopened:
		// Leafs with open connections are better for now. The other instances must not learn of a failure.
		l.eject(now)
	case LeafTimedOut:
		l.lastAnswerAt = now
		l.recordMinLatency(latency, typicalLatency, now)
		l.decreaseLimit()
	case Replaced:
		l.isReplaced, l.replacedAt = true, now
	}
}

// OnAbandon records that a request was abandoned without an answer after the elapsed time, because it is late or another leaf
// answered. After more than stallFactor typical latencies the concurrency limit is reduced, and a leaf that has answered
// nothing since the request was sent is ejected.
func (l *Leaf) OnAbandon(id uint64, elapsed, typicalLatency, now time.Duration) {
	sent, known := l.running[id]
	delete(l.running, id)
	l.startTasks(now)
	l.recordMinLatency(elapsed, typicalLatency, now)
	if elapsed <= time.Duration(stallFactor*float64(typicalLatency)) {
		return
	}
	l.decreaseLimit()
	if known && l.lastAnswerAt <= sent.sentAt {
		l.eject(now)
	}
}

// OnOverdue records that a request is still unanswered after the elapsed time and is sent to another leaf as well.
func (l *Leaf) OnOverdue(elapsed, typicalLatency, now time.Duration) {
	l.recordMinLatency(elapsed, typicalLatency, now)
}

// ForgetObservations drops the observed speed, failures and ejection, and restores the concurrency limit.
func (l *Leaf) ForgetObservations() {
	l.slowness, l.failureRate, l.isSlow, l.isKnownUnhealthy = 1, 0, false, false
	l.ejection, l.ejectedUntil, l.limit = 0, 0, maxLimit
}

// decreaseLimit reduces the load on a leaf that has fallen behind: requests queued there are late for every instance.
func (l *Leaf) decreaseLimit() { l.limit = max(minLimit, limitDecreaseFactor*l.limit) }

// IsAtLimit reports whether the concurrency limit of this instance for the leaf is reached.
func (l *Leaf) IsAtLimit(now time.Duration) bool {
	if l.limit >= 1 {
		return float64(len(l.running)) >= l.limit
	}
	pause := time.Duration((1/l.limit - 1) * float64(pacingInterval))
	return len(l.running) > 0 || now-l.lastSentAt < pause
}

// recordMinLatency records the elapsed time of an unanswered request as a lower bound of its latency.
func (l *Leaf) recordMinLatency(elapsed, typicalLatency, now time.Duration) {
	ratio := float64(elapsed) / float64(max(typicalLatency, time.Millisecond))
	if ratio >= slowThreshold {
		l.trackSlowPeriod(ratio, now)
	}
	if ratio > l.slownessAt(now) {
		l.updateSlowness(ratio, now)
	}
}

// IsStalled reports whether the leaf has requests in progress and has answered none for several typical latencies, or for several
// times the work that the dearest of them is expected to cost.
func (l *Leaf) IsStalled(now time.Duration) bool {
	oldest, usual := now, l.typicalLatency
	for _, running := range l.running {
		oldest, usual = min(oldest, running.sentAt), max(usual, running.cost)
	}
	unanswered := now - max(oldest, l.lastAnswerAt)
	limit := max(minStall, time.Duration(stallFactor*l.slownessAt(now)*float64(usual)))
	return unanswered > limit
}

// ExpectedLatency returns the expected latency of a request whose kind has the given typical latency.
func (l *Leaf) ExpectedLatency(typicalLatency, now time.Duration) time.Duration {
	load := float64(len(l.running)) / float64(max(1, l.fields.Load().Slots))
	return time.Duration(l.slownessAt(now) * (1 + load) * float64(typicalLatency))
}

func (l *Leaf) updateSlowness(ratio float64, now time.Duration) {
	ratio = max(minSlowness, min(ratio, maxSlowness))
	current := l.slownessAt(now)
	gain := slownessGain
	if l.isSlow && now-l.slowSince >= maxPause {
		gain = slowPeriodGain
	}
	l.slowness = current + gain*(ratio-current)
	l.slownessUpdatedAt = now
}

func (l *Leaf) updateFailureRate(failure float64, now time.Duration) {
	current := l.failureRateAt(now)
	l.failureRate = current + failureRateGain*(failure-current)
	l.failureRateUpdatedAt = now
}

// eject ejects the leaf, for twice as long as the last time if it has not answered since.
func (l *Leaf) eject(now time.Duration) {
	if now < l.ejectedUntil {
		return
	}
	l.ejection = min(maxEjection, max(minEjection, 2*l.ejection))
	l.ejectedUntil = now + l.ejection
}

func (l *Leaf) slownessAt(now time.Duration) float64 {
	return 1 + (l.slowness-1)*decay(now-l.slownessUpdatedAt, slownessHalfLife)
}

func (l *Leaf) failureRateAt(now time.Duration) float64 {
	return l.failureRate * decay(now-l.failureRateUpdatedAt, failureRateHalfLife)
}
