package gossiper

import (
	"testing"
	"time"

	"lovagedeck/pkg/spreader"
)

// Whatever a datagram holds, decoding it ends with observations that can be used, or an error.
func FuzzDatagram(f *testing.F) {
	good, err := encode([]spreader.Observation{{Leaf: "i-1", Slowness: 4, FailureRate: 0.5, IsSlow: true, SlowFor: time.Second}}, time.Minute)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{good, {0x92}, {0xdd, 0xff, 0xff, 0xff, 0xff}, {0x91, 0xc6, 0xff, 0xff, 0xff, 0xff}, nil} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		observations, err := decode(data, time.Minute)
		if err != nil {
			return
		}
		for _, observation := range observations {
			if observation.SeenAt > time.Minute {
				t.Errorf("seen at %v, after it was read", observation.SeenAt)
			}
			if observation.Slowness != observation.Slowness || observation.FailureRate != observation.FailureRate {
				t.Errorf("no number: %+v", observation)
			}
		}
	})
}
