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

// Entry instances that renew through different control instances receive the total request count. The requests of an instance
// that no longer renews are subtracted after its lease expires.
func TestRequestsOfAllInstancesAreSummed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTestTier(t, 3)
		defer tier.close()
		tier.waitForLeader()
		var totals [3]atomic.Int64
		for i, requests := range []int{5, 70, 300} {
			name := "entry-" + string(rune('1'+i))
			client := NewClient(ClientConfig{
				Member:    tabulator.MemberFields{Instance: name, Incarnation: uint64(i + 1), DataCentre: "d"},
				Addresses: []string{tier.names[i]}, Linker: tier.newLinker(name), Now: tier.now, Random: rand.New(rand.NewPCG(3, 4)),
				Timeline: timeliner.New(name, time.Now), OnView: func(*tabulator.View) {},
				CountRequests: func() int { return requests }, OnTotalRequests: func(total int) { totals[i].Store(int64(total)) },
			})
			client.Run()
			tier.clients = append(tier.clients, client)
		}
		totalsAre := func(want int64, clients ...int) func() bool {
			return func() bool {
				for _, i := range clients {
					if totals[i].Load() != want {
						return false
					}
				}
				return true
			}
		}
		tier.waitUntil("every instance receives the total of 375 requests", totalsAre(375, 0, 1, 2))
		tier.network.setIsolated("entry-3", true)
		tier.waitUntil("the requests of the isolated instance are subtracted", totalsAre(75, 0, 1))
	})
}
