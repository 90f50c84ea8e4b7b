// A fence keeps a new owner from sending before the former owner stopped.
// The former owner releases the leaf, or its lease and the longest deadline
// of what it may have sent are waited out.

package assigner

import "time"

const (
	// FenceClosed means that the leaf takes nothing yet.
	FenceClosed FencePhase = iota
	// FenceOpen means that the owner may send.
	FenceOpen
)

type (
	// FencePhase tells whether the owner may send.
	FencePhase int

	// Fence guards the start of one ownership of one leaf.
	Fence struct {
		opensAt time.Duration
		phase   FencePhase
		cold    bool
		release Release
	}

	// Release is what a former owner hands over with a leaf.
	Release struct {
		// Open tells whether the former owner had the leaf open, so that every earlier owner had been fenced.
		Open bool
		// Running is the number of requests that may still run.
		Running int
		// RunningUntil is the longest remaining time of those requests.
		RunningUntil time.Duration
		// Limit is the number of requests that the leaf was given at a time.
		Limit float64
		// Latency is the usual time of one request.
		Latency time.Duration
	}
)

// NewFence returns a fence that opens by itself after wait.
func NewFence(now, wait time.Duration) *Fence {
	return &Fence{opensAt: now + wait, cold: true}
}

// OnRelease takes the answer of a former owner; an answer from one that never had the leaf open changes nothing.
func (f *Fence) OnRelease(release Release) {
	if f.phase == FenceOpen || !release.Open {
		return
	}
	f.phase = FenceOpen
	f.cold = false
	f.release = release
}

// Phase returns whether the owner may send at the given time.
func (f *Fence) Phase(now time.Duration) FencePhase {
	if f.phase == FenceClosed && now >= f.opensAt {
		f.phase = FenceOpen
	}
	return f.phase
}

// Inherited returns what the former owner handed over, and false where the leaf opens as cold.
func (f *Fence) Inherited() (Release, bool) { return f.release, !f.cold }
