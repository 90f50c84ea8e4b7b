// Leafs work on plain requests in the order of their arrival. Who shall not
// wait behind others is protected by turning the others away while the queue is
// long:
//
//	objective 1 s, tenant with all of its allowance used, wait 300 ms -> turned away; another tenant -> sent

package arbiter

import (
	"math"
	"time"
)

const (
	// recentHalfLife is the half-life of what is known of a class.
	recentHalfLife = 5 * time.Second
	// classRetention is the age at which a class is removed to make room for others, and maxClasses bounds their number.
	classRetention = 4 * recentHalfLife
	maxClasses     = 1024
	// frontRetention is how long a class counts as one that others must leave room for after its last request.
	frontRetention = 2 * time.Second
	// priorRequests is the number of requests of a class that weigh as much as the share of all.
	priorRequests = 2.0
	// standingInterval and standingRequests are the time and the number of requests over which a wait is a standing one: a slot that is
	// free in between shows that there is room.
	standingInterval = 100 * time.Millisecond
	standingRequests = 4
	// shortageRetention is how long room counts as short after a standing wait was too long, and the time without requests after which
	// nothing is known of it.
	shortageRetention = time.Second
	// usageCost is the part of its weight that a tenant loses that has used all of its allowance.
	usageCost = 0.9
	// behindShare is the part of the objective up to which requests of half the highest weight may lengthen the queue, in terms
	// of that ratio. Those of the highest weight are then served in time.
	behindShare = 0.5
)

type (
	// Class is a kind of plain request that gets its part of the room.
	Class struct {
		Route, Tenant string
	}

	// Request is what is known of a plain request before it is sent.
	Request struct {
		Class Class
		// Rank and Usage are those of a Query.
		Rank  int
		Usage float64
		// Wait is the expected time until a slot is free for it, and Cost the expected time that the leaf works on it.
		Wait, Cost time.Duration
		// Left is the time that the caller still waits.
		Left time.Duration
		// Objective is the shortest one of the requests that compete.
		Objective time.Duration
	}

	// Queue decides on the requests that wait for the slots of one service, at the instance that places them. It is not safe for concurrent
	// use.
	Queue struct {
		classes map[Class]*classRecord
		all     classRecord
		// lowest is the shortest wait of the requests since lowestSince, and formerLowest that of the interval before.
		lowest, formerLowest time.Duration
		lowestSince          time.Duration
		requests             int
		// shortUntil is until when room is short.
		shortUntil time.Duration
	}

	// classRecord counts the requests of a class, older ones less.
	classRecord struct {
		offered, admitted float64
		usage             float64
		weight            float64
		seenAt            time.Duration
	}
)

// NewQueue returns a queue that has seen no requests.
func NewQueue() *Queue { return &Queue{classes: map[Class]*classRecord{}} }

// Judge decides on a request. One for which a slot is free is admitted, so that a wrong estimate is corrected by what it takes. The spread is
// uniform in [0,1).
func (q *Queue) Judge(r Request, spread float64, now time.Duration) Verdict {
	standing := q.standingWait(r.Wait, now)
	class := q.classOf(r.Class, now)
	class.usage = max(class.usage, min(1, r.Usage))
	class.weight = weightOf(r.Rank, class.usage)
	q.all.decay(now)
	verdict := Verdict{IsAdmitted: true, MaxWait: r.Left - r.Cost}
	switch {
	case r.Wait <= 0:
	case r.Wait > verdict.MaxWait:
		verdict.IsAdmitted, verdict.IsTooLate = false, true
	case !q.isStarved(class):
		verdict.MaxWait = min(verdict.MaxWait, q.maxWait(class, r, now))
		if standing > verdict.MaxWait {
			q.shortUntil = now + shortageRetention
		}
		verdict.IsAdmitted = r.Wait <= verdict.MaxWait || now >= q.shortUntil
	}
	if !verdict.IsAdmitted {
		verdict.RetryAfter = returnTime(max(r.Wait, q.recoveryTime()), r.Rank, r.Left, spread)
	}
	class.record(verdict.IsAdmitted)
	q.all.record(verdict.IsAdmitted)
	return verdict
}

