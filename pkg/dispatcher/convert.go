package dispatcher

import (
	"lovagedeck/pkg/admitter"
	"lovagedeck/pkg/chooser"
	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/leaf"
	"lovagedeck/pkg/peer"
)

func toHoldings(reported []peer.Holding) []coordinator.Holding {
	holdings := make([]coordinator.Holding, 0, len(reported))
	for _, h := range reported {
		holdings = append(holdings, coordinator.Holding{
			Version: coordinator.Version{Index: h.Index, Number: h.Version}, Shard: h.Shard, Shards: h.Shards,
		})
	}
	return holdings
}

func toReport(c peer.Condition) chooser.Report {
	return chooser.Report{
		Limit: c.Limit, Running: c.Running, Queued: c.Queued, Latency: c.Latency,
		Threshold: c.Threshold, InBackoff: c.Resting, IsCold: c.Cold, IsRateLimited: c.RateLimited, SlotWait: c.SlotWait,
	}
}

func toReply(reply peer.Reply) coordinator.Reply {
	timing := coordinator.Timing{
		QueueTime: reply.Queue, ConnectTime: reply.Connect, LeafTime: reply.LeafTime, Limit: int(reply.Condition.Limit),
		Slots: reply.Condition.Slots, SinceLimitReset: reply.Condition.ClosedFor, LimitResetReason: reply.Condition.ClosedReason,
	}
	switch reply.Kind {
	case peer.KindSuccess:
		return coordinator.Success{
			Attempt: reply.ID, Version: coordinator.Version{Index: reply.Index, Number: reply.Version},
			Shard: reply.Shard, Body: reply.Body, Timing: timing,
		}
	case peer.KindNotRun:
		return coordinator.NotRun{
			Attempt: reply.ID, Reason: reply.Reason, IsOverload: reply.Overload,
			IsSustainedOverload: reply.Reason == leaf.ReasonShed || reply.Reason == string(admitter.RefusedPriority),
			IsVersionGone:       reply.Reason == leaf.ReasonVersionGone, IsLeafFault: reply.Faulty, Timing: timing,
		}
	}
	return coordinator.UnknownOutcome{Attempt: reply.ID, Reason: reply.Reason, Timing: timing}
}
