// A planned stop goes on accepting until no connection has a request under way
// or may be about to send its first one: closing the listener, or the HTTP
// library's own shutdown, would cut off what was just accepted.

package gatekeeper

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// quietLook is how often the connections are looked at; two looks without a busy one end the service.
	quietLook = 20 * time.Millisecond
	// firstRequestTime is how long a new connection may take to send its first request: callers give up on one after a second.
	firstRequestTime = time.Second
)

// connections follows the states of callers' connections.
type connections struct {
	mu sync.Mutex
	// busy has the time since which a connection has had a request under way, or was new.
	busy map[net.Conn]busyState
}

type busyState struct {
	since time.Time
	isNew bool
}

func newConnections() *connections { return &connections{busy: map[net.Conn]busyState{}} }

// onState takes the state of a connection from the HTTP library.
func (c *connections) onState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		c.busy[conn] = busyState{since: time.Now(), isNew: state == http.StateNew}
	case http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(c.busy, conn)
	}
}

// count returns how many connections have a request under way, or may be about to send their first one.
func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, state := range c.busy {
		if !state.isNew || time.Since(state.since) < firstRequestTime {
			count++
		}
	}
	return count
}

// Shutdown ends the service once the requests under way are answered, or when the context ends.
func (g *Gatekeeper) Shutdown(ctx context.Context) error {
	g.Drain()
	g.awaitQuiet(ctx)
	return errors.Wrap(g.server.Shutdown(ctx), "shut down")
}

func (g *Gatekeeper) awaitQuiet(ctx context.Context) {
	ticker := time.NewTicker(quietLook)
	defer ticker.Stop()
	for quiet := 0; quiet < 2; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		quiet++
		if g.connections.count() > 0 {
			quiet = 0
		}
	}
}
