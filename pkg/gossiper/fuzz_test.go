package gossiper

import (
	"testing"
	"time"

	"lovagedeck/pkg/spreader"
)

// FuzzDatagram checks that decode returns an error or valid observations for any input.
func FuzzDatagram(f *testing.F) {
	valid, err := encode([]spreader.Observation{{Leaf: "i-1", Slowness: 4, FailureRate: 0.5, IsSlow: true, SlowFor: time.Second}}, time.Minute)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{valid, {0x92}, {0xdd, 0xff, 0xff, 0xff, 0xff}, {0x91, 0xc6, 0xff, 0xff, 0xff, 0xff}, nil} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		observations, err := decode(data, time.Minute)
		if err != nil {
			return
		}
		for _, observation := range observations {
			if observation.SeenAt > time.Minute {
				t.Errorf("got an observation from %v, want at most the time of receipt, 1m0s", observation.SeenAt)
			}
			if observation.Slowness != observation.Slowness || observation.FailureRate != observation.FailureRate {
				t.Errorf("got NaN in %+v, want numbers", observation)
			}
		}
	})
}
