package experimenter

import (
	"context"
	"math/rand/v2"
	"sync"

	"lovagedeck/pkg/caller"
	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/dispatcher"
)

// OverHTTP returns a function that sends each query over HTTP to a random ready instance, as a load balancer would.
func OverHTTP(tier *Tier, seed uint64) QueryFunc {
	clients := make([]*caller.Client, tier.Size())
	for i := range clients {
		clients[i] = caller.NewClient(tier.Settings(i).Listen.Caller)
	}
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 13))
	return func(_ context.Context, query dispatcher.Request) ObservedAnswer {
		ready := tier.Ready()
		if len(ready) == 0 {
			return ObservedAnswer{Outcome: coordinator.OutcomeRefused, Reason: "no instance is ready"}
		}
		mu.Lock()
		client := clients[ready[random.IntN(len(ready))]]
		mu.Unlock()
		answer, err := client.Query(caller.Query{
			Caller: query.Caller, Services: query.Services, Text: query.Text, Idempotent: query.Idempotent,
		})
		if err != nil {
			return ObservedAnswer{Services: query.Services, Outcome: coordinator.OutcomeFailed, Reason: err.Error()}
		}
		return newHTTPAnswer(answer, query)
	}
}

func newHTTPAnswer(answer caller.Answer, query dispatcher.Request) ObservedAnswer {
	observed := ObservedAnswer{
		ID: answer.ID, Services: query.Services, Outcome: coordinator.Outcome(answer.Outcome), Reason: answer.Reason,
		Version: answer.Version, Answered: answer.Coverage.Answered, Total: answer.Coverage.Total, Missing: len(answer.Coverage.Missing),
	}
	for _, part := range answer.Parts {
		observed.Parts = append(observed.Parts, ObservedPart(part))
	}
	return observed
}
