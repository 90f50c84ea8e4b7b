// The pool opens connections to one leaf in advance and never more than the
// configured limit. A connection carries one exchange at a time and is closed
// after any error, so that a late response cannot be taken for the response to
// another request.

package leaf

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/verifier"
)

const dialTimeout = 500 * time.Millisecond

var errPoolExhausted = errors.New("connection limit reached")

type (
	// Dial opens a connection to address within timeout.
	Dial func(address string, timeout time.Duration) (net.Conn, error)

	connection struct {
		raw    net.Conn
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

// get returns an idle connection or opens one. The second result reports whether the connection is new.
func (p *pool) get() (*connection, bool, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, false, errors.New("connection pool is closed")
	}
	if lastIndex := len(p.idle) - 1; lastIndex >= 0 {
		c := p.idle[lastIndex]
		p.idle = p.idle[:lastIndex]
		p.mu.Unlock()
		return c, false, nil
	}
	if p.open >= p.limit {
		p.mu.Unlock()
		return nil, false, errPoolExhausted
	}
	p.open++
	p.mu.Unlock()
	c, err := p.connect()
	return c, true, err
}

func (p *pool) connect() (*connection, error) {
	raw, err := p.dial(p.address, dialTimeout)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	conn := verifier.NewConn(raw)
	return &connection{raw: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn)}, nil
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
	_ = c.raw.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// closeIdle closes the idle connections. After an error on one connection the leaf has most likely closed the others too.
func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// preconnect opens connections until count are open or the limit is reached.
func (p *pool) preconnect(count int) error {
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
		lastIndex := len(p.idle) - 1
		surplus = append(surplus, p.idle[lastIndex])
		p.idle = p.idle[:lastIndex]
	}
	p.mu.Unlock()
	for _, c := range surplus {
		p.discard(c)
	}
}

func (p *pool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
}
