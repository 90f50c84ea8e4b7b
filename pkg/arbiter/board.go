package arbiter

import (
	"slices"
	"time"
)

// boardRetention is the age at which a share is forgotten. It has recovered by then.
const boardRetention = time.Duration(float64(time.Second) / recoveryPerSecond)

type (
	// Board holds the shares that the gatherers of a data centre have measured, at an instance that admits queries. It is not safe for
	// concurrent use.
	Board struct {
		shares map[string]measuredShare
	}

	measuredShare struct {
		share  float64
		seenAt time.Duration
	}
)

// NewBoard returns a board that knows no shares.
func NewBoard() *Board { return &Board{shares: map[string]measuredShare{}} }

// Apply records the share that an instance measured, unless a newer one is known. Shares that are no numbers from 0 to 1 are ignored.
func (b *Board) Apply(instance string, share float64, seenAt, now time.Duration) {
	if !(share >= 0 && share <= 1) || now-seenAt >= boardRetention {
		return
	}
	if known, ok := b.shares[instance]; ok && known.seenAt >= seenAt {
		return
	}
	b.shares[instance] = measuredShare{share: share, seenAt: seenAt}
}

// Share returns the share of the queries that the gatherers named have room for together. A query may lack the shards of the dispensable
// part of them.
func (b *Board) Share(gatherers []string, dispensable float64, now time.Duration) float64 {
	if len(b.shares) == 0 || len(gatherers) == 0 {
		return 1
	}
	shares := make([]float64, 0, len(gatherers))
	for _, instance := range gatherers {
		shares = append(shares, b.shareOf(instance, now))
	}
	slices.Sort(shares)
	return shares[min(len(shares)-1, int(dispensable*float64(len(shares))))]
}

// shareOf returns the last share of an instance as it may have recovered since.
func (b *Board) shareOf(instance string, now time.Duration) float64 {
	known, ok := b.shares[instance]
	if !ok {
		return 1
	}
	age := max(0, now-known.seenAt)
	if age >= boardRetention {
		delete(b.shares, instance)
		return 1
	}
	return min(1, known.share+recoveryPerSecond*age.Seconds())
}