// JudgeAlone decides on a request at an instance that sees only its own requests. The wait is the shortest one of all leafs. It is turned away
// only if no leaf can begin with it in the time left.
func JudgeAlone(r Request, spread float64) Verdict {
	if r.Wait <= max(0, r.Left) {
		return Verdict{IsAdmitted: true, MaxWait: r.Left}
	}
	return Verdict{IsTooLate: true, MaxWait: r.Left, RetryAfter: returnTime(r.Wait, r.Rank, r.Left, spread)}
}

// standingWait returns the shortest wait of the last requests, or 0 if they were too few.
func (q *Queue) standingWait(wait, now time.Duration) time.Duration {
	switch {
	case now-q.all.seenAt >= shortageRetention:
		q.formerLowest, q.lowest, q.lowestSince, q.requests = 0, wait, now, 0
	case now-q.lowestSince >= standingInterval && q.requests >= standingRequests:
		q.formerLowest, q.lowest, q.lowestSince, q.requests = q.lowest, wait, now, 0
	}
	q.lowest = min(q.lowest, wait)
	q.requests++
	return min(q.lowest, q.formerLowest)
}

// recoveryTime returns the time in which the requests that were turned away lately can be admitted.
func (q *Queue) recoveryTime() time.Duration {
	turnedAway := q.all.offered - q.all.admitted
	return time.Duration(min(1, turnedAway/max(1, q.all.admitted)) * float64(recentHalfLife) / math.Ln2)
}

// maxWait returns the longest standing wait with which a class is admitted. The class of the highest weight that came lately may wait for
// as long as its callers do. Those of half the weight or less must leave it time within the objective.
func (q *Queue) maxWait(class *classRecord, r Request, now time.Duration) time.Duration {
	highest := class.weight
	for _, other := range q.classes {
		if now-other.seenAt < frontRetention {
			highest = max(highest, other.weight)
		}
	}
	ratio := class.weight / highest
	behind := behindShare * float64(r.Objective)
	if ratio <= 0.5 {
		return time.Duration(ratio * behind)
	}
	return time.Duration(behind/2 + (2*ratio-1)*max(0, float64(r.Left)-behind/2))
}

// isStarved reports whether a class got much less than its part lately.
func (q *Queue) isStarved(class *classRecord) bool {
	share := q.all.share()
	return (class.admitted+priorRequests*share)/(class.offered+priorRequests) < minRankShare*share
}

func (q *Queue) classOf(key Class, now time.Duration) *classRecord {
	class := q.classes[key]
	if class == nil {
		class = &classRecord{seenAt: now}
		if len(q.classes) < maxClasses || q.removeOld(now) {
			q.classes[key] = class
		}
	}
	class.decay(now)
	return class
}

// removeOld removes the classes without recent requests and reports whether there were any.
func (q *Queue) removeOld(now time.Duration) bool {
	before := len(q.classes)
	for key, class := range q.classes {
		if now-class.seenAt >= classRetention {
			delete(q.classes, key)
		}
	}
	return len(q.classes) < before
}

func (c *classRecord) decay(now time.Duration) {
	factor := math.Exp2(-float64(max(0, now-c.seenAt)) / float64(recentHalfLife))
	c.offered, c.admitted, c.usage, c.seenAt = c.offered*factor, c.admitted*factor, c.usage*factor, now
}

func (c *classRecord) record(isAdmitted bool) {
	c.offered++
	if isAdmitted {
		c.admitted++
	}
}

// share returns the part of the requests that was admitted, or 1 without requests.
func (c *classRecord) share() float64 {
	if c.offered == 0 {
		return 1
	}
	return c.admitted / c.offered
}

// weightOf returns the weight of a class. A tenant that uses all of its allowance goes behind the second rank below its own.
func weightOf(rank int, usage float64) float64 {
	return (1 - usageCost*usage) / float64(1+min(max(0, rank), 2))
}
