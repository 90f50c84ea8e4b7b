package arbiter

import "time"

const (
	// meterInterval is the least time between two adjustments.
	meterInterval = 100 * time.Millisecond
	// minSample is the number of ended requests from which on their outcome is a measure.
	minSample = 16
	// toleratedRefusals is the share of refused requests up to which the leafs have room: a few leafs refuse for reasons of their own.
	toleratedRefusals = 0.12
	// maxDecrease bounds the decrease of the share in one adjustment.
	maxDecrease = 0.5
	// drainShare is the part of the requests by which a decrease goes beyond the refusals, so that full queues empty.
	drainShare = 0.2
	// settleTime is the time from a decrease until its effect is seen: instances learn of it, and queued requests end.
	settleTime = 250 * time.Millisecond
	// recoveryPerSecond is the increase of the share while the leafs have room.
	recoveryPerSecond = 0.5
	// minShare keeps enough queries for the measure.
	minShare = 0.1
)

// Meter measures, at an instance that gathers shards, the share of the queries that the leafs of these shards have room for. Its zero
// value has seen nothing. It is not safe for concurrent use.
type Meter struct {
	// deficit is what is missing from the whole share.
	deficit    float64
	ended      int
	refused    int
	adjustedAt time.Duration
	// settlesAt is when the effect of the last decrease is seen.
	settlesAt time.Duration
}

// OnEnd records a request to a leaf that has ended, and whether the leaf refused it for lack of room.
func (m *Meter) OnEnd(isRefused bool, now time.Duration) {
	m.adjust(now)
	m.ended++
	if isRefused {
		m.refused++
	}
}

// Share returns the share of the queries that the leafs have room for, from 0 to 1.
func (m *Meter) Share(now time.Duration) float64 {
	m.adjust(now)
	return 1 - m.deficit
}

func (m *Meter) adjust(now time.Duration) {
	elapsed := now - m.adjustedAt
	if elapsed < meterInterval {
		return
	}
	refusals := float64(m.refused) / float64(max(1, m.ended))
	switch {
	case now < m.settlesAt:
	case m.ended >= minSample && refusals > toleratedRefusals:
		m.deficit = 1 - max(minShare, (1-m.deficit)*(1-min(maxDecrease, refusals+drainShare)))
		m.settlesAt = now + settleTime
	default:
		m.deficit = max(0, m.deficit-recoveryPerSecond*elapsed.Seconds())
	}
	m.ended, m.refused, m.adjustedAt = 0, 0, now
}
