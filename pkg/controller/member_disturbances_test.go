// The changes and failures of control instances that a series consists of.

package controller

import (
	"fmt"
	"slices"
	"time"

	"lovagedeck/pkg/journaler"
)

// disturbance is one kind of change or failure of an instance.
type disturbance struct {
	name string
	// isLoss is set if the instance counts as lost meanwhile, and losesDisk if its disk is lost.
	isLoss    bool
	losesDisk bool
	run       func(s *series, name string)
}

var (
	planned   = disturbance{name: "planned replacement", run: (*series).replacePlanned}
	unplanned = disturbance{name: "unplanned replacement", isLoss: true, losesDisk: true, run: (*series).replaceUnplanned}
	frozen    = disturbance{name: "freeze", isLoss: true, run: (*series).freeze}
	// disturbances lists replacements twice, which makes them come in series.
	disturbances = []disturbance{
		planned, planned, unplanned, unplanned, frozen,
		{name: "lost disk", isLoss: true, losesDisk: true, run: (*series).loseDisk},
		{name: "partition", isLoss: true, run: (*series).partition},
		{name: "kill", isLoss: true, run: (*series).kill},
		{name: "planned restart", isLoss: true, run: (*series).restart},
	}
)

// lostCount returns the number of instances, or of disks, that are lost.
func (s *series) lostCount(lostUntil map[string]time.Duration) int {
	count := 0
	for _, until := range lostUntil {
		if s.now() < until {
			count++
		}
	}
	return count
}

// disturbAny disturbs a random instance, unless that exceeds the tolerance.
func (s *series) disturbAny(d disturbance) {
	s.mu.Lock()
	var free []string
	for _, name := range s.running {
		if !s.changing[name] && s.lostUntil[name] <= s.now() {
			free = append(free, name)
		}
	}
	isAllowed := len(free) > 0 && (!d.isLoss || s.lostCount(s.lostUntil) < seriesTolerance) && (!d.losesDisk || s.lostCount(s.diskLostUntil) < seriesTolerance)
	if !isAllowed {
		s.mu.Unlock()
		return
	}
	name := free[s.random.IntN(len(free))]
	s.mu.Unlock()
	s.disturb(d, name)
}

const untilFurtherNotice = 1000 * time.Hour

func (s *series) disturb(d disturbance, name string) {
	s.mu.Lock()
	s.changing[name] = true
	if d.isLoss {
		s.lostUntil[name] = untilFurtherNotice
	}
	if d.losesDisk {
		s.diskLostUntil[name] = untilFurtherNotice
	}
	s.mu.Unlock()
	s.note("%s of %s", d.name, name)
	s.disturbance.Add(1)
	go func() {
		defer s.disturbance.Done()
		d.run(s, name)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.changing, name)
		for _, lostUntil := range []map[string]time.Duration{s.lostUntil, s.diskLostUntil} {
			if lostUntil[name] == untilFurtherNotice {
				lostUntil[name] = s.now() + catchUpTime
			}
		}
	}()
}

func (s *series) replaceInTurn(replacement disturbance, count int, gap time.Duration) {
	for _, name := range append([]string(nil), s.running[:count]...) {
		s.disturb(replacement, name)
		time.Sleep(gap)
	}
}

func (s *series) addInstance() string {
	s.mu.Lock()
	s.added++
	name := fmt.Sprint("c", s.added)
	s.mu.Unlock()
	s.note("%s starts with an empty disk", name)
	s.addSafely(name)
	return name
}

// addSafely adds an instance while other goroutines read the list of instances.
func (s *series) addSafely(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names = append(s.names, name)
	s.add(name, false)
	s.running = append(s.running, name)
}

func (s *series) removeForGood(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = slices.DeleteFunc(s.running, func(other string) bool { return other == name })
}

func (s *series) replacePlanned(name string) {
	successor := s.addInstance()
	time.Sleep(catchUpTime)
	s.terminate(name)
	s.removeForGood(name)
	s.note("%s has ended, its successor is %s", name, successor)
}

func (s *series) replaceUnplanned(name string) {
	s.stopSafely(name)
	s.removeForGood(name)
	time.Sleep(s.upTo(2 * time.Second))
	s.addInstance()
}

func (s *series) loseDisk(name string) {
	s.stopSafely(name)
	time.Sleep(s.upTo(time.Second))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startWithNewDisk(name)
}

func (s *series) startWithNewDisk(name string) {
	s.instances[name].folder += "-new"
	if _, err := journaler.Format(s.instances[name].folder, testCluster, name, false); err != nil {
		s.t.Error(err)
	}
	s.start(name)
}

// freeze stops the loop of an instance, while its connections are still accepted.
func (s *series) freeze(name string) {
	duration := 500*time.Millisecond + s.upTo(8*time.Second)
	s.setFrozen(name, true)
	defer s.setFrozen(name, false)
	done := make(chan struct{})
	_ = s.server(name).enqueue(func() {
		time.Sleep(duration)
		close(done)
	})
	<-done
	s.note("%s goes on", name)
}

func (s *series) setFrozen(name string, isFrozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen[name] = isFrozen
}

func (s *series) partition(name string) {
	s.isolate(name, 500*time.Millisecond+s.upTo(8*time.Second))
}

func (s *series) isolate(name string, duration time.Duration) {
	s.network.setIsolated(name, true)
	time.Sleep(duration)
	s.network.setIsolated(name, false)
	s.note("%s is reached again", name)
}

func (s *series) kill(name string) {
	s.stopSafely(name)
	time.Sleep(200*time.Millisecond + s.upTo(4*time.Second))
	s.startSafely(name)
}

func (s *series) restart(name string) {
	s.terminate(name)
	time.Sleep(200*time.Millisecond + s.upTo(time.Second))
	s.startSafely(name)
}

func (s *series) terminate(name string) {
	s.server(name).Leave(stopTimeout)
	s.stopSafely(name)
}

// split cuts half of the instances off from the others.
func (s *series) split() {
	s.mu.Lock()
	if s.isSplit || len(s.changing) > 0 {
		s.mu.Unlock()
		return
	}
	s.isSplit = true
	far := map[string]bool{}
	for _, i := range s.random.Perm(len(s.running))[:len(s.running)/2] {
		far[s.running[i]] = true
	}
	s.mu.Unlock()
	s.note("split: %v on the far side", far)
	s.network.setFarSide(far)
	s.disturbance.Add(1)
	go func() {
		defer s.disturbance.Done()
		time.Sleep(time.Second + s.upTo(4*time.Second))
		s.network.setFarSide(nil)
		s.note("the split ends")
		s.mu.Lock()
		defer s.mu.Unlock()
		s.isSplit = false
	}()
}

func (n *memoryNetwork) setFarSide(names map[string]bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.farSide = names
}

// losePower stops all instances that are not disturbed and starts them again.
func (s *series) losePower() {
	s.mu.Lock()
	if len(s.changing) > 0 {
		s.mu.Unlock()
		return
	}
	names := append([]string(nil), s.running...)
	for _, name := range names {
		s.lostUntil[name] = s.now() + catchUpTime
	}
	s.mu.Unlock()
	s.note("all lose power")
	for _, name := range names {
		s.stopSafely(name)
	}
	time.Sleep(time.Second)
	for _, name := range names {
		s.startSafely(name)
	}
}
