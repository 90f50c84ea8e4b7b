// Pool holds the connections of this instance to one upstream. A request takes
// an idle connection, else a new one while the limit allows it, else it waits.

package exchanger

import (
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection: the set-up costs of today's upstreams are 1 to 6 ms, and a lost opening packet is sent again after a second.
	dialTimeout = 500 * time.Millisecond
	// detachGrace is how long a connection may finish an exchange that nobody waits for before it is closed.
	detachGrace = time.Second
	// maxTakenBack is how many connections that were not accepted a request waits out.
	maxTakenBack = 3
	// ceilingTime is how long a pool opens no further connections after one was not accepted.
	ceilingTime = 2 * time.Second
	// freshIdle is the longest time that a connection was idle before it carries a request that must not run twice.
	freshIdle = 2 * time.Second
)

type (
	// Config is what the pools of one instance share.
	Config struct {
		Headers *Headers
		// Dial opens a connection.
		Dial func(address string, timeout time.Duration) (net.Conn, error)
		// MaxAnswer bounds the body of an answer, in bytes.
		MaxAnswer int
		// Meter bounds the bytes of all answers held at one time; nil does not.
		Meter *Meter
		// OnConnect is told of each connection that was opened, with the time it took, or of the failure; it may be nil.
		OnConnect func(address string, took time.Duration, err error)
	}

	// Pool holds the connections to one upstream.
	Pool struct {
		config   *Config
		address  string
		instance string
		mu       sync.Mutex
		limit    int
		// kept connections stay open while they are idle, the others for spareIdle.
		kept      int
		spareIdle time.Duration
		// ceiling holds the limit down until ceilingUntil, after the upstream did not accept a connection.
		ceiling      int
		ceilingUntil time.Time
		idle         []*conn
		open         map[*conn]bool
		dialing      int
		waiting      []*Ticket
		closed       bool
	}

	// Ticket is an exchange that was started.
	Ticket struct {
		pool    *Pool
		request *Request
		done    func(Result)
		queued  time.Time
		sent    time.Time
		conn    *conn
		ended   bool
		writing bool
		// takenBack counts the connections that were not accepted with the request on them.
		takenBack int
	}
)

// New returns a pool without connections; limit is how many it may open.
func New(config *Config, address, instance string, limit int) *Pool {
	return &Pool{config: config, address: address, instance: instance, limit: max(1, limit), kept: max(1, limit), open: map[*conn]bool{}}
}

// Address returns the address of the upstream.
func (p *Pool) Address() string { return p.address }

// SetLimit changes how many connections the pool may open, how many of them it keeps, and how long the others stay
// idle; connections beyond the limit close as they become idle.
func (p *Pool) SetLimit(limit, kept int, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.kept, p.spareIdle = max(1, limit), kept, idle
}

// limitOf returns the longest body that the request takes.
func (p *Pool) limitOf(request *Request) int {
	if request.MaxAnswer > 0 {
		return min(request.MaxAnswer, p.config.MaxAnswer)
	}
	return p.config.MaxAnswer
}

// meterOf returns what the answer to the request counts for.
func (p *Pool) meterOf(request *Request) *Meter {
	if request.Meter != nil {
		return request.Meter
	}
	return p.config.Meter
}

// Load returns how many requests run and how many wait for a connection.
func (p *Pool) Load() (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open) - len(p.idle), len(p.waiting)
}

// Start begins an exchange; done is called once, from another goroutine, unless the ticket is abandoned first.
func (p *Pool) Start(request *Request, done func(Result)) *Ticket {
	ticket := &Ticket{pool: p, request: request, done: done, queued: time.Now()}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		go ticket.finish(Result{Err: ErrStopped})
		return ticket
	}
	if c := p.takeIdle(request.Once); c != nil {
		p.assign(c, ticket)
		p.mu.Unlock()
		c.write(ticket)
		return ticket
	}
	p.waiting = append(p.waiting, ticket)
	p.dialIfNeeded()
	p.mu.Unlock()
	return ticket
}

// Warm opens a connection ahead of use where fewer than count are open, and tells whether it did.
func (p *Pool) Warm(count int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.open)+p.dialing >= min(count, p.present()) {
		return false
	}
	p.dial()
	return true
}

// Flush fails the requests that wait for a connection, unsent, so that they can go elsewhere.
func (p *Pool) Flush() {
	p.mu.Lock()
	waiting := p.waiting
	p.waiting = nil
	p.mu.Unlock()
	for _, ticket := range waiting {
		ticket.finish(Result{Err: ErrStopped})
	}
}

// Close closes idle connections at once and the others when their exchange ends; what waits fails unsent.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
	p.Flush()
}

