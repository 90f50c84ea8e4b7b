package controller

import (
	"time"

	"lovagedeck/pkg/replicator"
)

const (
	// confirmPause is the least time between confirmations that one instance asks for: with 300 entry instances renewals come all
	// the time, and each confirmation is a round of messages among the control instances. Renewals come each 400 ms.
	confirmPause = 50 * time.Millisecond
	// hurryTime is how long after the first confirmation there is no pause: entry instances that start need their first views.
	hurryTime = 5 * time.Second
)

type (
	// confirmPacer decides when the next confirmation may be asked for.
	confirmPacer struct {
		began   bool
		firstAt time.Duration
		lastAt  time.Duration
	}

	// confirmQueue gathers everything that waits for a fresh index, so that one confirmation serves all of it.
	confirmQueue struct {
		pacer    confirmPacer
		nextID   uint64
		inFlight uint64
		asked    []func(ok bool)
		waiting  []func(ok bool)
		ready    []readyRead
	}

	readyRead struct {
		index uint64
		done  func(ok bool)
	}
)

// add runs done once the state machine holds all that was committed when add was called.
func (q *confirmQueue) add(s *Server, done func(ok bool)) {
	if s.failed != nil {
		done(false)
		return
	}
	q.waiting = append(q.waiting, done)
	q.ask(s)
}

// ask asks for a confirmation where something waits for one; the control loop calls it at each tick as well.
func (q *confirmQueue) ask(s *Server) {
	if q.inFlight != 0 || len(q.waiting) == 0 || !q.pacer.take(s.config.Now()) {
		return
	}
	q.nextID++
	q.inFlight = q.nextID
	q.asked, q.waiting = q.waiting, nil
	s.step(replicator.Confirm{ID: q.inFlight})
}

func (q *confirmQueue) onConfirmed(s *Server, confirmed replicator.Confirmed) {
	if confirmed.ID != q.inFlight {
		return
	}
	asked := q.asked
	q.asked, q.inFlight = nil, 0
	for _, done := range asked {
		if !confirmed.OK {
			done(false)
			continue
		}
		q.ready = append(q.ready, readyRead{index: confirmed.Index, done: done})
	}
	q.ask(s)
}

func (q *confirmQueue) onApplied(applied uint64) {
	kept := q.ready[:0]
	for _, read := range q.ready {
		if read.index <= applied {
			read.done(true)
			continue
		}
		kept = append(kept, read)
	}
	q.ready = kept
}

func (q *confirmQueue) failAll() {
	for _, done := range append(q.asked, q.waiting...) {
		done(false)
	}
	for _, read := range q.ready {
		read.done(false)
	}
	*q = confirmQueue{nextID: q.nextID, pacer: q.pacer}
}

// take tells whether a confirmation may be asked for now, and notes that it is.
func (p *confirmPacer) take(now time.Duration) bool {
	if !p.began {
		p.began, p.firstAt = true, now
	}
	if now-p.firstAt > hurryTime && now-p.lastAt < confirmPause {
		return false
	}
	p.lastAt = now
	return true
}
