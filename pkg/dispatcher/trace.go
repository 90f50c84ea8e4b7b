package dispatcher

import (
	"time"

	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/tracer"
)

func (d *Dispatcher) recordResult(result Result, request Request, startTime time.Time, startedAt time.Duration) {
	d.counters.record(result)
	d.traces.Add(d.trace(result, request, startTime, startedAt))
}

func (d *Dispatcher) trace(result Result, request Request, startTime time.Time, startedAt time.Duration) tracer.Trace {
	answer := result.Answer
	trace := tracer.Trace{
		ID: result.ID, Instance: d.config.Self.Instance, Caller: request.Caller, Services: request.Services,
		Index: answer.Version.Index, Version: answer.Version.Number, Started: startTime, Took: result.Took,
		Outcome: string(answer.Outcome), Reason: answer.Reason, AnsweredShards: answer.Answered, TotalShards: answer.Total,
		Restarts: answer.Restarts, Spans: make([]tracer.Span, 0, len(answer.Attempts)),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, attempt := range answer.Attempts {
		trace.Spans = append(trace.Spans, d.span(attempt, startedAt))
	}
	return trace
}

func (d *Dispatcher) span(a coordinator.AttemptRecord, startedAt time.Duration) tracer.Span {
	record, _ := d.catalogue.Leaf(a.Leaf)
	owner, _ := d.ownerOf(record)
	return tracer.Span{
		Kind: string(a.Kind), Service: a.Shard.Service, Shard: a.Shard.Number, Leaf: string(a.Leaf),
		DataCentre: record.DataCentre, Owner: owner.Instance(), Start: a.Sent - startedAt, Duration: max(0, a.Ended-a.Sent),
		Queue: a.Timing.QueueTime, Connect: a.Timing.ConnectTime, LeafTime: a.Timing.LeafTime, Limit: a.Timing.Limit,
		Slots: a.Timing.Slots, LimitResetAge: a.Timing.SinceLimitReset, LimitResetReason: a.Timing.LimitResetReason, Result: a.Result,
	}
}