// Abandon ends the caller's interest. With cut the connection is closed at once, so that the
// upstream drops the request; else the exchange may end by itself and keep the connection.
func (t *Ticket) Abandon(cut bool) {
	p := t.pool
	p.mu.Lock()
	if t.ended {
		p.mu.Unlock()
		return
	}
	t.ended = true
	c := t.conn
	p.dropWaiting(t)
	p.mu.Unlock()
	if c == nil {
		return
	}
	if cut {
		c.close()
		return
	}
	time.AfterFunc(detachGrace, func() { c.closeIfServing(t) })
}

// Sent tells whether the request may have reached the upstream.
func (t *Ticket) Sent() bool {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return t.conn != nil
}

// finish reports the result unless the ticket has ended.
func (t *Ticket) finish(result Result) {
	t.pool.mu.Lock()
	ended := t.ended
	t.ended = true
	t.pool.mu.Unlock()
	if ended {
		result.Release()
		return
	}
	if !t.sent.IsZero() {
		result.Queued = t.sent.Sub(t.queued)
		result.Travelled = time.Since(t.sent)
	}
	t.done(result)
}

// takeIdle returns the connection that was idle for the shortest time, if it may be used.
func (p *Pool) takeIdle(once bool) *conn {
	now := time.Now()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.After(c.idleUntil) || once && now.Sub(c.idleSince) > freshIdle {
			go c.close()
			continue
		}
		return c
	}
	return nil
}

func (p *Pool) assign(c *conn, ticket *Ticket) {
	c.ticket = ticket
	ticket.conn = c
	ticket.sent = time.Now()
	// A small request is written whole before an answer to it can come.
	ticket.writing = len(ticket.request.Body) > inlineBody
}

func (p *Pool) dropWaiting(ticket *Ticket) {
	for i, other := range p.waiting {
		if other == ticket {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
}

// dialIfNeeded opens one connection at a time: each opening holds a slot of the upstream for a moment, and a
// request that waits takes the first connection that comes free as well.
func (p *Pool) dialIfNeeded() {
	if p.dialing == 0 && len(p.waiting) > 0 && len(p.open) < p.present() {
		p.dial()
	}
}

// present returns the limit at this moment.
func (p *Pool) present() int {
	if p.ceiling > 0 && time.Now().Before(p.ceilingUntil) {
		return min(p.limit, p.ceiling)
	}
	return p.limit
}

// takeBack lets a request wait for another connection where it never reached the upstream, or most probably did not and a
// second execution does no harm: the upstream takes no more connections than it has.
func (p *Pool) takeBack(ticket *Ticket) bool {
	p.mu.Lock()
	if ticket.ended || ticket.takenBack >= maxTakenBack || p.closed {
		p.mu.Unlock()
		return false
	}
	ticket.takenBack++
	ticket.conn = nil
	if c := p.takeIdle(ticket.request.Once); c != nil {
		p.assign(c, ticket)
		p.mu.Unlock()
		c.write(ticket)
		return true
	}
	p.waiting = append([]*Ticket{ticket}, p.waiting...)
	p.dialIfNeeded()
	p.mu.Unlock()
	return true
}

func (p *Pool) dial() {
	p.dialing++
	go func() {
		begun := time.Now()
		raw, err := p.config.Dial(p.address, dialTimeout)
		if p.config.OnConnect != nil {
			p.config.OnConnect(p.address, time.Since(begun), err)
		}
		if err != nil {
			p.dialFailed()
			return
		}
		p.dialed(newConn(p, raw))
	}()
}

// dialFailed fails the requests that have no other connection to wait for.
func (p *Pool) dialFailed() {
	p.mu.Lock()
	p.dialing--
	var failed []*Ticket
	if p.dialing == 0 && len(p.open) == 0 {
		failed, p.waiting = p.waiting, nil
	}
	p.mu.Unlock()
	for _, ticket := range failed {
		ticket.finish(Result{Err: ErrUnreachable})
	}
}

func (p *Pool) dialed(c *conn) {
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

// release hands a free connection to the request that waits longest, or keeps it.
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
	if len(p.waiting) == 0 {
		c.idleSince = time.Now()
		c.idleUntil = c.idleSince.Add(c.keepAlive)
		p.idle = append(p.idle, c)
		if len(p.open) > p.kept {
			since := c.idleSince
			time.AfterFunc(p.spareIdle, func() { c.closeIfSpareSince(since) })
		}
		p.mu.Unlock()
		return
	}
	ticket := p.waiting[0]
	p.waiting = p.waiting[1:]
	p.assign(c, ticket)
	p.mu.Unlock()
	c.write(ticket)
}

// forget takes a connection out of the pool; its reader ends once it is closed.
func (p *Pool) forget(c *conn) {
	delete(p.open, c)
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// lost forgets a closed connection and returns the exchange that it carried.
func (p *Pool) lost(c *conn) *Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open[c] {
		return nil
	}
	p.forget(c)
	ticket := c.ticket
	c.ticket = nil
	if !c.answered {
		p.ceiling, p.ceilingUntil = max(1, len(p.open)), time.Now().Add(ceilingTime)
	}
	if !p.closed {
		p.dialIfNeeded()
	}
	return ticket
}
