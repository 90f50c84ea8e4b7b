// The load generator is open-loop: queries start at their planned times even if
// earlier ones have not ended, and latency is measured from the planned time.
// This avoids coordinated omission, where a stalled tier delays later queries
// and so hides their latency.

package experimenter

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/dispatcher"
)

const (
	histogramMinUs             = 1
	histogramMaxUs             = 60_000_000
	histogramSignificantDigits = 3
)

type (
	// QueryTemplate describes one type of query and its share of the load, from 0 to 1.
	QueryTemplate struct {
		Caller        string
		Services      []string
		Share         float64
		HasSideEffect bool
	}

	// LoadStats collects the latencies, outcomes and coverage of the queries of a load.
	LoadStats struct {
		mu             sync.Mutex
		latency        *hdrhistogram.Histogram
		coverageSum    float64
		coverageCount  int
		outcomes       map[coordinator.Outcome]int
		reasons        map[string]int
		offered        int
		shardsNeeded   int
		slowestLatency time.Duration
		slowestID      string
		perSecond      map[int]*hdrhistogram.Histogram
		startedAt      time.Time
		duration       time.Duration
	}

	// QueryFunc runs one query and returns the answer as the caller received it.
	QueryFunc func(ctx context.Context, query dispatcher.Request) ObservedAnswer

	// LoadGenerator sends queries at a given mean rate with exponentially distributed intervals.
	LoadGenerator struct {
		rate      float64
		templates []QueryTemplate
		query     QueryFunc
		checker   *Checker
		random    *rand.Rand
	}
)

// NewLoadGenerator returns a generator of rate queries per second, whose answers go to checker.
func NewLoadGenerator(rate float64, templates []QueryTemplate, query QueryFunc, checker *Checker, seed uint64) *LoadGenerator {
	return &LoadGenerator{rate: rate, templates: templates, query: query, checker: checker, random: rand.New(rand.NewPCG(seed, 11))}
}

// Run sends queries for the duration, waits for all answers and returns the statistics.
func (g *LoadGenerator) Run(duration time.Duration) *LoadStats {
	stats := newLoadStats()
	var group conc.WaitGroup
	startedAt := time.Now()
	stats.startedAt = startedAt
	offset := time.Duration(0)
	for offset < duration {
		time.Sleep(time.Until(startedAt.Add(offset)))
		query := g.chooseQuery()
		plannedAt := startedAt.Add(offset)
		group.Go(func() { g.runQuery(query, plannedAt, stats) })
		offset += time.Duration(g.random.ExpFloat64() / g.rate * float64(time.Second))
	}
	group.Wait()
	stats.duration = duration
	return stats
}

func (g *LoadGenerator) runQuery(query dispatcher.Request, plannedAt time.Time, stats *LoadStats) {
	observed := g.query(context.Background(), query)
	stats.record(observed, time.Since(plannedAt))
	g.checker.Check(observed)
}

func (g *LoadGenerator) chooseQuery() dispatcher.Request {
	point := g.random.Float64()
	chosen := g.templates[len(g.templates)-1]
	for _, template := range g.templates {
		point -= template.Share
		if point < 0 {
			chosen = template
			break
		}
	}
	return dispatcher.Request{
		Caller: chosen.Caller, Weight: 1, Services: dispatcher.SortServices(chosen.Services), Text: "fig",
		Idempotent: !chosen.HasSideEffect,
	}
}

func newLoadStats() *LoadStats {
	return &LoadStats{
		latency:  hdrhistogram.New(histogramMinUs, histogramMaxUs, histogramSignificantDigits),
		outcomes: map[coordinator.Outcome]int{}, reasons: map[string]int{}, perSecond: map[int]*hdrhistogram.Histogram{},
	}
}

