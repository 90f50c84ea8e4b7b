// A pool holds the connections of this instance to one upstream. A request uses
// an idle connection if there is one. Otherwise it waits for the first that
// becomes free, and the pool opens a new one if its limit allows.

package exchanger

import (
	"net"
	"sync"
	"time"

	"lovagedeck/pkg/retrier"
)

const (
	// abandonGrace is how long an abandoned exchange may go on before its connection is closed.
	abandonGrace = time.Second
	// maxRequeues is how often a request may be requeued because its connection was not accepted.
	maxRequeues = 3
)

type (
	// Config has the settings that the pools of one instance share.
	Config struct {
		Headers *Headers
		Dial    func(address string, timeout time.Duration) (net.Conn, error)
		// MaxResponseBytes is the longest response body, in bytes.
		MaxResponseBytes int
		// Quota limits the memory for all response bodies. If nil, there is no limit.
		Quota *Quota
		// OnConnect, unless nil, is called after each attempt to open a connection, with its duration and error.
		OnConnect func(address string, took time.Duration, err error)
	}

	// Pool holds the connections to one upstream.
	Pool struct {
		config   *Config
		address  string
		instance string
		mu       sync.Mutex
		limit    int
		// minOpen connections stay open while idle. The others close after surplusIdleTimeout.
		minOpen            int
		surplusIdleTimeout time.Duration
		// reducedLimit applies instead of limit until reducedLimitUntil, after the upstream did not accept a connection.
		reducedLimit      int
		reducedLimitUntil time.Time
		idle              []*conn
		open              map[*conn]bool
		dialing           int
		waiting           []*Exchange
		closed            bool
		// isSuspended is set while no request may be sent.
		isSuspended bool
		gate        Gate
		// isRateLimited is set while requests need a permit of gate.
		isRateLimited bool
		// restUntil is until when no request may be sent because the upstream has asked for rest.
		restUntil time.Time
		// isLeaving is set once the upstream has stated that it is about to stop.
		isLeaving bool
	}

	// Exchange is a request to one upstream in progress.
	Exchange struct {
		pool      *Pool
		request   *Request
		onDone    func(Result)
		queuedAt  time.Time
		sentAt    time.Time
		conn      *conn
		hasEnded  bool
		isWriting bool
		// requeues counts how often the request was requeued because its connection was not accepted.
		requeues int
		// progress is what is known of the request on its current connection, and of the whole exchange once it has ended.
		progress retrier.Progress
		// mayHaveRunBefore is set if the upstream may have run the request on an earlier connection.
		mayHaveRunBefore bool
		// permittedAt is when the exchange got its permit, or zero.
		permittedAt time.Time
	}
)

// New returns a pool without connections that opens at most limit connections.
func New(config *Config, address, instance string, limit int) *Pool {
	return &Pool{config: config, address: address, instance: instance, limit: max(1, limit), minOpen: max(1, limit), open: map[*conn]bool{}, gate: openGate{}}
}

// Address returns the address of the upstream.
func (p *Pool) Address() string { return p.address }

// SetLimit sets how many connections may be open, how many of them stay open while idle, and after how long the others
// close. Connections beyond the limit close as soon as they become idle.
func (p *Pool) SetLimit(limit, minOpen int, surplusIdleTimeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.minOpen, p.surplusIdleTimeout = max(1, limit), minOpen, surplusIdleTimeout
}

// maxBodyBytes returns the longest body allowed for the response, in bytes.
func (p *Pool) maxBodyBytes(request *Request) int {
	if request.MaxResponseBytes > 0 {
		return min(request.MaxResponseBytes, p.config.MaxResponseBytes)
	}
	return p.config.MaxResponseBytes
}

// quotaFor returns the quota that the response body is reserved from.
func (p *Pool) quotaFor(request *Request) *Quota {
	if request.Quota != nil {
		return request.Quota
	}
	return p.config.Quota
}

// Load returns the number of requests in progress and the number of those waiting for a connection.
func (p *Pool) Load() (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open) - len(p.idle), len(p.waiting)
}

// Start sends a request and calls onDone once, from another goroutine, unless the exchange is abandoned first. While the
// upstream limits its request rate, the request first needs a permit.
func (p *Pool) Start(request *Request, onDone func(Result)) *Exchange {
	exchange := &Exchange{pool: p, request: request, onDone: onDone, queuedAt: time.Now(), progress: retrier.NotSent}
	p.enqueue(exchange)
	return exchange
}

// StartPermitted is like Start for a request that has a permit.
func (p *Pool) StartPermitted(request *Request, onDone func(Result)) *Exchange {
	now := time.Now()
	exchange := &Exchange{pool: p, request: request, onDone: onDone, queuedAt: now, permittedAt: now, progress: retrier.NotSent}
	p.enqueue(exchange)
	return exchange
}

// enqueue sends a request on an idle connection or makes it wait for one, after it has got a permit if it needs one.
func (p *Pool) enqueue(exchange *Exchange) {
	p.mu.Lock()
	if exchange.hasEnded {
		p.mu.Unlock()
		p.gate.Return()
		return
	}
	if err := p.sendError(); err != nil {
		p.mu.Unlock()
		go exchange.finish(Result{Err: err, Progress: retrier.NotSent})
		return
	}
	if p.needsPermit(exchange) {
		p.mu.Unlock()
		go p.acquire(exchange)
		return
	}
	if c := p.takeIdle(exchange.request.IsNonIdempotent); c != nil {
		p.assign(c, exchange)
		p.mu.Unlock()
		c.startWrite(exchange)
		return
	}
	p.waiting = append(p.waiting, exchange)
	p.dialIfNeeded()
	p.mu.Unlock()
}

