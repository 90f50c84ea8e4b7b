// A datagram holds observations, each encoded as a MessagePack array, and a
// message authentication code computed with the secret of the cluster:
//
//	[["i-7f3a91c2",4.2,0,true,700,15,false,false,0], ...]   leaf, slowness, failure rate, is slow, slow for ms, age ms, is gone,
//	                                                      is rate-limited, requests per second

package gossiper

import (
	"bytes"
	"math"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lovagedeck/pkg/spreader"
)

type (
	wireObservation struct {
		Leaf     string
		Slowness float32
		Faults   float32
		Slow     bool
		SlowMs   uint32
		AgeMs    uint32
		Gone     bool
		Limited  bool
		Rate     float64
	}
)

func encode(observations []spreader.Observation, now time.Duration) ([]byte, error) {
	list := make([]wireObservation, 0, len(observations))
	for _, observation := range observations {
		list = append(list, wireObservation{
			Leaf: observation.Leaf, Slowness: float32(observation.Slowness), Faults: float32(observation.FailureRate), Slow: observation.IsSlow,
			SlowMs: uint32(observation.SlowFor.Milliseconds()), AgeMs: uint32(max(0, now-observation.SeenAt).Milliseconds()),
			Gone: observation.IsGone, Limited: observation.IsRateLimited, Rate: observation.RatePerSecond,
		})
	}
	var data bytes.Buffer
	encoder := msgpack.NewEncoder(&data)
	encoder.UseArrayEncodedStructs(true)
	err := encoder.Encode(list)
	return data.Bytes(), errors.Wrap(err, "gossip: encode observations")
}

// decode returns the observations of a datagram, or an error if it is malformed or holds more than maxObservations. It decodes
// them one by one, so that a false array length causes no large allocation.
func decode(data []byte, now time.Duration) ([]spreader.Observation, error) {
	decoder := msgpack.NewDecoder(bytes.NewReader(data))
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return nil, errors.Wrap(err, "gossip: decode observations")
	}
	if count > maxObservations {
		return nil, errors.Errorf("gossip: decode observations: got %d in one datagram, want at most %d", count, maxObservations)
	}
	observations := make([]spreader.Observation, 0, max(0, count))
	for range count {
		var w wireObservation
		if err := decoder.Decode(&w); err != nil {
			return nil, errors.Wrap(err, "gossip: decode observation")
		}
		observation := spreader.Observation{
			Leaf: w.Leaf, Slowness: float64(w.Slowness), FailureRate: float64(w.Faults), IsSlow: w.Slow,
			SlowFor: time.Duration(w.SlowMs) * time.Millisecond, SeenAt: now - time.Duration(w.AgeMs)*time.Millisecond,
			IsGone: w.Gone, IsRateLimited: w.Limited, RatePerSecond: w.Rate,
		}
		if !(observation.Slowness >= 0) || !(observation.FailureRate >= 0 && observation.FailureRate <= 1) {
			return nil, errors.Errorf("gossip: decode observations: invalid slowness %g or failure rate %g", observation.Slowness, observation.FailureRate)
		}
		if !(observation.RatePerSecond >= 0) || math.IsInf(observation.RatePerSecond, 1) {
			return nil, errors.Errorf("gossip: decode observations: invalid rate %g", observation.RatePerSecond)
		}
		observations = append(observations, observation)
	}
	return observations, nil
}
