package controller

import "lovagedeck/pkg/replicator"

type (
	// confirmQueue gathers everything that waits for a fresh index, so that one confirmation serves all of it.
	confirmQueue struct {
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

func (q *confirmQueue) ask(s *Server) {
	if q.inFlight != 0 || len(q.waiting) == 0 {
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
	*q = confirmQueue{nextID: q.nextID}
}
