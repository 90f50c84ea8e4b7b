package custodian

import (
	"net"
	"sync"
	"time"

	"lovagedeck/pkg/evictor"
)

// The shares of the memory and descriptors for clients that the connections at one address may take, so that some is left for the others.
const (
	// CallerShare is that of an address for callers.
	CallerShare = 7.0 / 8
	// PeerShare is that of an address for other instances.
	PeerShare = 1
	// OperatorShare is that of an address for operators and probes.
	OperatorShare = 0.5
)

// roomCheckInterval is the time between two checks whether a new connection can be taken.
const roomCheckInterval = 20 * time.Millisecond

type (
	// WatchOption configures a watched listener.
	WatchOption func(*watchedListener)

	// watchedListener accepts connections within the limits.
	watchedListener struct {
		net.Listener
		custodian *Custodian
		group     *account
		// handshakes has the connections whose TLS handshake is in progress. It is nil at an address without TLS.
		handshakes *account
		closed     chan struct{}
		closeOnce  sync.Once
	}
)

// WithTLS returns an option for connections that begin with a TLS handshake. They are charged TLSBytes each, and the number of handshakes in
// progress is limited. EndHandshake ends each.
func WithTLS() WatchOption {
	return func(l *watchedListener) {
		handshakes := newAccount(Limits{MemoryBytes: l.group.limits.MemoryBytes, Connections: min(maxHandshakes, l.group.limits.Connections)})
		l.handshakes = &handshakes
	}
}

// Watch returns a listener that keeps its connections in the account. They may take the given share of the limits, so that the rest is free
// for other addresses.
func (c *Custodian) Watch(raw net.Listener, share float64, options ...WatchOption) net.Listener {
	if c == nil {
		return raw
	}
	group := newAccount(Limits{MemoryBytes: int64(share * float64(c.all.limits.MemoryBytes)), Connections: int(share * float64(c.all.limits.Connections))})
	l := &watchedListener{Listener: raw, custodian: c, group: &group, closed: make(chan struct{})}
	for _, option := range options {
		option(l)
	}
	return l
}

// Accept waits for the next connection, and while there is no room for it. Further connections wait in the queue of the kernel.
func (l *watchedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for isFirst := true; ; isFirst = false {
		if conn := l.custodian.add(raw, l.group, l.handshakes, isFirst); conn != nil {
			return conn, nil
		}
		select {
		case <-l.closed:
			_ = raw.Close()
			return nil, net.ErrClosed
		case <-time.After(roomCheckInterval):
		}
	}
}

// Close closes the listener; connections that were accepted stay open.
func (l *watchedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// add takes a new connection, or returns nil if there is no room.
func (c *Custodian) add(raw net.Conn, group, handshakes *account, isFirst bool) *Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := &Conn{Conn: raw, custodian: c, group: group, handshakes: handshakes, baseBytes: ConnectionBytes}
	need := evictor.Need{Bytes: ConnectionBytes, Connections: 1}
	if handshakes != nil {
		conn.baseBytes += TLSBytes
		need.Bytes = conn.baseBytes
	}
	if handshakes != nil && !c.makeRoomIn(handshakes, need) || !c.makeRoom(group, need) {
		if isFirst {
			c.delayed.Inc()
		}
		return nil
	}
	conn.client = evictor.Client{Since: c.config.Now(), Held: conn.baseBytes}
	for _, a := range conn.accounts() {
		a.conns[conn] = struct{}{}
		a.held += conn.baseBytes
	}
	return conn
}
