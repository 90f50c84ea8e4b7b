package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// orderTimeout is how long an operator repeats an order.
	orderTimeout = 5 * time.Second
	// lostAnswerShare is the share of answers to orders that the operator does not get.
	lostAnswerShare = 0.4
)

// zoneLocks lets one operator at a time give orders for each data centre.
type zoneLocks map[string]*sync.Mutex

func newZoneLocks() zoneLocks {
	return zoneLocks{"a": {}, "b": {}, "c": {}}
}

func (z zoneLocks) tryLock(zone string) bool { return z[zone].TryLock() }

func (z zoneLocks) unlock(zone string) { z[zone].Unlock() }

// awaitAll waits until no operator gives orders.
func (z zoneLocks) awaitAll() {
	for _, lock := range z {
		lock.Lock()
		defer lock.Unlock()
	}
}

func orderPath(isOut bool) string {
	if isOut {
		return "/-/Evacuations.Start/"
	}
	return "/-/Evacuations.End/"
}

// orderDataCentres starts an operator for one data centre, beside those for the others. Up to two of them are out at a time.
func (f *faultInjector) orderDataCentres() {
	zone := string("bc"[f.random.IntN(2)])
	if !f.orders.tryLock(zone) {
		return
	}
	random := rand.New(rand.NewPCG(f.random.Uint64(), 1))
	go func() {
		defer f.orders.unlock(zone)
		for range 2 {
			f.giveOrder(zone, true, random)
			time.Sleep(outOfServiceLimit/2 + time.Duration(random.Int64N(int64(outOfServiceLimit))))
			f.giveOrder(zone, false, random)
			time.Sleep(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
		}
	}()
}

// giveOrder sends an order to one instance after the other until one acknowledges it. Half of the time the first instance is
// paused while the order waits in its socket, and goes on later.
func (f *faultInjector) giveOrder(zone string, isOut bool, random *rand.Rand) {
	controls, c := f.deployment.controls(), f.deployment.checker
	if !isOut {
		c.recordOutOfService(zone, false)
	}
	if random.IntN(2) == 0 {
		paused := controls[random.IntN(controlCount)]
		paused.signal(syscall.SIGSTOP)
		f.schedule(time.Second+time.Duration(random.Int64N(int64(3*time.Second))), func() { paused.signal(syscall.SIGCONT) })
		var copies sync.WaitGroup
		for range 2 {
			copies.Go(func() { f.traffic.post(paused, orderPath(isOut)+zone, "") })
		}
		copies.Wait()
	}
	for startedAt := time.Now(); time.Since(startedAt) < orderTimeout; {
		if f.traffic.post(controls[random.IntN(controlCount)], orderPath(isOut)+zone, "") && random.Float64() >= lostAnswerShare {
			if isOut {
				c.recordOutOfService(zone, true)
			}
			return
		}
	}
}
