// A datagram holds observations, each as a list, and a proof that the sender holds
// the key of the cluster:
//
//	[["i-7f3a91c2",4.2,0,true,700,15,false], ...]   leaf, slowness, faults, slow, slow for ms, age ms, gone

package gossiper

import (
	"bytes"
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
	}
)

func encode(observations []spreader.Observation, now time.Duration) ([]byte, error) {
	list := make([]wireObservation, 0, len(observations))
	for _, s := range observations {
		list = append(list, wireObservation{
			Leaf: s.Leaf, Slowness: float32(s.Slowness), Faults: float32(s.FailureRate), Slow: s.IsSlow,
			SlowMs: uint32(s.SlowFor.Milliseconds()), AgeMs: uint32(max(0, now-s.SeenAt).Milliseconds()),
			Gone: s.IsGone,
		})
	}
	var data bytes.Buffer
	encoder := msgpack.NewEncoder(&data)
	encoder.UseArrayEncodedStructs(true)
	err := encoder.Encode(list)
	return data.Bytes(), errors.Wrap(err, "gossip: encode observations")
}

// decode reads the observations one by one: the length of a list is the sender's word, for which nothing is allocated.
func decode(data []byte, now time.Duration) ([]spreader.Observation, error) {
	decoder := msgpack.NewDecoder(bytes.NewReader(data))
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return nil, errors.Wrap(err, "gossip: decode observations")
	}
	if count > maxObservations {
		return nil, errors.Errorf("gossip: decode observations: %d in one datagram, more than %d", count, maxObservations)
	}
	observations := make([]spreader.Observation, 0, max(0, count))
	for range count {
		var w wireObservation
		if err := decoder.Decode(&w); err != nil {
			return nil, errors.Wrap(err, "gossip: decode an observation")
		}
		observation := spreader.Observation{
			Leaf: w.Leaf, Slowness: float64(w.Slowness), FailureRate: float64(w.Faults), IsSlow: w.Slow,
			SlowFor: time.Duration(w.SlowMs) * time.Millisecond, SeenAt: now - time.Duration(w.AgeMs)*time.Millisecond,
			IsGone: w.Gone,
		}
		if !(observation.Slowness >= 0) || !(observation.FailureRate >= 0 && observation.FailureRate <= 1) {
			return nil, errors.Errorf("gossip: decode observations: slowness %g and faults %g", observation.Slowness, observation.FailureRate)
		}
		observations = append(observations, observation)
	}
	return observations, nil
}
