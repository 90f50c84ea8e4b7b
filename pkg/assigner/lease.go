// The holder of a lease measures it from the time at which it sent the renewal,
// and the grantor from the time at which it replied. The grantor also adds a
// margin for monotonic clocks that run at different rates, so the lease ends
// at the holder first.

package assigner

import "time"

const (
	// LeaseDuration is the duration of a lease, measured by its holder.
	LeaseDuration = 1500 * time.Millisecond
	// MaxLeafRequestTime is the longest time that one request to a leaf may run.
	MaxLeafRequestTime = 2 * time.Second
	// maxDriftPercent is the largest assumed difference in rate between two monotonic clocks.
	maxDriftPercent = 2
)

// Lease tracks the expiry of a lease at its holder.
type Lease struct {
	until time.Duration
}

// Renew extends the lease to LeaseDuration after sentAt, the time at which a confirmed renewal was sent.
func (l *Lease) Renew(sentAt time.Duration) {
	l.until = max(l.until, sentAt+LeaseDuration)
}

// IsHeld reports whether the lease is still valid at now.
func (l *Lease) IsHeld(now time.Duration) bool { return now < l.until }

// ExpiresAt returns the time at which the lease expires.
func (l *Lease) ExpiresAt() time.Duration { return l.until }

// GrantExpiry returns the time, by the grantor's clock, at which a lease granted at grantedAt has expired for certain.
func GrantExpiry(grantedAt time.Duration) time.Duration {
	return grantedAt + LeaseDuration + LeaseDuration*maxDriftPercent/100
}

// FenceTimeout returns how long a new owner waits for the release of a leaf before it starts to send without one.
func FenceTimeout() time.Duration { return GrantExpiry(0) + MaxLeafRequestTime }
