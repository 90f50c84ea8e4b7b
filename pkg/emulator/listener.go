package emulator

import (
	"net"
	"sync"
	"time"
)

// limitedListener enforces the connection limit of a leaf and delays the first read of each connection by the connect time.
type limitedListener struct {
	net.Listener
	limit       int
	connectTime time.Duration
	onViolation func()
	mu          sync.Mutex
	conns       map[*limitedConn]bool
}

type limitedConn struct {
	net.Conn
	listener  *limitedListener
	readyAt   time.Time
	hasWaited bool
}

func newLimitedListener(raw net.Listener, limit int, connectTime time.Duration, onViolation func()) *limitedListener {
	return &limitedListener{Listener: raw, limit: limit, connectTime: connectTime, onViolation: onViolation, conns: map[*limitedConn]bool{}}
}

// Accept returns the next connection within the limit; connections beyond it are reported to onViolation and closed.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &limitedConn{Conn: raw, listener: l, readyAt: time.Now().Add(l.connectTime)}
		l.mu.Lock()
		isAllowed := len(l.conns) < l.limit
		if isAllowed {
			l.conns[conn] = true
		}
		l.mu.Unlock()
		if isAllowed {
			return conn, nil
		}
		l.onViolation()
		_ = raw.Close()
	}
}

func (l *limitedListener) closeAll() {
	_ = l.Listener.Close()
	l.mu.Lock()
	conns := l.conns
	l.conns = map[*limitedConn]bool{}
	l.mu.Unlock()
	for conn := range conns {
		_ = conn.Conn.Close()
	}
}

// Read returns the first data only after the connect time has passed.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.hasWaited {
		c.hasWaited = true
		time.Sleep(time.Until(c.readyAt))
	}
	return n, err
}

// Close closes the connection and frees its place under the connection limit.
func (c *limitedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
