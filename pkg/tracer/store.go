// The store is bounded. It keeps the slowest queries, the latest queries that
// were partial, failed or refused, and the latest of a sample of the others.

package tracer

import (
	"sort"
	"sync"
)

const (
	maxSlowest   = 64
	maxIncidents = 512
	maxSamples   = 256
	// samplingInterval is the number of queries per sampled query.
	samplingInterval = 20
	// slowestAgingInterval is the number of queries after which the faster half of the slowest ones is dropped, so that newer
	// queries can take their place.
	slowestAgingInterval = 10_000
)

// Store holds a bounded number of traces, and is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	slowest   []Trace
	incidents ring
	samples   ring
	added     int
}

// ring is a ring buffer of the latest traces.
type ring struct {
	traces []Trace
	next   int
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{} }

// Add stores the trace if the query is among the slowest, was not complete or is sampled.
func (s *Store) Add(trace Trace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.added++
	if s.added%slowestAgingInterval == 0 {
		s.slowest = s.slowest[:len(s.slowest)/2]
	}
	s.addSlowest(trace)
	if trace.Outcome != "complete" {
		s.incidents.add(trace, maxIncidents)
		return
	}
	if s.added%samplingInterval == 0 {
		s.samples.add(trace, maxSamples)
	}
}

// Find returns the trace of a query and whether the store holds it.
func (s *Store) Find(id string) (Trace, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, traces := range [][]Trace{s.slowest, s.incidents.traces, s.samples.traces} {
		for _, trace := range traces {
			if trace.ID == id {
				return trace, true
			}
		}
	}
	return Trace{}, false
}

// Slowest returns the traces of the slowest queries, slowest first.
func (s *Store) Slowest() []Trace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Trace(nil), s.slowest...)
}

func (s *Store) addSlowest(trace Trace) {
	if len(s.slowest) == maxSlowest && trace.Took <= s.slowest[maxSlowest-1].Took {
		return
	}
	index := sort.Search(len(s.slowest), func(i int) bool { return s.slowest[i].Took < trace.Took })
	s.slowest = append(s.slowest, Trace{})
	copy(s.slowest[index+1:], s.slowest[index:])
	s.slowest[index] = trace
	s.slowest = s.slowest[:min(len(s.slowest), maxSlowest)]
}

func (r *ring) add(trace Trace, size int) {
	if len(r.traces) < size {
		r.traces = append(r.traces, trace)
		return
	}
	r.traces[r.next] = trace
	r.next = (r.next + 1) % size
}

func sortLatestFirst(spans []Span) {
	sort.SliceStable(spans, func(i, j int) bool { return spans[i].End() > spans[j].End() })
}
