// Every query of a data centre needs the shards of all its gatherers. If one of
// them crashes, hangs, is cut off or shuts down, queries must stop using it quickly
// and resume once it has recovered.

package slicer

import "time"

const (
	// reportMargin is added to the time that is waited for a report and covers two scheduling delays.
	reportMargin = 8 * time.Millisecond
	// reportFactor times the 98th percentile of report times is waited for a report.
	reportFactor = 1.5
	// firstReportShare is the share of the time until a gathering instance counts as unresponsive at which it reports in any case. It
	// reports later than most, and leaves the rest for the way of the report.
	firstReportShare = 1 / reportFactor
	// minBackoff and maxBackoff bound the time until an unavailable instance is probed again.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
)

// Peer tracks the availability of one gathering instance and requires external locking.
type Peer struct {
	isUnavailable bool
	backoff       time.Duration
	probeAt       time.Duration
}

// IsAvailable reports whether slices may be sent to the instance.
func (p *Peer) IsAvailable() bool { return !p.isUnavailable }

// OnReport records a report in time and halves the backoff that the next failure starts from.
func (p *Peer) OnReport() { p.backoff /= 2 }

// OnRecovery records that the instance accepts slices again. The backoff is kept: a slow instance answers the probe and then
// fails again, so only reports shorten it.
func (p *Peer) OnRecovery() { p.isUnavailable = false }

// OnFailure records that the instance did not report in time, failed or is shutting down, and reports whether it was available
// until now.
func (p *Peer) OnFailure(now time.Duration) bool {
	wasAvailable := !p.isUnavailable
	p.isUnavailable = true
	p.backoff = min(maxBackoff, max(minBackoff, 2*p.backoff))
	p.probeAt = now + p.backoff
	return wasAvailable
}

// Suspect marks the instance as unavailable because another instance found it so; it is probed at once and gets no slices until
// it accepts them again.
func (p *Peer) Suspect(now time.Duration) {
	p.isUnavailable = true
	p.probeAt = now
}

// ShouldProbe reports whether the instance is unavailable and due to be probed.
func (p *Peer) ShouldProbe(now time.Duration) bool { return p.isUnavailable && now >= p.probeAt }

// ReportTimeout returns how long to wait for the report of an instance, given the 98th percentile of report times. It is at
// most latest, after which it is too late to ask the leafs directly, but no less than a fixed margin.
func ReportTimeout(p98, latest time.Duration) time.Duration {
	return max(reportMargin, min(time.Duration(reportFactor*float64(p98))+reportMargin, latest))
}

// FirstReportDelay returns how long an instance that gathers waits for parts until it makes its first report. It would report once a
// part is late, but what is late to it may be later than the requesting instance waits: under load it has seen more slow answers. A
// timeout of 0 is not known.
func FirstReportDelay(hedgeDelay, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return hedgeDelay
	}
	return min(hedgeDelay, time.Duration(firstReportShare*float64(timeout)))
}
