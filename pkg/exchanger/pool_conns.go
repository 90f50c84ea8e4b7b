package exchanger

import (
	"time"

	"lovagedeck/pkg/listener"
	"lovagedeck/pkg/retrier"
)

const (
	// dialTimeout bounds the opening of a connection. Upstreams take 1 to 6 ms, and a lost SYN is sent again only after 1 s.
	dialTimeout = 500 * time.Millisecond
	// reducedLimitPeriod is how long a pool opens no more connections after the upstream did not accept one.
	reducedLimitPeriod = 2 * time.Second
	// maxIdleNonIdempotent is how long a connection may have been idle and still carry a request that is not idempotent.
	maxIdleNonIdempotent = 2 * time.Second
)

// Preconnect starts to open a connection if fewer than count are open, and reports whether it did.
func (p *Pool) Preconnect(count int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.open)+p.dialing >= min(count, p.currentLimit()) {
		return false
	}
	p.dial()
	return true
}

// takeIdle removes and returns the connection that became idle last, closing those whose idle time is too long.
func (p *Pool) takeIdle(isNonIdempotent bool) *conn {
	now := time.Now()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.After(c.idleUntil) || isNonIdempotent && now.Sub(c.idleSince) > maxIdleNonIdempotent {
			go c.close()
			continue
		}
		return c
	}
	return nil
}

// dialIfNeeded opens one connection at a time, because opening one occupies a slot of the upstream for a moment and a
// waiting request also takes the first connection that becomes free.
func (p *Pool) dialIfNeeded() {
	if p.dialing == 0 && len(p.waiting) > 0 && len(p.open) < p.currentLimit() {
		p.dial()
	}
}

// currentLimit returns the limit in force now.
func (p *Pool) currentLimit() int {
	if p.reducedLimit > 0 && time.Now().Before(p.reducedLimitUntil) {
		return min(p.limit, p.reducedLimit)
	}
	return p.limit
}

func (p *Pool) dial() {
	p.dialing++
	go func() {
		start := time.Now()
		raw, err := p.config.Dial(p.address, dialTimeout)
		if p.config.OnConnect != nil {
			p.config.OnConnect(p.address, time.Since(start), err)
		}
		if err != nil {
			p.onDialError(err)
			return
		}
		p.onDialed(newConn(p, raw))
	}()
}

// onDialError fails the waiting requests if no other connection is open or being opened.
func (p *Pool) onDialError(cause error) {
	p.mu.Lock()
	p.dialing--
	var failed []*Exchange
	if p.dialing == 0 && len(p.open) == 0 {
		failed, p.waiting = p.waiting, nil
	}
	p.mu.Unlock()
	err := ErrUnreachable
	if listener.IsShortage(cause) {
		err = ErrNoSocket
	}
	for _, exchange := range failed {
		exchange.finish(Result{Err: err, Progress: retrier.NotSent})
	}
}

func (p *Pool) onDialed(c *conn) {
	p.mu.Lock()
	p.dialing--
	if p.closed {
		p.mu.Unlock()
		c.close()
		return
	}
	p.open[c] = true
	p.mu.Unlock()
	go c.readLoop()
	p.release(c)
	p.mu.Lock()
	p.dialIfNeeded()
	p.mu.Unlock()
}

// release gives a free connection to the request that has waited longest, or makes it idle.
func (p *Pool) release(c *conn) {
	p.mu.Lock()
	if !p.open[c] {
		p.mu.Unlock()
		return
	}
	if p.closed || len(p.open) > p.limit {
		p.mu.Unlock()
		c.close()
		return
	}
	exchange := p.takeWaiting()
	if exchange == nil {
		c.idleSince = time.Now()
		c.idleUntil = c.idleSince.Add(c.keepAlive)
		p.idle = append(p.idle, c)
		if len(p.open) > p.minOpen {
			idleSince := c.idleSince
			time.AfterFunc(p.surplusIdleTimeout, func() { c.closeIfSurplus(idleSince) })
		}
		p.mu.Unlock()
		return
	}
	p.assign(c, exchange)
	p.mu.Unlock()
	c.startWrite(exchange)
}

// remove takes a connection out of the pool. Its readLoop ends once it is closed.
func (p *Pool) remove(c *conn) {
	delete(p.open, c)
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// onConnClosed removes a closed connection and returns the exchange that it carried, if any.
func (p *Pool) onConnClosed(c *conn) *Exchange {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open[c] {
		return nil
	}
	p.remove(c)
	exchange := c.exchange
	c.exchange = nil
	if !c.hasReceived {
		p.reducedLimit, p.reducedLimitUntil = max(1, len(p.open)), time.Now().Add(reducedLimitPeriod)
	}
	if !p.closed {
		p.dialIfNeeded()
	}
	return exchange
}
