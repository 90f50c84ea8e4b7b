// The load is open: queries start at their planned times whatever became of
// earlier ones, and latency counts from the planned time, so a stalled tier
// cannot hide the queries it kept from starting.

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
	histogramLowest  = 1
	histogramHighest = 60_000_000
	histogramDigits  = 3
)

type (
	// Template is a kind of query in the load.
	Template struct {
		Caller   string
		Services []string
		Share    float64
		Effect   bool
	}

	// Tally is what became of the queries of a load.
	Tally struct {
		mu        sync.Mutex
		latency   *hdrhistogram.Histogram
		covered   float64
		judged    int
		outcomes  map[coordinator.Outcome]int
		reasons   map[string]int
		offered   int
		needed    int
		slowest   time.Duration
		slowestID string
		seconds   map[int]*hdrhistogram.Histogram
		begun     time.Time
		took      time.Duration
	}

	// Ask runs one query and returns what the caller saw.
	Ask func(ctx context.Context, query dispatcher.Request) Observed

	// Load offers queries at a rate.
	Load struct {
		rate      float64
		templates []Template
		ask       Ask
		judge     *Judge
		random    *rand.Rand
	}
)

// NewLoad returns a load of rate queries per second.
func NewLoad(rate float64, templates []Template, ask Ask, judge *Judge, seed uint64) *Load {
	return &Load{rate: rate, templates: templates, ask: ask, judge: judge, random: rand.New(rand.NewPCG(seed, 11))}
}

// Run offers queries for the duration, waits for all answers and returns the tally.
func (l *Load) Run(duration time.Duration) *Tally {
	tally := newTally()
	var group conc.WaitGroup
	begin := time.Now()
	tally.begun = begin
	next := time.Duration(0)
	for next < duration {
		time.Sleep(time.Until(begin.Add(next)))
		query := l.pick()
		planned := begin.Add(next)
		group.Go(func() { l.one(query, planned, tally) })
		next += time.Duration(l.random.ExpFloat64() / l.rate * float64(time.Second))
	}
	group.Wait()
	tally.took = duration
	return tally
}

func (l *Load) one(query dispatcher.Request, planned time.Time, tally *Tally) {
	observed := l.ask(context.Background(), query)
	tally.add(observed, time.Since(planned))
	l.judge.Check(observed)
}

func (l *Load) pick() dispatcher.Request {
	point := l.random.Float64()
	chosen := l.templates[len(l.templates)-1]
	for _, template := range l.templates {
		point -= template.Share
		if point < 0 {
			chosen = template
			break
		}
	}
	return dispatcher.Request{
		Caller: chosen.Caller, Weight: 1, Services: dispatcher.SortServices(chosen.Services), Text: "fig",
		Idempotent: !chosen.Effect,
	}
}

func newTally() *Tally {
	return &Tally{
		latency:  hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits),
		outcomes: map[coordinator.Outcome]int{}, reasons: map[string]int{}, seconds: map[int]*hdrhistogram.Histogram{},
	}
}

func (t *Tally) add(o Observed, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offered++
	t.outcomes[o.Outcome]++
	if o.Reason != "" {
		t.reasons[string(o.Outcome)+": "+o.Reason]++
	}
	if o.Outcome == coordinator.OutcomeRefused {
		return
	}
	t.needed += o.Total
	_ = t.latency.RecordValue(min(histogramHighest, max(1, latency.Microseconds())))
	if o.Total > 0 {
		t.covered += float64(o.Answered) / float64(o.Total)
		t.judged++
	}
	t.addToSecond(latency)
	if latency > t.slowest {
		t.slowest, t.slowestID = latency, o.ID
	}
}

func (t *Tally) addToSecond(latency time.Duration) {
	second := int((time.Since(t.begun) - latency).Seconds())
	if t.seconds[second] == nil {
		t.seconds[second] = hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)
	}
	_ = t.seconds[second].RecordValue(min(histogramHighest, max(1, latency.Microseconds())))
}

// PerSecond returns a latency quantile for each second of the load.
func (t *Tally) PerSecond(percent float64) []time.Duration {
	quantiles := make([]time.Duration, int(t.took.Seconds()))
	for second := range quantiles {
		if histogram := t.seconds[second]; histogram != nil {
			quantiles[second] = time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond
		}
	}
	return quantiles
}

// Percentile returns a latency quantile of the queries that were not refused.
func (t *Tally) Percentile(percent float64) time.Duration {
	return time.Duration(t.latency.ValueAtQuantile(percent)) * time.Microsecond
}

// Outcomes returns how many queries ended with each outcome.
func (t *Tally) Outcomes() map[coordinator.Outcome]int { return t.outcomes }

// Reasons returns how often each reason was given.
func (t *Tally) Reasons() map[string]int { return t.reasons }

// Offered returns how many queries were offered.
func (t *Tally) Offered() int { return t.offered }

// Needed returns how many shards the queries that were not refused needed.
func (t *Tally) Needed() int { return t.needed }

// Slowest returns the identifier and latency of the slowest query.
func (t *Tally) Slowest() (string, time.Duration) { return t.slowestID, t.slowest }

// Coverage returns the mean answered share of the queries that were not refused.
func (t *Tally) Coverage() float64 { return t.covered / float64(max(1, t.judged)) }

// Goodput returns complete and partial answers per second.
func (t *Tally) Goodput() float64 {
	good := t.outcomes[coordinator.OutcomeComplete] + t.outcomes[coordinator.OutcomePartial]
	return float64(good) / t.took.Seconds()
}

// Direct asks ready instances in turn, within the process.
func Direct(tier *Tier, seed uint64) Ask {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 13))
	return func(ctx context.Context, query dispatcher.Request) Observed {
		ready := tier.Ready()
		if len(ready) == 0 {
			return Observed{Outcome: coordinator.OutcomeRefused, Reason: "no instance is ready"}
		}
		mu.Lock()
		chosen := ready[random.IntN(len(ready))]
		mu.Unlock()
		instance := tier.Instance(chosen)
		if instance == nil {
			return Observed{Outcome: coordinator.OutcomeRefused, Reason: "the instance has stopped"}
		}
		return observe(instance.Run(ctx, query), query)
	}
}

func observe(result dispatcher.Result, query dispatcher.Request) Observed {
	answer := result.Answer
	observed := Observed{
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
