// A budget has one token bucket for hedges and one for retries. Each first attempt
// adds a fraction of a token to both, and each hedge or retry takes a whole one.
// The buckets are small, so that tokens saved in a quiet period do not permit a
// burst later. An overload refusal pauses hedges.

package hedger

import "time"

const (
	maxHedgeTokens        = 20.0
	overloadPause         = 200 * time.Millisecond
	percentDivisor        = 100.0
	maxRetryTokens        = 50.0
	retryTokensPerRequest = 0.1
)

// Budget limits the hedges and retries of one instance to one service.
type Budget struct {
	hedgeTokens float64
	retryTokens float64
	pausedUntil time.Duration
}

// NewBudget returns a budget whose token buckets are half full.
func NewBudget() *Budget {
	return &Budget{hedgeTokens: maxHedgeTokens / 2, retryTokens: maxRetryTokens / 2}
}

// OnRequest adds the tokens earned by one first attempt; hedgePercent is the permitted percentage of hedges.
func (b *Budget) OnRequest(hedgePercent float64) {
	b.hedgeTokens = min(maxHedgeTokens, b.hedgeTokens+hedgePercent/percentDivisor)
	b.retryTokens = min(maxRetryTokens, b.retryTokens+retryTokensPerRequest)
}

// OnOverload pauses hedges for overloadPause after a leaf refused a request because of overload.
func (b *Budget) OnOverload(now time.Duration) { b.pausedUntil = now + overloadPause }

// TakeHedge takes a token for a hedge, which sends a request to a second leaf, and reports whether there was one.
func (b *Budget) TakeHedge(now time.Duration) bool {
	if now < b.pausedUntil || b.hedgeTokens < 1 {
		return false
	}
	b.hedgeTokens--
	return true
}

// ReturnHedge returns the token of a hedge that no leaf received.
func (b *Budget) ReturnHedge() { b.hedgeTokens = min(maxHedgeTokens, b.hedgeTokens+1) }

// TakeRetry takes a token for a retry of a request that no leaf started, and reports whether there was one.
func (b *Budget) TakeRetry() bool {
	if b.retryTokens < 1 {
		return false
	}
	b.retryTokens--
	return true
}
