// One budget covers hedges and retries. Each first request earns a share of
// a token, each extra request costs one, and the store is small, so that a
// quiet hour does not pay for a storm. Refusals for overload close it.

package hedger

import "time"

const (
	budgetStore     = 20.0
	overloadPause   = 200 * time.Millisecond
	percentDivisor  = 100.0
	retryStore      = 50.0
	retryPerRequest = 0.1
)

// Budget bounds the extra requests of one service at one instance.
type Budget struct {
	hedges      float64
	retries     float64
	pausedUntil time.Duration
}

// NewBudget returns a budget with half a store of tokens.
func NewBudget() *Budget {
	return &Budget{hedges: budgetStore / 2, retries: retryStore / 2}
}

// OnRequest earns the share of a token that one first request allows.
func (b *Budget) OnRequest(hedgePercent float64) {
	b.hedges = min(budgetStore, b.hedges+hedgePercent/percentDivisor)
	b.retries = min(retryStore, b.retries+retryPerRequest)
}

// OnOverload pauses hedges after a refusal for overload.
func (b *Budget) OnOverload(now time.Duration) { b.pausedUntil = now + overloadPause }

// TakeHedge spends one token on a request that a leaf will receive twice.
func (b *Budget) TakeHedge(now time.Duration) bool {
	if now < b.pausedUntil || b.hedges < 1 {
		return false
	}
	b.hedges--
	return true
}

// ReturnHedge gives back the token of a hedge that no leaf received.
func (b *Budget) ReturnHedge() { b.hedges = min(budgetStore, b.hedges+1) }

// TakeRetry spends one token on a request that replaces one which no leaf started.
func (b *Budget) TakeRetry() bool {
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}
