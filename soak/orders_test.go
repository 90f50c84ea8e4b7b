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
	const rounds = 2
	zone := string("bc"[f.random.IntN(2)])
	if !f.orders.tryLock(zone) {
		return
	}
	random := rand.New(rand.NewPCG(f.random.Uint64(), 1))
	go func() {
		defer f.orders.unlock(zone)
		for range rounds {
			f.giveOrder(zone, false, random)
			f.giveOrder(zone, true, random)
			time.Sleep(outOfServiceLimit - time.Second + time.Duration(random.Int64N(int64(4*time.Second))))
		}
		f.giveOrder(zone, false, random)
	}()
}

// giveOrder sends an order to one instance after the other until one acknowledges it. Most of the time a first copy is held up at
// another instance and read only later.
func (f *faultInjector) giveOrder(zone string, isOut bool, random *rand.Rand) {
	controls, c := f.deployment.controls(), f.deployment.checker
	if !isOut {
		c.recordOutOfService(zone, false)
	}
	path := orderPath(isOut) + zone
	switch held := controls[random.IntN(controlCount)]; random.IntN(4) {
	case 0:
		held.signal(syscall.SIGSTOP)
		f.schedule(heldUpFor(random), func() { held.signal(syscall.SIGCONT) })
		f.traffic.post(held, path, "")
	case 1, 2:
		held.orderProxy.setMode(modeBlock)
		f.schedule(heldUpFor(random), func() { held.orderProxy.setMode(modeForward) })
		f.traffic.postTo(held.orderProxy.address(), held.name, path, "")
	}
	for startedAt := time.Now(); time.Since(startedAt) < orderTimeout; {
		if f.traffic.post(controls[random.IntN(controlCount)], path, "") && random.Float64() >= lostAnswerShare {
			if isOut {
				c.recordOutOfService(zone, true)
			}
			return
		}
	}
}

// heldUpFor returns for how long a copy of an order is held up: longer than the operator waits for an answer.
func heldUpFor(random *rand.Rand) time.Duration {
	return 1200*time.Millisecond + time.Duration(random.Int64N(int64(2500*time.Millisecond)))
}
