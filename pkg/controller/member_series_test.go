// Random series of replacements and failures of control instances in simulated
// time, within the stated tolerance of two lost disks.

package controller

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/tabulator"
)

var (
	seriesCount = flag.Int("series", 8, "number of random series of member changes")
	seriesFirst = flag.Uint64("first-series", 1, "seed of the first series")
)

// The bounds are those of the platform.
const (
	seriesTolerance = 2
	seriesVoters    = 2*seriesTolerance + 1
	catchUpTime     = 4 * time.Second
	ackTimeout      = 5 * time.Second
	recoveryTime    = 12 * time.Second
	stopTimeout     = 2500 * time.Millisecond
	// shortOfVoters is how long a change from one member to another may take.
	shortOfVoters = time.Second
)

type (
	// series is a tier of control instances that is changed and disturbed at random, and what its operator has seen.
	series struct {
		*testTier
		random *rand.Rand
		mu     sync.Mutex
		// running lists the instances that have not been removed for good, whether or not they are disturbed.
		running []string
		// lostUntil is when each instance that is lost counts again. An instance that is removed counts until its successor has caught up.
		lostUntil map[string]time.Duration
		// diskLostUntil is the same for those whose disks are lost.
		diskLostUntil map[string]time.Duration
		// changing lists the instances that are being replaced or disturbed.
		changing map[string]bool
		// frozen lists the instances whose loop is stopped. A call to one does not return.
		frozen      map[string]bool
		isSplit     bool
		added       int
		acked       []string
		answerBy    time.Duration
		fewSince    time.Duration
		violations  []string
		log         []string
		stop        chan struct{}
		disturbance sync.WaitGroup
	}
)

// Members that were gone for good took tolerance from the living: after two replacements in a row, or at once, the loss of two disks left
// no leader for good. Members that are paused, partitioned or down must still come back and count.
func TestMemberSeries(t *testing.T) {
	for seed := *seriesFirst; seed < *seriesFirst+uint64(*seriesCount); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSeries(t, seed) })
		})
	}
}

// The same with given series. Each ends with the loss of two disks.
func TestReplacementsInSeries(t *testing.T) {
	const gap = 4200 * time.Millisecond
	cases := []struct {
		name string
		run  func(s *series)
	}{
		{"two planned, one after the other", func(s *series) {
			s.replaceInTurn(planned, 2, gap)
			time.Sleep(20 * time.Second)
		}},
		{"two planned at once", func(s *series) { s.replaceInTurn(planned, 2, 0) }},
		{"five planned at once", func(s *series) { s.replaceInTurn(planned, 5, 0) }},
		{"two unplanned at once", func(s *series) { s.replaceInTurn(unplanned, 2, 0) }},
		{"three planned in turn", func(s *series) { s.replaceInTurn(planned, 3, gap) }},
		{"four unplanned in turn", func(s *series) { s.replaceInTurn(unplanned, 4, 2*gap) }},
		{"five planned in turn", func(s *series) { s.replaceInTurn(planned, 5, gap/2) }},
		{"the other four planned in turn during a partition", func(s *series) {
			longPartition := disturbance{name: "partition", isLoss: true, run: func(s *series, name string) { s.isolate(name, 20*time.Second) }}
			s.disturb(longPartition, s.running[4])
			s.replaceInTurn(planned, 4, gap)
		}},
		{"two planned at once during a freeze", func(s *series) {
			s.disturb(frozen, s.running[2])
			s.replaceInTurn(planned, 2, 0)
		}},
	}
	for _, c := range cases {
		for _, isPowerLost := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, power lost %v", c.name, isPowerLost), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSeries(t, 1)
					defer s.close()
					c.run(s)
					s.disturbance.Wait()
					s.endWithLostDisks(isPowerLost)
					s.report()
				})
			})
		}
	}
}

