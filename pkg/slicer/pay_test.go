package slicer

import "testing"

// The load of a fleet rises to that of two years and falls again.
func TestSlicesFollowTheLoad(t *testing.T) {
	steps := []struct {
		perInstance float64
		want        bool
	}{
		{0, true}, {0.2, true}, {15, true}, {20, true}, {21, false}, {232, false}, {15, false}, {10, false}, {9.9, true}, {15, true},
	}
	sliced := true
	for i, step := range steps {
		if sliced = Pays(sliced, step.perInstance); sliced != step.want {
			t.Errorf("step %d, %g requests a second: sliced %v, want %v", i, step.perInstance, sliced, step.want)
		}
	}
}
