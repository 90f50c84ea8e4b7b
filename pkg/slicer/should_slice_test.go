package slicer

import "testing"

// The load rises to the 232 requests/s per instance that are expected in two years and falls again. Between the two
// thresholds the present state must be kept.
func TestShouldSliceFollowsLoad(t *testing.T) {
	steps := []struct {
		requestsPerSecond float64
		want              bool
	}{
		{0, true}, {0.2, true}, {15, true}, {20, true}, {21, false}, {232, false}, {15, false}, {10, false}, {9.9, true}, {15, true},
	}
	isSlicing := true
	for i, step := range steps {
		if isSlicing = ShouldSlice(isSlicing, step.requestsPerSecond); isSlicing != step.want {
			t.Errorf("step %d, %g requests/s: got slicing %v, want %v", i, step.requestsPerSecond, isSlicing, step.want)
		}
	}
}
