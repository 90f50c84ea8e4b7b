package dispatcher

import (
	"lovagedeck/pkg/admitter"
	"lovagedeck/pkg/chooser"
	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/fellow"
	"lovagedeck/pkg/leaf"
)

func toHoldings(wire []fellow.Holding) []coordinator.Holding {
	holdings := make([]coordinator.Holding, 0, len(wire))
	for _, h := range wire {
		holdings = append(holdings, coordinator.Holding{
			Version: coordinator.Version{Index: h.Index, Number: h.Version}, Shard: h.Shard, Shards: h.Shards,
		})
	}
	return holdings
}

func toReport(c fellow.Condition) chooser.Report {
	return chooser.Report{
		Limit: c.Limit, Running: c.Running, Queued: c.Queued, Latency: c.Latency,
		Threshold: c.Threshold, Resting: c.Resting, Cold: c.Cold,
	}
}

func toReply(reply fellow.Reply) coordinator.Reply {
	timing := coordinator.Timing{
		Queue: reply.Queue, Connect: reply.Connect, Leaf: reply.LeafTime, Limit: int(reply.Condition.Limit),
		Slots: reply.Condition.Slots, ClosedFor: reply.Condition.ClosedFor, ClosedReason: reply.Condition.ClosedReason,
	}
	switch reply.Kind {
	case fellow.KindHit:
		return coordinator.Hit{
			Attempt: reply.ID, Version: coordinator.Version{Index: reply.Index, Number: reply.Version},
			Shard: reply.Shard, Body: reply.Body, Timing: timing,
		}
	case fellow.KindNotRun:
		return coordinator.NotRun{
			Attempt: reply.ID, Reason: reply.Reason, Overload: reply.Overload,
			Sustained: reply.Reason == leaf.ReasonShed || reply.Reason == string(admitter.RefusedPriority),
			WrongPlan: reply.Reason == leaf.ReasonVersionGone, LeafFaulty: reply.Faulty, Timing: timing,
		}
	}
	return coordinator.Unknown{Attempt: reply.ID, Reason: reply.Reason, Timing: timing}
}
