package controller

import (
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/timeliner"
)

// Entry instances that renew through different control instances learn the requests of all of them, and forget those of
// one that is gone.
func TestRequestsOfAllInstancesAreSummedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTestTier(t, 3)
		defer tier.close()
		tier.leader()
		var told [3]atomic.Int64
		for i, requests := range []int{5, 70, 300} {
			name := "entry-" + string(rune('1'+i))
			client := NewClient(ClientConfig{
				Member:    tabulator.MemberFields{Instance: name, Incarnation: uint64(i + 1), DataCentre: "d"},
				Addresses: []string{tier.names[i]}, Linker: tier.linker(name), Now: tier.now, Random: rand.New(rand.NewPCG(3, 4)),
				Timeline: timeliner.New(name, time.Now), OnView: func(*tabulator.View) {},
				Requests: func() int { return requests }, OnRequests: func(all int) { told[i].Store(int64(all)) },
			})
			client.Run()
			tier.clients = append(tier.clients, client)
		}
		all := func(want int64, of ...int) func() bool {
			return func() bool {
				for _, i := range of {
					if told[i].Load() != want {
						return false
					}
				}
				return true
			}
		}
		tier.until("each learns the requests of all", all(375, 0, 1, 2))
		tier.network.isolate("entry-3", true)
		tier.until("the requests of the silent one are forgotten", all(75, 0, 1))
	})
}
