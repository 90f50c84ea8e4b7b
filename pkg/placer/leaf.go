// Leaf is what one instance knows of one leaf from its own requests. Health
// endpoints are not consulted: they answer while requests fail, or the reverse.

package placer

import (
	"time"
)

const (
	// slownessGain is the weight of one answer in the running slowness, spellGain that of a slow answer in a spell that
	// outlasts a pause.
	slownessGain = 0.25
	spellGain    = 0.6
	// slownessHalfLife is how fast an old slowness fades towards normal, so that a leaf that was slow is tried again: spells
	// last for 6 to 8 s.
	slownessHalfLife = 4 * time.Second
	// lowestSlowness and highestSlowness bound what one answer can claim.
	lowestSlowness  = 0.3
	highestSlowness = 30.0
	// faultGain is the weight of one outcome in the running share of faults.
	faultGain = 0.4
	// faultHalfLife is how fast an old share of faults fades: faults of leafs last for 4 to 8 s.
	faultHalfLife = 5 * time.Second
	// awayFirst and awayLongest bound the time without requests after a leaf could not be reached or was silent.
	awayFirst   = 100 * time.Millisecond
	awayLongest = 1600 * time.Millisecond
	// stallFactor is how many typical times a request may be unanswered before the leaf counts as stalled.
	stallFactor = 3.0
	// firstLimit is how many requests of this instance a leaf may have at first.
	firstLimit = 16.0
	// lowestLimit is the smallest limit; one below 1 stands for a pause after each request.
	lowestLimit = 0.125
	// pacePause is the pause at a limit of one half: about the time between two requests of one instance to a leaf today.
	pacePause = 50 * time.Millisecond
	// limitCut is what is left of the limit after a late or expired request, limitGain what an answer adds.
	limitCut  = 0.5
	limitGain = 0.1
	// leavingGrace is how long a leaving leaf may still be the last resort; it serves for longer, but the list lags.
	leavingGrace = time.Second
	// leastStall keeps short requests from looking stalled by a hiccup of this instance.
	leastStall = 25 * time.Millisecond
)

const (
	// Answered is an answer that counts.
	Answered Outcome = iota
	// Full is a refusal for lack of room, without an execution.
	Full
	// Faulty is an error answer, a broken one or a broken connection.
	Faulty
	// Unreachable means that no connection could be opened.
	Unreachable
	// Replaced means that another leaf has the address.
	Replaced
	// Expired means that the leaf stopped work at the time limit that it was given.
	Expired
	// Silent means that the request was given up without an answer.
	Silent
	// Dropped means that this instance had no memory left for the answer, which says nothing of the leaf.
	Dropped
)

type (
	// Outcome is how an exchange ended.
	Outcome int

	// Fields are what the list of leafs says of a leaf.
	Fields struct {
		ID         string
		Service    string
		DataCentre string
		Address    string
		Slots      int
		Leaving    bool
	}

	// Leaf is one leaf as this instance sees it; it belongs to one lock.
	Leaf struct {
		fields       Fields
		coldUntil    time.Duration
		running      map[uint64]time.Duration
		slowness     float64
		slowAt       time.Duration
		faults       float64
		faultsAt     time.Duration
		away         time.Duration
		awayUntil    time.Duration
		lastAnswerAt time.Duration
		typical      time.Duration
		gone         bool
		foreign      bool
		limit        float64
		sentAt       time.Duration
		leavingSince time.Duration
		// slow tells that the last answer was slow, slowSince and slowSeenAt when the spell began and was seen last.
		slow       bool
		slowSince  time.Duration
		slowSeenAt time.Duration
		// seenAt is when something was last seen of the leaf, here or by another instance.
		seenAt time.Duration
		// toldBad tells that the others were told of a slow or failing leaf.
		toldBad bool
	}
)

// New returns a leaf of which nothing has been seen yet.
func New(fields Fields, coldUntil, now time.Duration) *Leaf {
	return &Leaf{fields: fields, coldUntil: coldUntil, leavingSince: now, slowness: 1, limit: firstLimit, running: map[uint64]time.Duration{}}
}

// String returns the outcome as words.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case Full:
		return "refused without running it"
	case Faulty:
		return "failed"
	case Unreachable:
		return "not reached"
	case Replaced:
		return "another leaf has the address"
	case Expired:
		return "stopped at its time limit"
	case Silent:
		return "silent"
	case Dropped:
		return "dropped here for lack of memory"
	}
	return "unknown"
}

// Picture is what is known of a leaf, for a log line.
type Picture struct {
	Running  int
	Limit    float64
	Slowness float64
	Faults   float64
	Stalled  bool
	Away     bool
}

// Picture returns what is known of the leaf.
func (l *Leaf) Picture(now time.Duration) Picture {
	return Picture{
		Running: len(l.running), Limit: l.limit, Slowness: l.slownessAt(now), Faults: l.faultsNow(now),
		Stalled: l.Stalled(now), Away: l.Away(now),
	}
}

// Fields returns what the list of leafs says.
func (l *Leaf) Fields() Fields { return l.fields }

// Update takes what a later list says of the same leaf.
func (l *Leaf) Update(fields Fields, coldUntil, now time.Duration) {
	if fields.Leaving && !l.fields.Leaving {
		l.leavingSince = now
	}
	l.fields = fields
	l.coldUntil = coldUntil
}

// Cold tells whether the leaf still warms up.
func (l *Leaf) Cold(now time.Duration) bool { return now < l.coldUntil }

