// Lease arithmetic. The holder counts from the moment it sent the renewal,
// the granting side from the moment it answered, and the drift margin covers
// clocks that run at different speeds.

package assigner

import "time"

const (
	// LeaseLength is how long a lease lasts for its holder.
	LeaseLength = 1500 * time.Millisecond
	// MaxSubDeadline is the longest time one request to a leaf may run.
	MaxSubDeadline = 2 * time.Second
	// maxDriftPercent is the largest difference in speed between two monotonic clocks.
	maxDriftPercent = 2
)

// Lease is a holder's view of its own lease.
type Lease struct {
	until time.Duration
}

// Renew extends the lease by a confirmed renewal that was sent at sentAt.
func (l *Lease) Renew(sentAt time.Duration) {
	l.until = max(l.until, sentAt+LeaseLength)
}

// Held tells whether the holder may still act at now.
func (l *Lease) Held(now time.Duration) bool { return now < l.until }

// Until returns the end of the lease.
func (l *Lease) Until() time.Duration { return l.until }

// GrantEnd returns when a lease granted at the given time has surely run out, by the granting side's clock.
func GrantEnd(grantedAt time.Duration) time.Duration {
	return grantedAt + LeaseLength + LeaseLength*maxDriftPercent/100
}

// FenceWait returns how long after an epoch an unreleased leaf is waited out.
func FenceWait() time.Duration { return GrantEnd(0) + MaxSubDeadline }
