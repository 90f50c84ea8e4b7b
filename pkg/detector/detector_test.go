package detector

import (
	"testing"
	"time"
)

const (
	typicalLatency = 28 * time.Millisecond
	knownLeafs     = 40
)

// load replays requests to leafs, one every 5 ms to one leaf after the other, as an instance with ten queries a second sends them.
type load struct {
	*Detector
	now    time.Duration
	nextID uint64
	ends   map[uint64]time.Duration
}

var leafNames = []string{"a", "b", "c", "d", "e", "f", "g", "h"}

// run sends requests for the given time. A leaf for which answers returns true answers after the typical latency. A check
// runs for as long as the detector wants one and reaches no leaf unless isReachable is set. It returns when the state was first
// CutOff, or 0.
func (l *load) run(duration time.Duration, answers func(leaf string) bool, isReachable bool) (cutOffAt time.Duration) {
	const step, checkTime = 5 * time.Millisecond, 100 * time.Millisecond
	checkStartedAt := time.Duration(-1)
	for end := l.now + duration; l.now < end; l.now += step {
		leaf := leafNames[l.nextID%uint64(len(leafNames))]
		l.nextID++
		l.OnStart(l.nextID, leaf, typicalLatency, l.now)
		if answers(leaf) {
			l.ends[l.nextID] = l.now + typicalLatency
		}
		for id, at := range l.ends {
			if at <= l.now {
				l.OnContact(false, l.now)
				l.OnEnd(id, l.now)
				delete(l.ends, id)
			}
		}
		switch {
		case checkStartedAt < 0 && l.NeedsCheck(l.now):
			checkStartedAt = l.now
		case checkStartedAt >= 0 && isReachable:
			l.OnContact(true, l.now)
			checkStartedAt = -1
		case checkStartedAt >= 0 && l.now-checkStartedAt >= checkTime:
			l.OnCheckFailed(leafNames[:3], knownLeafs, checkStartedAt, l.now)
			checkStartedAt = -1
		}
		if cutOffAt == 0 && l.State() == CutOff {
			cutOffAt = l.now
		}
	}
	return cutOffAt
}

func newLoad() *load { return &load{Detector: New(), ends: map[uint64]time.Duration{}} }

func TestInstanceIsCutOffOnlyWhenNoLeafCanBeReached(t *testing.T) {
	tests := []struct {
		name        string
		answers     func(leaf string) bool
		isReachable bool
		wantCutOff  bool
	}{
		{"all leafs answer", func(string) bool { return true }, true, false},
		{"no leaf answers or accepts connections", func(string) bool { return false }, false, true},
		{"one leaf answers on an old connection, new connections fail", func(leaf string) bool { return leaf == "a" }, false, false},
		{"no leaf answers, but connections are accepted", func(string) bool { return false }, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLoad()
			l.run(2*time.Second, func(string) bool { return true }, true)
			start := l.now
			cutOffAt := l.run(2*time.Second, test.answers, test.isReachable)
			if (cutOffAt > 0) != test.wantCutOff {
				t.Fatalf("cut off at %v, want cut off: %v", cutOffAt, test.wantCutOff)
			}
			if took := cutOffAt - start; test.wantCutOff && took > 400*time.Millisecond {
				t.Errorf("cut off after %v, want at most 400ms", took)
			}
		})
	}
}

// An instance that gets a request a minute has no other traffic to compare with.
func TestSingleSilentRequestIsChecked(t *testing.T) {
	d := New()
	now := time.Minute
	d.OnStart(1, "a", typicalLatency, now)
	if d.NeedsCheck(now + minOverdue - 1) {
		t.Error("checked before the request is overdue")
	}
	now += minOverdue
	if !d.NeedsCheck(now) {
		t.Fatal("not checked although the only request is overdue")
	}
	d.OnCheckFailed([]string{"b", "c", "d"}, knownLeafs, now, now+100*time.Millisecond)
	if d.State() != CutOff {
		t.Errorf("state %v after a failed check, want cut off", d.State())
	}
}

// An answer that arrives while a check fails is newer than the check.
func TestAnswerDuringFailedCheckPrevails(t *testing.T) {
	d := New()
	for id, leaf := range leafNames {
		d.OnStart(uint64(id), leaf, typicalLatency, 0)
	}
	d.OnContact(false, 250*time.Millisecond)
	if d.OnCheckFailed(leafNames[:3], knownLeafs, 200*time.Millisecond, 300*time.Millisecond) || d.State() != InTouch {
		t.Errorf("state %v, want in touch", d.State())
	}
}

// Hundreds of instances whose cut heals at the same moment must not all open their connections at once.
func TestReturningInstanceTakesUpRequestsStepByStep(t *testing.T) {
	l := newLoad()
	l.run(time.Second, func(string) bool { return false }, false)
	if l.State() != CutOff || l.ServesItself(0, l.now) {
		t.Fatalf("state %v, want cut off", l.State())
	}
	l.OnContact(true, l.now)
	for _, test := range []struct {
		after time.Duration
		want  int
	}{{0, 0}, {returnPeriod / 4, 25}, {returnPeriod / 2, 50}, {returnPeriod, 100}} {
		served := 0
		for i := range 100 {
			if l.ServesItself(float64(i)/100, l.now+test.after) {
				served++
			}
		}
		if served != test.want {
			t.Errorf("after %v the instance serves %d of 100 requests itself, want %d", test.after, served, test.want)
		}
	}
	l.OnContact(false, l.now+returnPeriod)
	if l.State() != InTouch {
		t.Errorf("state %v after the return period, want in touch", l.State())
	}
}

// Connections that were opened before the cut may live on while leafs accept no new ones.
func TestInstanceReturnsOnlyWithNewConnections(t *testing.T) {
	l := newLoad()
	l.run(time.Second, func(string) bool { return false }, false)
	l.OnContact(false, l.now)
	if l.State() != CutOff {
		t.Errorf("state %v after an answer on an old connection, want cut off", l.State())
	}
	l.OnContact(true, l.now)
	if l.State() != Returning {
		t.Errorf("state %v after a new connection, want returning", l.State())
	}
}

func TestInstanceWithOldConnectionsOnlyCannotConnect(t *testing.T) {
	d := New()
	for i, leaf := range []string{"a", "b", "b", "c"} {
		if !d.CanConnect(knownLeafs) {
			t.Fatalf("cannot connect after %d failures, want 3 leafs to fail first", i)
		}
		d.OnUnconnected(leaf)
	}
	d.OnContact(false, time.Second)
	if d.CanConnect(knownLeafs) {
		t.Error("can connect after an answer on an old connection, want a new connection first")
	}
	d.OnContact(true, time.Second)
	if !d.CanConnect(knownLeafs) {
		t.Error("cannot connect after a new connection")
	}
}
