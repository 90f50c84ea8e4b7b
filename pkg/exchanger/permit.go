// While an upstream limits its request rate, each request needs a permit before
// it gets a connection. A permit expires after permitValidity, so that requests
// that were held up here do not all reach the upstream later.

package exchanger

import (
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/retrier"
)

// permitValidity is the time from the permit to the sending of the request.
const permitValidity = 300 * time.Millisecond

// ErrNotPermitted is returned if the rate limit of the upstream left no room for the request. Nothing was sent.
var ErrNotPermitted = errors.New("the rate limit of the upstream is used up")

type (
	// Gate hands out permits for the requests to one upstream.
	Gate interface {
		// Acquire requests a permit that becomes valid within maxWait, and calls done once, from another goroutine.
		Acquire(maxWait time.Duration, done func(isPermitted bool))
		// Return gives back a permit that was not used.
		Return()
		// OnStatement is called with what a response states about the upstream, also if its request was abandoned. It is not called
		// for responses that state nothing while the upstream is not known to have stated anything that this could end.
		OnStatement(statement Statement)
	}

	// openGate permits every request.
	openGate struct{}
)

func (openGate) Acquire(_ time.Duration, done func(bool)) { go done(true) }

func (openGate) Return() {}

func (openGate) OnStatement(Statement) {}

// SetGate sets the gate of the upstream. It must be called before the first request.
func (p *Pool) SetGate(gate Gate) { p.gate = gate }

// AcquirePermit requests a permit for StartPermitted, and calls done once, from another goroutine.
func (p *Pool) AcquirePermit(maxWait time.Duration, done func(isPermitted bool)) {
	p.gate.Acquire(maxWait, done)
}

// ReturnPermit gives back a permit of AcquirePermit that was not used.
func (p *Pool) ReturnPermit() { p.gate.Return() }

// SetRateLimited sets whether requests need a permit. Those that wait for a connection request one when this begins.
func (p *Pool) SetRateLimited(isLimited bool) {
	p.mu.Lock()
	hasStarted := isLimited && !p.isRateLimited
	p.isRateLimited = isLimited
	var waiting []*Exchange
	if hasStarted {
		waiting, p.waiting = p.waiting, nil
	}
	p.mu.Unlock()
	for _, exchange := range waiting {
		go p.acquire(exchange)
	}
}

// acquire requests a permit for an exchange, and starts or fails it.
func (p *Pool) acquire(exchange *Exchange) {
	p.gate.Acquire(exchange.request.MaxPermitWait, func(isPermitted bool) {
		if !isPermitted {
			exchange.finish(Result{Err: ErrNotPermitted, Progress: retrier.NotSent})
			return
		}
		p.mu.Lock()
		exchange.permittedAt = time.Now()
		p.mu.Unlock()
		p.enqueue(exchange)
	})
}

// needsPermit reports whether an exchange must request a permit before it gets a connection; p.mu must be held.
func (p *Pool) needsPermit(exchange *Exchange) bool {
	return p.isRateLimited && time.Since(exchange.permittedAt) > permitValidity
}

// takeWaiting removes and returns the exchange that has waited longest. Those whose permit has expired request another one;
// p.mu must be held.
func (p *Pool) takeWaiting() *Exchange {
	for len(p.waiting) > 0 {
		exchange := p.waiting[0]
		p.waiting = p.waiting[1:]
		if !p.needsPermit(exchange) {
			return exchange
		}
		go p.acquire(exchange)
	}
	return nil
}