// SetCold notes that the leaf is cold until the given time.
func (l *Leaf) SetCold(until time.Duration) { l.coldUntil = max(l.coldUntil, until) }

// SetHome tells whether this instance keeps connections to the leaf.
func (l *Leaf) SetHome(home bool) { l.foreign = !home }

// Home tells whether this instance keeps connections to the leaf.
func (l *Leaf) Home() bool { return !l.foreign }

// Gone tells whether another leaf has the address.
func (l *Leaf) Gone() bool { return l.gone }

// Away tells whether the leaf is left alone for the moment.
func (l *Leaf) Away(now time.Duration) bool { return now < l.awayUntil }

// Running returns how many requests of this instance the leaf has.
func (l *Leaf) Running() int { return len(l.running) }

// OnSend notes a request that was handed to the leaf; typical is the usual time of its kind.
func (l *Leaf) OnSend(id uint64, typical, now time.Duration) {
	l.running[id] = now
	l.sentAt = now
	l.typical = typical
}

// OnEnd notes how a request ended; took is the time from sending it.
func (l *Leaf) OnEnd(id uint64, outcome Outcome, took, typical, now time.Duration) {
	delete(l.running, id)
	switch outcome {
	case Answered:
		l.lastAnswerAt = now
		l.away = 0
		l.awayUntil = 0
		ratio := float64(took) / float64(max(typical, time.Millisecond))
		l.noteSlow(ratio, now)
		l.learnSlowness(ratio, now)
		l.learnFault(0, now)
		l.limit = min(firstLimit, l.limit+limitGain)
	case Full:
		// The limit stays: a refusal takes none of the leaf's time, and some leafs refuse while they have room.
		l.lastAnswerAt = now
		l.learnFault(1, now)
	case Faulty:
		l.learnFault(1, now)
	case Unreachable, Silent:
		l.learnFault(1, now)
		l.goAway(now)
	case Expired:
		l.lastAnswerAt = now
		l.learnLate(took, typical, now)
		l.cutLimit()
	case Replaced:
		l.gone = true
	}
}

// OnLate notes that a request took at least this long and was given up, since it is late or another leaf answered. A leaf
// that answered nothing in all that time is left alone for a moment, and for longer each time.
func (l *Leaf) OnLate(id uint64, took, typical, now time.Duration) {
	sent, known := l.running[id]
	delete(l.running, id)
	l.learnLate(took, typical, now)
	if took <= time.Duration(stallFactor*float64(typical)) {
		return
	}
	l.cutLimit()
	if known && l.lastAnswerAt <= sent {
		l.goAway(now)
	}
}

// OnSilence notes that a request has not been answered for this long and is sent elsewhere as well.
func (l *Leaf) OnSilence(silence, typical, now time.Duration) { l.learnLate(silence, typical, now) }

// cutLimit sends less to a leaf that fell behind: what is queued there is late for all who ask.
func (l *Leaf) cutLimit() { l.limit = max(lowestLimit, limitCut*l.limit) }

// AtLimit tells whether the leaf has as many requests of this instance as it answers in time.
func (l *Leaf) AtLimit(now time.Duration) bool {
	if l.limit >= 1 {
		return float64(len(l.running)) >= l.limit
	}
	pause := time.Duration((1/l.limit - 1) * float64(pacePause))
	return len(l.running) > 0 || now-l.sentAt < pause
}

func (l *Leaf) learnLate(took, typical, now time.Duration) {
	ratio := float64(took) / float64(max(typical, time.Millisecond))
	if ratio >= slowRatio {
		l.noteSlow(ratio, now)
	}
	if ratio > l.slownessAt(now) {
		l.learnSlowness(ratio, now)
	}
}

// Stalled tells whether the leaf has not answered anything for several typical times although it should have.
func (l *Leaf) Stalled(now time.Duration) bool {
	oldest := now
	for _, sent := range l.running {
		oldest = min(oldest, sent)
	}
	silence := now - max(oldest, l.lastAnswerAt)
	limit := max(leastStall, time.Duration(stallFactor*l.slownessAt(now)*float64(l.typical)))
	return silence > limit
}

// Expected returns how long a request of a kind with the given usual time will probably take.
func (l *Leaf) Expected(typical, now time.Duration) time.Duration {
	ahead := float64(len(l.running)) / float64(max(1, l.fields.Slots))
	return time.Duration(l.slownessAt(now) * (1 + ahead) * float64(typical))
}

func (l *Leaf) learnSlowness(ratio float64, now time.Duration) {
	ratio = max(lowestSlowness, min(ratio, highestSlowness))
	present := l.slownessAt(now)
	gain := slownessGain
	if l.slow && now-l.slowSince >= longestPause {
		gain = spellGain
	}
	l.slowness = present + gain*(ratio-present)
	l.slowAt = now
}

func (l *Leaf) learnFault(fault float64, now time.Duration) {
	present := l.faultsNow(now)
	l.faults = present + faultGain*(fault-present)
	l.faultsAt = now
}

func (l *Leaf) goAway(now time.Duration) {
	if now < l.awayUntil {
		return
	}
	l.away = min(awayLongest, max(awayFirst, 2*l.away))
	l.awayUntil = now + l.away
}

func (l *Leaf) slownessAt(now time.Duration) float64 {
	return 1 + (l.slowness-1)*fade(now-l.slowAt, slownessHalfLife)
}

func (l *Leaf) faultsNow(now time.Duration) float64 {
	return l.faults * fade(now-l.faultsAt, faultHalfLife)
}
