package controller

import (
	"time"

	"lovagedeck/pkg/replicator"
)

const (
	// minConfirmInterval is the minimum time between confirmation requests of one control instance. Each confirmation costs a
	// round of messages among the control instances, and 300 entry instances that each renew every 400 ms would otherwise
	// request confirmations almost continuously.
	minConfirmInterval = 50 * time.Millisecond
	// startupPeriod is the time after the first request during which confirmations are not limited, because starting entry
	// instances need their first views quickly.
	startupPeriod = 5 * time.Second
)

type (
	// confirmLimiter limits the rate of confirmation requests.
	confirmLimiter struct {
		hasStarted bool
		firstAt    time.Duration
		lastAt     time.Duration
	}

	// confirmQueue batches linearizable reads. A confirmation by a majority (the ReadIndex method of Raft) yields a log index
	// that serves all reads queued before it was requested.
	confirmQueue struct {
		limiter confirmLimiter
		lastID  uint64
		// inFlightID is the identifier of the confirmation in flight, or 0.
		inFlightID uint64
		inFlight   []func(ok bool)
		queued     []func(ok bool)
		confirmed  []confirmedRead
	}

	confirmedRead struct {
		index uint64
		done  func(ok bool)
	}
)

// add calls done(true) once the state machine has applied every entry that was committed before add was called, or
// done(false) if no majority confirms that.
func (q *confirmQueue) add(s *Server, done func(ok bool)) {
	if s.failed != nil {
		done(false)
		return
	}
	q.queued = append(q.queued, done)
	q.requestConfirm(s)
}

// requestConfirm requests a confirmation if reads are queued, none is in flight and the limiter allows it. The server loop
// also calls it on each tick.
func (q *confirmQueue) requestConfirm(s *Server) {
	if q.inFlightID != 0 || len(q.queued) == 0 || !q.limiter.allow(s.config.Now()) {
		return
	}
	q.lastID++
	q.inFlightID = q.lastID
	q.inFlight, q.queued = q.queued, nil
	s.step(replicator.ReadIndex{ID: q.inFlightID})
}

func (q *confirmQueue) onConfirmed(s *Server, confirmed replicator.ReadIndexResult) {
	if confirmed.ID != q.inFlightID {
		return
	}
	reads := q.inFlight
	q.inFlight, q.inFlightID = nil, 0
	for _, done := range reads {
		if !confirmed.OK {
			done(false)
			continue
		}
		q.confirmed = append(q.confirmed, confirmedRead{index: confirmed.Index, done: done})
	}
	q.requestConfirm(s)
}

func (q *confirmQueue) onApplied(applied uint64) {
	remaining := q.confirmed[:0]
	for _, read := range q.confirmed {
		if read.index <= applied {
			read.done(true)
			continue
		}
		remaining = append(remaining, read)
	}
	q.confirmed = remaining
}

func (q *confirmQueue) failAll() {
	for _, done := range append(q.inFlight, q.queued...) {
		done(false)
	}
	for _, read := range q.confirmed {
		read.done(false)
	}
	*q = confirmQueue{lastID: q.lastID, limiter: q.limiter}
}

// allow reports whether a confirmation may be requested now and, if so, records the request.
func (l *confirmLimiter) allow(now time.Duration) bool {
	if !l.hasStarted {
		l.hasStarted, l.firstAt = true, now
	}
	if now-l.firstAt > startupPeriod && now-l.lastAt < minConfirmInterval {
		return false
	}
	l.lastAt = now
	return true
}
