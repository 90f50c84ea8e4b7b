package emulator

import (
	"net"
	"sync"
	"time"
)

// countingListener enforces the connection limit of a leaf and the time that a new connection costs.
type countingListener struct {
	net.Listener
	limit    int
	setUp    time.Duration
	onBreach func()
	mu       sync.Mutex
	conns    map[*countedConn]bool
}

type countedConn struct {
	net.Conn
	listener *countingListener
	readyAt  time.Time
	waited   bool
}

func newCountingListener(raw net.Listener, limit int, setUp time.Duration, onBreach func()) *countingListener {
	return &countingListener{Listener: raw, limit: limit, setUp: setUp, onBreach: onBreach, conns: map[*countedConn]bool{}}
}

// Accept returns the next connection within the limit.
func (l *countingListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &countedConn{Conn: raw, listener: l, readyAt: time.Now().Add(l.setUp)}
		l.mu.Lock()
		allowed := len(l.conns) < l.limit
		if allowed {
			l.conns[conn] = true
		}
		l.mu.Unlock()
		if allowed {
			return conn, nil
		}
		l.onBreach()
		_ = raw.Close()
	}
}

func (l *countingListener) closeAll() {
	_ = l.Listener.Close()
	l.mu.Lock()
	conns := l.conns
	l.conns = map[*countedConn]bool{}
	l.mu.Unlock()
	for conn := range conns {
		_ = conn.Conn.Close()
	}
}

// Read waits, the first time, until the connection has been set up.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.waited {
		c.waited = true
		time.Sleep(time.Until(c.readyAt))
	}
	return n, err
}

// Close closes the connection and gives back its place.
func (c *countedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
