// A fence keeps a new owner from sending to a leaf while the previous owner
// may still do so. It opens when the previous owner releases the leaf, or after
// a timeout that covers the previous owner's lease and the longest request that
// it may have sent.

package assigner

import "time"

const (
	// FenceClosed means that the new owner must not send requests to the leaf yet.
	FenceClosed FencePhase = iota
	// FenceOpen means that the owner may send requests to the leaf.
	FenceOpen
)

type (
	// FencePhase is the state of a fence.
	FencePhase int

	// Fence blocks requests to a leaf at the start of a new ownership.
	Fence struct {
		timeoutAt  time.Duration
		phase      FencePhase
		startsCold bool
		release    Release
	}

	// Release is the state of a leaf that its previous owner passes to the next one.
	Release struct {
		// WasOpen reports whether the fence of the previous owner was open, which means that no earlier owner can be sending.
		WasOpen bool
		// RunningRequests is the number of requests that may still be running at the leaf.
		RunningRequests int
		// RemainingRunTime is the longest time that any of those requests may continue to run.
		RemainingRunTime time.Duration
		// Limit is the concurrency limit of the leaf, in requests.
		Limit float64
		// Latency is the baseline latency of a request at the leaf.
		Latency time.Duration
	}
)

// NewFence returns a closed fence that opens without a release once timeout has passed.
func NewFence(now, timeout time.Duration) *Fence {
	return &Fence{timeoutAt: now + timeout, startsCold: true}
}

// OnRelease opens the fence if the previous owner had the leaf open, and ignores the release otherwise.
func (f *Fence) OnRelease(release Release) {
	if f.phase == FenceOpen || !release.WasOpen {
		return
	}
	f.phase = FenceOpen
	f.startsCold = false
	f.release = release
}

// Phase returns the state of the fence at now, opening the fence if its timeout has passed.
func (f *Fence) Phase(now time.Duration) FencePhase {
	if f.phase == FenceClosed && now >= f.timeoutAt {
		f.phase = FenceOpen
	}
	return f.phase
}

// Handover returns the release of the previous owner, or false if there is none and the leaf must start cold.
func (f *Fence) Handover() (Release, bool) { return f.release, !f.startsCold }
