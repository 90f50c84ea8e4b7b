// The HTTP server takes its time limits when it starts. Those of callers are
// settings of the routing document, which changes while the server runs, so
// that the connections of callers apply them.

package gatekeeper

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"lovagedeck/pkg/router"
)

// headerTimeMargin is added to the time that a caller has for a request head, for the way of its first and last bytes.
const headerTimeMargin = time.Second

type (
	// trackedListener accepts connections of callers. The limits are those in force.
	trackedListener struct {
		net.Listener
		limits func() router.Limits
	}

	// trackedConn is a connection of a caller.
	trackedConn struct {
		net.Conn
		limits func() router.Limits
		// isActive is set while a request is in progress, isIdle between two requests.
		isActive, isIdle atomic.Bool
		// isReceiving is set while a part of a request head has been read.
		isReceiving atomic.Bool
	}
)

// Accept waits for the next connection.
func (l trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn, limits: l.limits}, nil
}

// Read reads from the connection.
func (c *trackedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 && !c.isReceiving.Swap(true) {
		c.onFirstBytes()
	}
	return n, err
}

// onFirstBytes limits the time for the rest of the first request head. For later ones the HTTP server sets a deadline then.
func (c *trackedConn) onFirstBytes() {
	if limit := c.headLimit(); limit > 0 && !c.isActive.Load() && !c.isIdle.Load() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(limit))
	}
}

// SetReadDeadline sets the read deadline. Between requests, the HTTP server calls it with its own time limits, which cannot change while it
// runs. Those of the routing document in force take their place.
func (c *trackedConn) SetReadDeadline(deadline time.Time) error {
	if deadline.After(time.Now()) && !c.isActive.Load() {
		if limit := c.readLimit(); limit > 0 {
			deadline = time.Now().Add(limit)
		}
	}
	return c.Conn.SetReadDeadline(deadline)
}

// readLimit returns how long the caller may take until its next bytes or, while they arrive, until its whole request head has been read.
// It returns 0 if the routing document has no limit, and on a new connection until the first bytes arrive.
func (c *trackedConn) readLimit() time.Duration {
	switch {
	case c.isReceiving.Load():
		return c.headLimit()
	case c.isIdle.Load():
		return c.limits().IdleTimeout
	}
	return 0
}

func (c *trackedConn) headLimit() time.Duration {
	if limit := c.limits().HeaderTimeout; limit > 0 {
		return limit + headerTimeMargin
	}
	return 0
}

// NetConn returns the connection below.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the sending direction, which lets the HTTP server close a connection without losing its last response.
func (c *trackedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// onState records a state change of the connection.
func (c *trackedConn) onState(state http.ConnState) {
	if state == http.StateNew {
		return
	}
	c.isReceiving.Store(false)
	c.isActive.Store(state == http.StateActive)
	c.isIdle.Store(state == http.StateIdle)
}
