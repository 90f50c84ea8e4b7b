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
			Leaf: s.Leaf, Slowness: float32(s.Slowness), Faults: float32(s.Faults), Slow: s.Slow,
			SlowMs: uint32(s.SlowFor.Milliseconds()), AgeMs: uint32(max(0, now-s.SeenAt).Milliseconds()),
			Gone: s.Gone,
		})
	}
	var data bytes.Buffer
	encoder := msgpack.NewEncoder(&data)
	encoder.UseArrayEncodedStructs(true)
	err := encoder.Encode(list)
	return data.Bytes(), errors.Wrap(err, "gossip: encode observations")
}

func decode(data []byte, now time.Duration) ([]spreader.Observation, error) {
	var list []wireObservation
	if err := msgpack.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrap(err, "gossip: decode observations")
	}
	observations := make([]spreader.Observation, 0, len(list))
	for _, w := range list {
		observations = append(observations, spreader.Observation{
			Leaf: w.Leaf, Slowness: float64(w.Slowness), Faults: float64(w.Faults), Slow: w.Slow,
			SlowFor: time.Duration(w.SlowMs) * time.Millisecond, SeenAt: now - time.Duration(w.AgeMs)*time.Millisecond,
			Gone: w.Gone,
		})
	}
	return observations, nil
}
