package dispatcher

import (
	"time"

	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/tracer"
)

func (d *Dispatcher) finish(result Result, request Request, started time.Time, begun time.Duration) {
	d.counters.count(result)
	d.traces.Add(d.trace(result, request, started, begun))
}

func (d *Dispatcher) trace(result Result, request Request, started time.Time, begun time.Duration) tracer.Trace {
	answer := result.Answer
	trace := tracer.Trace{
		ID: result.ID, Instance: d.config.Self.Instance, Caller: request.Caller, Services: request.Services,
		Index: answer.Version.Index, Version: answer.Version.Number, Started: started, Took: result.Took,
		Outcome: string(answer.Outcome), Reason: answer.Reason, Answered: answer.Answered, Total: answer.Total,
		Restarts: answer.Restarts, Spans: make([]tracer.Span, 0, len(answer.Attempts)),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, attempt := range answer.Attempts {
		trace.Spans = append(trace.Spans, d.span(attempt, begun))
	}
	return trace
}

func (d *Dispatcher) span(a coordinator.AttemptRecord, begun time.Duration) tracer.Span {
	record, _ := d.catalogue.Leaf(a.Leaf)
	owner, _ := d.owner(record)
	return tracer.Span{
		Kind: string(a.Kind), Service: a.Shard.Service, Shard: a.Shard.Number, Leaf: string(a.Leaf),
		DataCentre: record.DataCentre, Owner: owner.Instance(), Start: a.Sent - begun, Total: max(0, a.Ended-a.Sent),
		Queue: a.Timing.QueueTime, Connect: a.Timing.ConnectTime, LeafTime: a.Timing.LeafTime, Limit: a.Timing.Limit,
		Slots: a.Timing.Slots, ClosedFor: a.Timing.SinceLimitReset, ClosedReason: a.Timing.LimitResetReason, Result: a.Result,
	}
}
