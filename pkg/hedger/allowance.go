// All instances together may send an upstream service a share of its requests
// again within any window, and a fixed number on top. Each instance counts its
// own requests in the last window and keeps to its part of the bound there:
//
//	a fifth and 214 in 10 s, an even part of 87, 5 requests in the window:  2.3 + 0.95, so three or four again
//
// A part below one is rounded up at some instances and down at others.

package hedger

import "time"

const (
	// allowanceMargin leaves room for requests that arrive in another window than they were sent in, and for instances that
	// spend while they have many requests and keep that count when they have fewer.
	allowanceMargin = 0.85
	// firstShare is the part of the fixed number that a new instance has in its first window: after a restart of all
	// instances the window holds what their predecessors spent as well.
	firstShare = 0.5
	// steps is into how many parts a window is divided.
	steps = 10
)

type (
	// SharedBound is what a service may get of repeated requests from all instances in any window.
	SharedBound struct {
		// Ratio is the share of its requests.
		Ratio float64
		// Slack is the fixed number on top.
		Slack  float64
		Window time.Duration
	}

	// Allowance bounds the repeated requests of one service at one instance.
	Allowance struct {
		bound SharedBound
		// part is this instance's part of the fixed number.
		part float64
		// rounding is uniform in [0,1): the sum over all instances keeps to the bound, while each repeats whole requests.
		rounding float64
		began    time.Duration
		requests window
		repeated window
	}

	// window counts in the present step and the steps before it.
	window struct {
		counts [steps + 1]int
		step   int64
	}
)

// NewAllowance returns the allowance of a new instance with its part of the fixed number; rounding is uniform in [0,1).
func NewAllowance(bound SharedBound, part, rounding float64, now time.Duration) *Allowance {
	return &Allowance{bound: bound, part: part, rounding: rounding, began: now}
}

// Share sets the bound, and the part of its fixed number that this instance has.
func (a *Allowance) Share(bound SharedBound, part float64) { a.bound, a.part = bound, part }

// OnRequest counts a first request.
func (a *Allowance) OnRequest(now time.Duration) { a.requests.add(a.step(now), 1) }

// Take counts a repeated request where one is allowed.
func (a *Allowance) Take(now time.Duration) bool {
	step := a.step(now)
	if a.repeated.sum(step)+1 > int(a.limit(step, now)+a.rounding) {
		return false
	}
	a.repeated.add(step, 1)
	return true
}

// Return takes back the count of a repeated request that was not sent.
func (a *Allowance) Return(now time.Duration) { a.repeated.add(a.step(now), -1) }

func (a *Allowance) limit(step int64, now time.Duration) float64 {
	fixed := a.bound.Slack * a.part
	if now-a.began < a.bound.Window {
		fixed *= firstShare
	}
	return allowanceMargin * (fixed + a.bound.Ratio*float64(a.requests.sum(step)))
}

func (a *Allowance) step(now time.Duration) int64 { return stepOf(now, a.bound.Window) }

func (w *window) add(step int64, count int) {
	w.forward(step)
	w.counts[step%int64(len(w.counts))] += count
}

func (w *window) sum(step int64) int {
	w.forward(step)
	total := 0
	for _, count := range w.counts {
		total += count
	}
	return total
}

// forward empties the steps that have left the window.
func (w *window) forward(step int64) {
	if step-w.step > int64(len(w.counts)) {
		w.counts = [steps + 1]int{}
		w.step = step
	}
	for ; w.step < step; w.step++ {
		w.counts[(w.step+1)%int64(len(w.counts))] = 0
	}
}
