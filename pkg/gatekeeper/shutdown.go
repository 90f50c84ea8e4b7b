package gatekeeper

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/custodian"
)

const (
	// idleCheckInterval is the time between checks for active connections. The server stops after two successive checks without one.
	idleCheckInterval = 20 * time.Millisecond
	// firstRequestTimeout is how long a new connection counts as active before its first request. Callers abandon a new
	// connection after one second.
	firstRequestTimeout = time.Second
)

type (
	// connTracker tracks the connections of callers.
	connTracker struct {
		mu    sync.Mutex
		conns map[net.Conn]connState
		// closesUnused is set once connections without a request are closed.
		closesUnused bool
	}

	connState struct {
		state http.ConnState
		// since is the time at which the connection entered the state.
		since time.Time
	}
)

func newConnTracker() *connTracker { return &connTracker{conns: map[net.Conn]connState{}} }

// onState records a state change of a connection. It is the ConnState callback of the HTTP server.
func (c *connTracker) onState(conn net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		custodian.Of(conn).EndDiscard()
	}
	if tracked, ok := conn.(*trackedConn); ok {
		tracked.onState(state)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateHijacked || state == http.StateClosed {
		delete(c.conns, conn)
		return
	}
	c.conns[conn] = connState{state: state, since: time.Now()}
	if c.closesUnused && state == http.StateNew {
		_ = conn.Close()
	}
}

// closeUnused closes the connections on which no request has been read, now and later. A shutdown of the HTTP server reads no
// request from them, but waits up to six seconds until it closes them.
func (c *connTracker) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closesUnused = true
	for conn, state := range c.conns {
		if state.state == http.StateNew {
			_ = conn.Close()
		}
	}
}

// counts returns the number of connections on which no request has been read yet, and of those with a request in progress.
func (c *connTracker) counts() (unused, busy int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		switch conn.state {
		case http.StateNew:
			unused++
		case http.StateActive:
			busy++
		}
	}
	return unused, busy
}

// activeCount returns the number of connections with a request or a part of its head, or within the timeout for their first request.
func (c *connTracker) activeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for conn, state := range c.conns {
		tracked, isTracked := conn.(*trackedConn)
		isReceiving := isTracked && tracked.isReceiving.Load()
		isExpected := state.state == http.StateNew && time.Since(state.since) < firstRequestTimeout
		if state.state == http.StateActive || isExpected || isReceiving {
			count++
		}
	}
	return count
}

// Shutdown drains the gatekeeper until no connection is active or the service ends, answers the requests that are still in progress,
// and stops the HTTP server. It returns the error of the HTTP server. Until then it keeps accepting connections, because closing the
// listener, or the shutdown of the HTTP server, would drop connections that were just accepted.
func (g *Gatekeeper) Shutdown(ctx context.Context) error {
	exitAt, _ := ctx.Deadline()
	g.Drain(exitAt)
	serving, cancel := context.WithDeadline(ctx, g.drain.Load().serviceEnd)
	defer cancel()
	g.waitUntilIdle(serving)
	g.isIntakeClosed.Store(true)
	g.awaitAnswers(serving)
	g.logConnections()
	g.endService()
	answerBy := time.Now().Add(answerTime)
	if exitAt.After(answerBy) {
		answerBy = exitAt
	}
	answering, cancelAnswering := context.WithDeadline(context.WithoutCancel(ctx), answerBy)
	defer cancelAnswering()
	g.awaitAnswers(answering)
	return errors.Wrap(g.server.Shutdown(answering), "shut down the HTTP server")
}

// Unanswered returns the number of callers' requests that have been read and not answered.
func (g *Gatekeeper) Unanswered() int { return int(g.inProgress.Load()) }

// awaitAnswers waits until all requests, also those of other instances, have been answered.
func (g *Gatekeeper) awaitAnswers(ctx context.Context) {
	ticker := time.NewTicker(answerCheckInterval)
	defer ticker.Stop()
	for g.Unanswered()+g.relayed.count()+g.slices.count() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (g *Gatekeeper) logConnections() {
	unused, busy := g.connections.counts()
	g.config.Log.Info("gatekeeper: end of service", "connections-without-request", unused, "connections-with-request", busy,
		"relayed", g.relayed.count(), "slices", g.slices.count())
}

func (g *Gatekeeper) waitUntilIdle(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for idleChecks := 0; idleChecks < 2; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		idleChecks++
		if g.connections.activeCount()+g.relayed.count()+g.slices.count() > 0 {
			idleChecks = 0
		}
	}
}