// sendError returns why no request may be sent, or nil; p.mu must be held.
func (p *Pool) sendError() error {
	switch {
	case p.closed || p.isSuspended:
		return ErrPoolClosed
	case time.Now().Before(p.restUntil):
		return ErrResting
	}
	return nil
}

// FailWaiting fails the requests that wait for a connection. They were not sent, so that the caller can send them to another
// upstream.
func (p *Pool) FailWaiting() { p.failWaiting(ErrPoolClosed) }

func (p *Pool) failWaiting(cause error) {
	p.mu.Lock()
	waiting := p.waiting
	p.waiting = nil
	p.mu.Unlock()
	for _, exchange := range waiting {
		exchange.finish(Result{Err: cause, Progress: retrier.NotSent})
	}
}

// Rest lets the pool send no requests for the given time, and fails those that wait for a connection. It never shortens a rest.
func (p *Pool) Rest(duration time.Duration) {
	until := time.Now().Add(duration)
	p.mu.Lock()
	if until.After(p.restUntil) {
		p.restUntil = until
	}
	p.mu.Unlock()
	go p.failWaiting(ErrResting)
}

// EndRest lets the pool send requests again. The upstream that asked for rest has started again since.
func (p *Pool) EndRest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.restUntil = time.Time{}
}

// SetSuspended sets whether the upstream must get no new requests. Those that wait for a connection or a permit then fail.
func (p *Pool) SetSuspended(isSuspended bool) {
	p.mu.Lock()
	hasStarted := isSuspended && !p.isSuspended
	p.isSuspended = isSuspended
	p.mu.Unlock()
	if hasStarted {
		go p.FailWaiting()
	}
}

// Close closes idle connections at once and the others when their exchange ends. It fails the requests that wait for a
// connection.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
	p.FailWaiting()
}

// Abandon gives up the exchange, so that its result is not reported, and returns what is known of it from then on. What is not sent yet
// never will be. If closeNow is set, the connection is closed at once and the upstream can cancel the request. Otherwise the exchange
// has a grace period to end and keep the connection.
func (e *Exchange) Abandon(closeNow bool) retrier.Progress {
	p := e.pool
	p.mu.Lock()
	if e.hasEnded {
		defer p.mu.Unlock()
		return e.progress
	}
	e.end(e.progress)
	progress, c := e.progress, e.conn
	p.removeWaiting(e)
	p.mu.Unlock()
	switch {
	case c == nil:
	case closeNow:
		c.resetIfCarrying(e)
	default:
		time.AfterFunc(abandonGrace, func() { c.resetIfCarrying(e) })
	}
	return progress
}

// Withdraw gives up the exchange if it has not ended and nothing of the request has been sent, and reports whether it did.
func (e *Exchange) Withdraw() bool {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	if e.hasEnded || e.mayHaveRunBefore || e.progress != retrier.NotSent {
		return false
	}
	e.end(retrier.NotSent)
	e.pool.removeWaiting(e)
	return true
}

// Progress returns what is known of the request. Unless the exchange has ended, a request that is not sent may be sent at any moment.
func (e *Exchange) Progress() retrier.Progress {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	return e.progress
}

// end marks the exchange as ended, with what is known of its last connection; pool.mu must be held.
func (e *Exchange) end(progress retrier.Progress) {
	e.hasEnded = true
	if e.progress = progress; e.mayHaveRunBefore && !progress.MayHaveRun() {
		e.progress = retrier.Unknown
	}
}

// finish reports the result unless the exchange has already ended.
func (e *Exchange) finish(result Result) {
	e.pool.mu.Lock()
	wasEnded := e.hasEnded
	if !wasEnded {
		e.end(result.Progress)
		result.Progress = e.progress
	}
	e.pool.mu.Unlock()
	if wasEnded {
		result.Release()
		return
	}
	if !e.sentAt.IsZero() {
		result.QueueTime = e.sentAt.Sub(e.queuedAt)
		result.ResponseTime = time.Since(e.sentAt)
	}
	e.onDone(result)
}

func (p *Pool) assign(c *conn, exchange *Exchange) {
	c.exchange = exchange
	exchange.conn = c
	exchange.sentAt = time.Now()
	exchange.progress = retrier.Sent
	// A small request is written completely before its response can arrive.
	exchange.isWriting = len(exchange.request.Body) > maxInlineBodyBytes
}

func (p *Pool) removeWaiting(exchange *Exchange) {
	for i, other := range p.waiting {
		if other == exchange {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
}

// requeue makes a request wait for another connection and reports whether it did. It is called if no byte of the request
// was written, or if the upstream probably refused the connection at its connection limit and the request is idempotent. The
// progress is what is known of the request on the last connection.
func (p *Pool) requeue(exchange *Exchange, progress retrier.Progress) bool {
	p.mu.Lock()
	if exchange.hasEnded || exchange.requeues >= maxRequeues || p.sendError() != nil {
		p.mu.Unlock()
		return false
	}
	exchange.requeues++
	exchange.conn = nil
	exchange.progress = progress
	exchange.mayHaveRunBefore = exchange.mayHaveRunBefore || progress.MayHaveRun()
	if p.isRateLimited {
		// The upstream may have counted the request.
		p.mu.Unlock()
		go p.acquire(exchange)
		return true
	}
	if c := p.takeIdle(exchange.request.IsNonIdempotent); c != nil {
		p.assign(c, exchange)
		p.mu.Unlock()
		c.startWrite(exchange)
		return true
	}
	p.waiting = append([]*Exchange{exchange}, p.waiting...)
	p.dialIfNeeded()
	p.mu.Unlock()
	return true
}
