// Peer is what an instance knows of another one that gathers shards for it. The
// load pattern: one of the gatherers of a data centre is killed, frozen, cut
// off or stopped, while every query of the data centre needs its shards.

package slicer

import "time"

const (
	// reportSlack is added to the usual time until a report: two hiccups of the processor.
	reportSlack = 8 * time.Millisecond
	// reportFactor bounds the time until a report in usual long ones.
	reportFactor = 1.5
	// retryFirst and retryLongest bound the pause before an instance that was silent is tried again.
	retryFirst   = 100 * time.Millisecond
	retryLongest = 1600 * time.Millisecond
)

// Peer is one instance; it belongs to one lock.
type Peer struct {
	silent  bool
	pause   time.Duration
	retryAt time.Duration
}

// Usable tells whether queries may be handed to the instance.
func (p *Peer) Usable() bool { return !p.silent }

// OnReport notes that the instance reported; its next silence counts less than the last one.
func (p *Peer) OnReport() { p.pause /= 2 }

// OnBack notes that the instance takes slices again. One that is slow answers that and is silent again: only reports make its
// next pause shorter.
func (p *Peer) OnBack() { p.silent = false }

// OnSilence notes that the instance did not report in time, failed or is leaving, and tells whether that is news.
func (p *Peer) OnSilence(now time.Duration) bool {
	news := !p.silent
	p.silent = true
	p.pause = min(retryLongest, max(retryFirst, 2*p.pause))
	p.retryAt = now + p.pause
	return news
}

// Doubt takes another instance's word that this one is silent: it is asked at once whether it takes slices, and gets none
// until it says so.
func (p *Peer) Doubt(now time.Duration) {
	p.silent = true
	p.retryAt = now
}

// MayTry tells whether a silent instance should be asked now whether it is back.
func (p *Peer) MayTry(now time.Duration) bool { return p.silent && now >= p.retryAt }

// Patience returns how long an instance may take to report, where 98 of 100 reports take the given time at most; latest is
// when it is too late to ask the leafs instead.
func Patience(usual, latest time.Duration) time.Duration {
	return max(reportSlack, min(time.Duration(reportFactor*float64(usual))+reportSlack, latest))
}
