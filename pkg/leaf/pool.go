// The pool keeps connections to one leaf open ahead of need and never holds
// more than the row allows. A connection belongs to one exchange at a time
// and is closed after any error, so a late response cannot reach another
// exchange.

package leaf

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const dialTimeout = 500 * time.Millisecond

var errNoConnection = errors.New("all connections are in use")

type (
	// Dial opens a connection to an address.
	Dial func(address string, timeout time.Duration) (net.Conn, error)

	connection struct {
		conn   net.Conn
		reader *bufio.Reader
		writer *bufio.Writer
	}

	pool struct {
		address string
		dial    Dial

		mu     sync.Mutex
		limit  int
		open   int
		idle   []*connection
		closed bool
	}
)

func newPool(address string, limit int, dial Dial) *pool {
	return &pool{address: address, limit: limit, dial: dial}
}

// get returns an idle connection or opens one; the second result tells whether it was opened now.
func (p *pool) get() (*connection, bool, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, false, errors.New("the pool is closed")
	}
	if last := len(p.idle) - 1; last >= 0 {
		c := p.idle[last]
		p.idle = p.idle[:last]
		p.mu.Unlock()
		return c, false, nil
	}
	if p.open >= p.limit {
		p.mu.Unlock()
		return nil, false, errNoConnection
	}
	p.open++
	p.mu.Unlock()
	c, err := p.connect()
	return c, true, err
}

func (p *pool) connect() (*connection, error) {
	conn, err := p.dial(p.address, dialTimeout)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return &connection{conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn)}, nil
}

func (p *pool) put(c *connection) {
	p.mu.Lock()
	if p.closed || p.open > p.limit {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

func (p *pool) discard(c *connection) {
	_ = c.conn.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// dropIdle closes the idle connections, which the leaf has most likely cut as well.
func (p *pool) dropIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// prepare opens connections until count of them are open, within the limit.
func (p *pool) prepare(count int) error {
	for {
		p.mu.Lock()
		if p.closed || p.open >= min(count, p.limit) {
			p.mu.Unlock()
			return nil
		}
		p.open++
		p.mu.Unlock()
		c, err := p.connect()
		if err != nil {
			return err
		}
		p.put(c)
	}
}

func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	p.limit = limit
	var surplus []*connection
	for p.open-len(surplus) > limit && len(p.idle) > 0 {
		last := len(p.idle) - 1
		surplus = append(surplus, p.idle[last])
		p.idle = p.idle[:last]
	}
	p.mu.Unlock()
	for _, c := range surplus {
		p.discard(c)
	}
}

func (p *pool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.dropIdle()
}