// A leader that stopped took its own demotion for done before any other instance had it. With two disks lost at that moment, it still counted.
func TestStoppingLeaderAwaitsItsDemotion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSeries(t, 1)
		defer s.close()
		s.addInstance()
		s.waitUntil("all instances vote", func() bool { return len(s.voters()) == seriesVoters+1 })
		leader := s.waitForLeader()
		s.server(leader).Leave(stopTimeout)
		knownBy := 0
		for _, name := range s.running {
			voters, err := await(s.server(name), func(answer func([]string)) { answer(s.server(name).voterInstances()) })
			if err == nil && name != leader && !slices.Contains(voters, leader) {
				knownBy++
			}
		}
		if quorum := seriesVoters/2 + 1; knownBy < quorum {
			t.Errorf("%d instances know that the leader has no vote when it stops, want at least %d", knownBy, quorum)
		}
	})
}

func runSeries(t *testing.T, seed uint64) {
	s := newSeries(t, seed)
	defer s.close()
	for range 6 + s.random.IntN(12) {
		time.Sleep(s.upTo(5 * time.Second))
		switch p := s.random.IntN(20); p {
		case 0:
			s.split()
		case 1:
			s.losePower()
		default:
			d := disturbances[s.random.IntN(len(disturbances))]
			for range 1 + s.random.IntN(2) {
				s.disturbAny(d)
			}
		}
	}
	s.disturbance.Wait()
	if s.random.IntN(2) == 0 {
		time.Sleep(s.upTo(2 * catchUpTime))
	}
	s.endWithLostDisks(s.random.IntN(2) == 0)
	s.report()
}

// newSeries starts five instances that found a log, with an operator that makes changes.
func newSeries(t *testing.T, seed uint64) *series {
	t.Helper()
	s := &series{
		testTier: &testTier{t: t, network: newMemoryNetwork(), folder: t.TempDir(), startedAt: time.Now(), instances: map[string]*testInstance{}, skipsSync: true},
		random:   rand.New(rand.NewPCG(seed, 7)), lostUntil: map[string]time.Duration{}, diskLostUntil: map[string]time.Duration{},
		changing: map[string]bool{}, frozen: map[string]bool{}, stop: make(chan struct{}),
	}
	s.discovery = func(string) *Discovery {
		seeds := append([]string(nil), s.running[:min(3, len(s.running))]...)
		return &Discovery{Seeds: func() []string { return seeds }, ExpectedVoters: seriesVoters}
	}
	s.running = []string{"c1", "c2", "c3", "c4", "c5"}
	s.names = append([]string(nil), s.running...)
	s.added = len(s.running)
	for _, name := range s.names {
		s.add(name, name == s.names[0])
	}
	s.waitUntil("all instances vote", func() bool { return len(s.voters()) == seriesVoters })
	s.answerBy = s.now() + ackTimeout
	go s.operate()
	go s.watch()
	return s
}

func (s *series) close() {
	close(s.stop)
	time.Sleep(10 * time.Second)
	s.testTier.close()
}

func (s *series) upTo(limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(limit)))
}

func (s *series) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf("%8.3f ", s.now().Seconds())+fmt.Sprintf(format, args...))
}

func (s *series) violate(format string, args ...any) {
	s.note("VIOLATION: "+format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *series) report() {
	s.t.Helper()
	if len(s.violations) == 0 {
		return
	}
	for _, line := range s.log {
		s.t.Log(line)
	}
	s.t.Error(s.violations[0])
}

// endWithLostDisks checks that every instance that counts votes, makes two random ones lose their disks, and checks that nothing
// acknowledged is lost.
func (s *series) endWithLostDisks(isPowerLost bool) {
	s.waitUntil("no instance counts as lost", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.lostCount(s.lostUntil) == 0
	})
	s.mu.Lock()
	names := append([]string(nil), s.running...)
	s.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		s.lostUntil[name] = s.now() + catchUpTime
	}
	s.mu.Unlock()
	voters := s.voters()
	s.note("voters before the end: %v", voters)
	for _, name := range names {
		// Without a leader, as during an election, the voters are not known.
		if len(voters) > 0 && !slices.ContainsFunc(voters, func(id replicator.NodeID) bool { return instanceOf(id) == name }) {
			s.violate("%s does not vote although it no longer counts as lost", name)
		}
	}
	s.note("%v lose their disks, power lost: %v", names[:seriesTolerance], isPowerLost)
	stopped := names[:seriesTolerance]
	if isPowerLost {
		stopped = names
	}
	for _, name := range stopped {
		s.stopSafely(name)
	}
	time.Sleep(time.Second)
	for i, name := range stopped {
		if i >= seriesTolerance {
			s.startSafely(name)
			continue
		}
		s.mu.Lock()
		s.startWithNewDisk(name)
		s.mu.Unlock()
	}
	time.Sleep(recoveryTime)
	s.mu.Lock()
	acked := append([]string(nil), s.acked...)
	s.mu.Unlock()
	for _, name := range names {
		s.checkHolds(name, acked)
	}
	if voters := s.voters(); len(voters) < seriesVoters {
		s.violate("at the end the log has the voters %v, want at least %d", voters, seriesVoters)
	}
}

