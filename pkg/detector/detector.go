// A leaf that does not answer may have failed. If no leaf at all answers and no
// connection to any leaf can be opened, the instance itself is cut off:
//
//	in touch     leafs answer, or nothing is sent
//	suspicious   a request is overdue, and no leaf has answered since it was sent; connections are tried as a check
//	cut off      nothing has answered for minSilence, several leafs are silent, and a check has failed
//	returning    a leaf has accepted a connection again; the share of the requests that the instance serves itself grows to one
//
// Leafs that fail at all instances look the same from here. The difference shows
// when another instance is asked to serve a request: it declines if it is cut off
// as well.

package detector

import "time"

const (
	// InTouch means that the instance can use the leafs.
	InTouch State = iota
	// CutOff means that the instance reaches no leaf.
	CutOff
	// Returning means that the instance reaches leafs again and takes up its own requests step by step.
	Returning
)

const (
	// minSilence is the time without any answer from which the instance can count as cut off. A throttled processor delays
	// answers by up to 100 ms.
	minSilence = 150 * time.Millisecond
	// minSilentLeafs is the number of leafs that must be silent, or all if fewer are known. A query asks more.
	minSilentLeafs = 3
	// minOverdue is the shortest time after which a request counts as overdue.
	minOverdue = 60 * time.Millisecond
	// overdueFactor is the number of typical latencies after which a request counts as overdue.
	overdueFactor = 1.5
	// returnPeriod is the time in which a returning instance takes up all requests. Opening the connections to fifty leafs one by
	// one takes half of it.
	returnPeriod = time.Second
)

type (
	// State says whether the instance reaches leafs.
	State int

	// Detector follows the requests of one instance to all leafs and requires external locking.
	Detector struct {
		state State
		// waiting holds the requests without an answer by ID, and lost the silent leafs with the times of their first unanswered
		// request since the last contact.
		waiting map[uint64]request
		lost    map[string]time.Duration
		// unconnected holds the leafs to which no connection could be opened since one was opened to any leaf.
		unconnected map[string]bool
		// lastContactAt is when a leaf last answered or accepted a connection.
		lastContactAt time.Duration
		returningAt   time.Duration
	}

	request struct {
		leaf      string
		startedAt time.Duration
		overdueAt time.Duration
	}
)

// New returns a detector for an instance that counts as in touch.
func New() *Detector {
	return &Detector{waiting: map[uint64]request{}, lost: map[string]time.Duration{}, unconnected: map[string]bool{}}
}

// String returns the state as text for logs.
func (s State) String() string {
	switch s {
	case InTouch:
		return "in touch"
	case CutOff:
		return "cut off"
	case Returning:
		return "returning"
	}
	return "unknown"
}

// State returns the current state.
func (d *Detector) State() State { return d.state }

// OnStart records a request to a leaf, which is overdue after some typical latencies.
func (d *Detector) OnStart(id uint64, leaf string, typicalLatency, now time.Duration) {
	overdue := max(minOverdue, time.Duration(overdueFactor*float64(typicalLatency)))
	d.waiting[id] = request{leaf: leaf, startedAt: now, overdueAt: now + overdue}
}

// OnContact records that a leaf answered, or accepted a new connection, and reports whether the state changed. An instance that is
// cut off returns only once connections are accepted: those opened before the cut may live on, too few for its requests.
func (d *Detector) OnContact(isNewConnection bool, now time.Duration) bool {
	d.lastContactAt = now
	clear(d.lost)
	if isNewConnection {
		clear(d.unconnected)
	}
	switch {
	case d.state == CutOff && isNewConnection:
		d.state, d.returningAt = Returning, now
		return true
	case d.state == Returning && now-d.returningAt >= returnPeriod:
		d.state = InTouch
		return true
	}
	return false
}

// OnLost records that a request ended without an answer: its connection broke or could not be opened.
func (d *Detector) OnLost(id uint64) {
	if r, isKnown := d.waiting[id]; isKnown {
		d.addLost(r)
	}
	delete(d.waiting, id)
}

// OnUnconnected records that no connection could be opened to a leaf.
func (d *Detector) OnUnconnected(leaf string) { d.unconnected[leaf] = true }

// CanConnect reports whether connections to leafs can be opened, as far as is known. An instance that cannot may go on with the
// connections that it has, which serve a part of its requests. The instance knows the given number of leafs.
func (d *Detector) CanConnect(knownLeafs int) bool {
	return len(d.unconnected) < min(minSilentLeafs, knownLeafs)
}

// OnEnd records that a request is no longer waited for. If it was overdue, its leaf counts as silent.
func (d *Detector) OnEnd(id uint64, now time.Duration) {
	if r, isKnown := d.waiting[id]; isKnown && now >= r.overdueAt {
		d.addLost(r)
	}
	delete(d.waiting, id)
}

func (d *Detector) addLost(r request) {
	if first, isKnown := d.lost[r.leaf]; !isKnown || r.startedAt < first {
		d.lost[r.leaf] = r.startedAt
	}
}

// HasWaiting reports whether a request waits for its answer.
func (d *Detector) HasWaiting() bool { return len(d.waiting) > 0 }

// HasContactSince reports whether a leaf has answered or accepted a connection since the given time.
func (d *Detector) HasContactSince(since time.Duration) bool { return d.lastContactAt > since }

// Silence returns for how long no leaf has answered although requests wait or have failed, and how many leafs are silent.
func (d *Detector) Silence(now time.Duration) (silence time.Duration, silentLeafs int) {
	since, overdue := now, map[string]bool{}
	for leaf, startedAt := range d.lost {
		since = min(since, startedAt)
		overdue[leaf] = true
	}
	for _, r := range d.waiting {
		if now >= r.overdueAt {
			since = min(since, r.startedAt)
			overdue[r.leaf] = true
		}
	}
	return now - max(since, d.lastContactAt), len(overdue)
}

// NeedsCheck reports whether the instance should try to open connections to some leafs: while it reaches none, and if a request
// is overdue or lost and no leaf has answered for as long.
func (d *Detector) NeedsCheck(now time.Duration) bool {
	if d.state == CutOff {
		return true
	}
	if now-d.lastContactAt < minOverdue {
		return false
	}
	silence, silentLeafs := d.Silence(now)
	return silentLeafs > 0 && silence >= minOverdue
}

// OnCheckFailed records that none of the given leafs accepted a connection in a check that began at startedAt, and reports whether
// the state changed. The instance knows knownLeafs leafs.
func (d *Detector) OnCheckFailed(leafs []string, knownLeafs int, startedAt, now time.Duration) bool {
	if d.lastContactAt >= startedAt {
		return false
	}
	for _, leaf := range leafs {
		d.addLost(request{leaf: leaf, startedAt: startedAt})
	}
	silence, silentLeafs := d.Silence(now)
	if d.state == CutOff || silence < minSilence || silentLeafs < min(minSilentLeafs, knownLeafs) {
		return false
	}
	d.state = CutOff
	return true
}

// ServesItself reports whether the instance serves a new request itself. The sample is uniform in [0,1).
func (d *Detector) ServesItself(sample float64, now time.Duration) bool {
	return sample < d.OwnShare(now)
}

// OwnShare returns the part of the new requests that the instance serves itself, from 0 to 1.
func (d *Detector) OwnShare(now time.Duration) float64 {
	switch d.state {
	case CutOff:
		return 0
	case Returning:
		return min(1, float64(now-d.returningAt)/float64(returnPeriod))
	}
	return 1
}
