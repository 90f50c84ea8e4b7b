// The store is bounded. It always keeps the slowest queries, the partial
// ones and the refused ones, and a sample of the rest.

package tracer

import (
	"sort"
	"sync"
)

const (
	keptSlowest   = 64
	keptIncident  = 512
	keptSample    = 256
	sampleEvery   = 20
	slowestEpochs = 10_000
)

// Store keeps traces of queries.
type Store struct {
	mu        sync.Mutex
	slowest   []Trace
	incidents ring
	sample    ring
	seen      int
}

type ring struct {
	traces []Trace
	next   int
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{} }

// Add keeps the trace where it is slow, partial, refused or sampled.
func (s *Store) Add(trace Trace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen++
	if s.seen%slowestEpochs == 0 {
		s.slowest = s.slowest[:len(s.slowest)/2]
	}
	s.addSlow(trace)
	if trace.Outcome != "complete" {
		s.incidents.add(trace, keptIncident)
		return
	}
	if s.seen%sampleEvery == 0 {
		s.sample.add(trace, keptSample)
	}
}

// Find returns the trace of a query, if it is kept.
func (s *Store) Find(id string) (Trace, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, traces := range [][]Trace{s.slowest, s.incidents.traces, s.sample.traces} {
		for _, trace := range traces {
			if trace.ID == id {
				return trace, true
			}
		}
	}
	return Trace{}, false
}

// Slowest returns the slowest traces, slowest first.
func (s *Store) Slowest() []Trace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Trace(nil), s.slowest...)
}

func (s *Store) addSlow(trace Trace) {
	if len(s.slowest) == keptSlowest && trace.Took <= s.slowest[keptSlowest-1].Took {
		return
	}
	at := sort.Search(len(s.slowest), func(i int) bool { return s.slowest[i].Took < trace.Took })
	s.slowest = append(s.slowest, Trace{})
	copy(s.slowest[at+1:], s.slowest[at:])
	s.slowest[at] = trace
	s.slowest = s.slowest[:min(len(s.slowest), keptSlowest)]
}

func (r *ring) add(trace Trace, size int) {
	if len(r.traces) < size {
		r.traces = append(r.traces, trace)
		return
	}
	r.traces[r.next] = trace
	r.next = (r.next + 1) % size
}

func sortSpans(spans []Span) {
	sort.SliceStable(spans, func(i, j int) bool { return spans[i].End() > spans[j].End() })
}