func (s *series) checkHolds(name string, acked []string) {
	for _, id := range acked {
		dataCentre, isFresh := s.server(name).DataCentre("d-" + id)
		if !isFresh {
			s.violate("%s gave no confirmed answer %v after the loss of two disks", name, recoveryTime)
			return
		}
		if dataCentre.State != tabulator.StateOut {
			s.violate("%s lost the acknowledged change %s", name, id)
		}
	}
}

// operate makes one change after the other through random instances, and waits up to a second for each.
func (s *series) operate() {
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		s.mu.Lock()
		name := s.running[s.random.IntN(len(s.running))]
		s.mu.Unlock()
		server := s.server(name)
		if server == nil {
			continue
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.change(server, fmt.Sprint(i))
		}()
		select {
		case <-done:
		case <-time.After(time.Second):
		}
	}
}

func (s *series) change(server *Server, id string) {
	reply := server.Propose(tabulator.SetDataCentre{ChangeID: id, Name: "d-" + id, State: tabulator.StateOut})
	if reply.Refused != "" || reply.Unknown || reply.Result.Verdict != tabulator.VerdictAccepted {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked = append(s.acked, id)
	s.answerBy = max(s.answerBy, s.now()+ackTimeout)
}

// watch checks that changes are acknowledged in time while the losses are within the tolerance, and the number of voters.
func (s *series) watch() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		voters := s.voters()
		s.mu.Lock()
		now := s.now()
		if s.isSplit || s.lostCount(s.lostUntil) > seriesTolerance {
			s.answerBy = max(s.answerBy, now+recoveryTime)
		}
		isLate, fewSince := now > s.answerBy, s.fewSince
		if isLate {
			s.answerBy = untilFurtherNotice
		}
		if len(voters) == 0 || len(voters) >= seriesVoters {
			s.fewSince = 0
		} else if fewSince == 0 {
			s.fewSince = now
		}
		s.mu.Unlock()
		switch {
		case isLate:
			s.violate("no change was acknowledged in time at %v, voters %v", now, voters)
		case len(voters) > 0 && len(voters) < seriesVoters-1:
			s.violate("the log has the voters %v, want at least %d", voters, seriesVoters-1)
		case fewSince > 0 && now-fewSince > shortOfVoters:
			s.violate("the log has the voters %v for more than %v, want at least %d", voters, shortOfVoters, seriesVoters)
		}
	}
}

// voters returns the voters as known to an established leader, or nil if there is none.
func (s *series) voters() []replicator.NodeID {
	s.mu.Lock()
	names := append([]string(nil), s.running...)
	s.mu.Unlock()
	for _, name := range names {
		server := s.server(name)
		if server == nil {
			continue
		}
		if _, isLeader := server.LeaderTerm(); !isLeader || s.isOutOfTouch(name) {
			continue
		}
		voters, err := await(server, func(answer func([]replicator.NodeID)) { answer(server.core.Config().Voters) })
		if err == nil {
			return voters
		}
	}
	return nil
}

func (s *series) isOutOfTouch(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.frozen[name] || s.network.isCut(name, "")
}

// server returns the server of an instance, or nil while it is stopped.
func (s *series) server(name string) *Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances[name].server
}

func (s *series) startSafely(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start(name)
}

// stopSafely stops an instance while other goroutines call it.
func (s *series) stopSafely(name string) {
	s.mu.Lock()
	instance := s.instances[name]
	server, rpcServer, journal := instance.server, instance.rpcServer, instance.journal
	instance.server = nil
	s.mu.Unlock()
	server.Close()
	rpcServer.Close()
	if err := journal.Close(); err != nil {
		s.t.Error(err)
	}
}
