// A leaf may start again under its identifier and at its address. What the
// former process stated or showed does not hold for the new one. Where it kept
// requests away from the leaf, no response can show that, but the list of leafs
// does.

package placer

import "time"

// maxListLag is the time after which the list certainly shows that a leaf is leaving or gone. A leaf may state that it is leaving some
// seconds before the list shows it, and one that has crashed stays on the list for some seconds.
const maxListLag = 10 * time.Second

// OnListed records that the list of leafs as read at readAt has the leaf with its present attributes. It reports whether that shows that
// the process which stated that it is leaving, or which lost its address, is not the one that is listed.
func (l *Leaf) OnListed(readAt time.Duration) bool {
	hasLeft := l.statesLeaving && !l.fields.Load().IsDraining && readAt-l.leavingStatedAt >= maxListLag
	isBack := l.isReplaced && readAt-l.replacedAt >= maxListLag
	if !hasLeft && !isBack {
		return false
	}
	l.forgetProcess(readAt)
	return true
}

// forgetProcess drops what was learned from the responses of the process that the leaf was before the list was read at readAt. A rate limit
// stays: requests still go to the leaf at that rate, and the response to one of them ends it at all instances.
func (l *Leaf) forgetProcess(readAt time.Duration) {
	l.ForgetObservations()
	l.isReplaced, l.restUntil = false, 0
	l.statesLeaving = l.statesLeaving && l.leavingStatedAt >= readAt
}
