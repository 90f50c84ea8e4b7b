package rationer

import "time"

// bucket is a token bucket. It keeps what was taken, so that a change of its capacity gives away no tokens.
type bucket struct {
	perSecond float64
	capacity  float64
	taken     float64
	// forgiven is what a lower capacity did not let the bucket owe. It is owed again if the capacity rises.
	forgiven  float64
	updatedAt time.Duration
	// promisedAt is the time of the last token that a refusal was told of.
	promisedAt time.Duration
}

func newBucket(perSecond, capacity, level float64, now time.Duration) *bucket {
	return &bucket{perSecond: perSecond, capacity: capacity, taken: max(0, capacity-level), updatedAt: now}
}

// setRate changes the rate and the capacity.
func (b *bucket) setRate(perSecond, capacity float64, now time.Duration) {
	b.refill(now)
	b.perSecond, b.capacity = perSecond, capacity
	owed := b.taken + b.forgiven
	b.taken = min(owed, capacity)
	b.forgiven = owed - b.taken
	b.promisedAt = min(b.promisedAt, now)
}

func (b *bucket) refill(now time.Duration) {
	if now > b.updatedAt {
		tokens := b.perSecond * (now - b.updatedAt).Seconds()
		b.taken, b.forgiven = max(0, b.taken-tokens), max(0, b.forgiven-tokens)
		b.updatedAt = now
	}
}

// level returns the number of tokens.
func (b *bucket) level(now time.Duration) float64 {
	b.refill(now)
	return b.capacity - b.taken
}

// usage returns the part of the tokens that is missing, from 0 to 1.
func (b *bucket) usage(now time.Duration) float64 {
	return max(0, min(1, 1-b.level(now)/b.capacity))
}

// take removes tokens and reports whether there were enough.
func (b *bucket) take(count float64, now time.Duration) bool {
	// The rounding errors of many refills must not cost a token.
	const epsilon = 1e-9
	if b.level(now) < count-epsilon {
		return false
	}
	b.taken += count
	return true
}

// promise returns the time until the next token that no former refusal was told of, at most maxWait.
func (b *bucket) promise(maxWait, now time.Duration) time.Duration {
	interval := min(maxWait, secondsToDuration(1/b.perSecond, maxWait))
	next := now + secondsToDuration((1-b.level(now))/b.perSecond, maxWait)
	b.promisedAt = min(max(next, b.promisedAt+interval), now+maxWait)
	return max(0, b.promisedAt-now)
}

func secondsToDuration(seconds float64, limit time.Duration) time.Duration {
	return time.Duration(max(0, min(seconds, limit.Seconds())) * float64(time.Second))
}