func (s *LoadStats) record(answer ObservedAnswer, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offered++
	s.outcomes[answer.Outcome]++
	if answer.Reason != "" {
		s.reasons[string(answer.Outcome)+": "+answer.Reason]++
	}
	if answer.Outcome == coordinator.OutcomeRefused {
		return
	}
	s.shardsNeeded += answer.Total
	_ = s.latency.RecordValue(min(histogramMaxUs, max(1, latency.Microseconds())))
	if answer.Total > 0 {
		s.coverageSum += float64(answer.Answered) / float64(answer.Total)
		s.coverageCount++
	}
	s.recordInSecond(latency)
	if latency > s.slowestLatency {
		s.slowestLatency, s.slowestID = latency, answer.ID
	}
}

func (s *LoadStats) recordInSecond(latency time.Duration) {
	second := int((time.Since(s.startedAt) - latency).Seconds())
	if s.perSecond[second] == nil {
		s.perSecond[second] = hdrhistogram.New(histogramMinUs, histogramMaxUs, histogramSignificantDigits)
	}
	_ = s.perSecond[second].RecordValue(min(histogramMaxUs, max(1, latency.Microseconds())))
}

// PercentilePerSecond returns a latency percentile for each second of the load, by the planned start of the queries.
func (s *LoadStats) PercentilePerSecond(percent float64) []time.Duration {
	quantiles := make([]time.Duration, int(s.duration.Seconds()))
	for second := range quantiles {
		if histogram := s.perSecond[second]; histogram != nil {
			quantiles[second] = time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond
		}
	}
	return quantiles
}

// Percentile returns a latency percentile, from 0 to 100, of the queries that were not refused.
func (s *LoadStats) Percentile(percent float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(percent)) * time.Microsecond
}

// Outcomes returns the number of queries with each outcome.
func (s *LoadStats) Outcomes() map[coordinator.Outcome]int { return s.outcomes }

// Reasons returns the number of queries with each outcome and reason, keyed by "outcome: reason".
func (s *LoadStats) Reasons() map[string]int { return s.reasons }

// Offered returns the number of queries that were sent.
func (s *LoadStats) Offered() int { return s.offered }

// ShardsNeeded returns the number of shard requests that the queries that were not refused required at least.
func (s *LoadStats) ShardsNeeded() int { return s.shardsNeeded }

// Slowest returns the identifier and latency of the slowest query that was not refused.
func (s *LoadStats) Slowest() (string, time.Duration) { return s.slowestID, s.slowestLatency }

// Coverage returns the mean fraction of answered shards over the queries that were not refused, from 0 to 1.
func (s *LoadStats) Coverage() float64 { return s.coverageSum / float64(max(1, s.coverageCount)) }

// Goodput returns the number of complete and partial answers per second.
func (s *LoadStats) Goodput() float64 {
	answered := s.outcomes[coordinator.OutcomeComplete] + s.outcomes[coordinator.OutcomePartial]
	return float64(answered) / s.duration.Seconds()
}

// InProcess returns a function that sends each query to a random ready instance by a call within the process.
func InProcess(tier *Tier, seed uint64) QueryFunc {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 13))
	return func(ctx context.Context, query dispatcher.Request) ObservedAnswer {
		ready := tier.Ready()
		if len(ready) == 0 {
			return ObservedAnswer{Outcome: coordinator.OutcomeRefused, Reason: "no instance is ready"}
		}
		mu.Lock()
		chosen := ready[random.IntN(len(ready))]
		mu.Unlock()
		instance := tier.Instance(chosen)
		if instance == nil {
			return ObservedAnswer{Outcome: coordinator.OutcomeRefused, Reason: "the instance has stopped"}
		}
		return newInProcessAnswer(instance.Run(ctx, query), query)
	}
}

func newInProcessAnswer(result dispatcher.Result, query dispatcher.Request) ObservedAnswer {
	answer := result.Answer
	observed := ObservedAnswer{
		ID: result.ID, Services: query.Services, Outcome: answer.Outcome, Reason: answer.Reason, Version: answer.Version.Number,
		Answered: answer.Answered, Total: answer.Total, Missing: len(answer.Missing),
	}
	for _, part := range answer.Parts {
		observed.Parts = append(observed.Parts, ObservedPart{
			Service: part.Shard.Service, Shard: part.Shard.Number, Hits: json.RawMessage(part.Body),
		})
	}
	return observed
}
