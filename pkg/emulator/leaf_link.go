package emulator

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// LinkWorks carries data.
	LinkWorks LinkMode = iota
	// LinkHangs delivers nothing in either direction, and new connections time out.
	LinkHangs
	// LinkResets breaks the open connections, and new ones time out.
	LinkResets
	// LinkRefuses keeps the open connections and refuses new ones.
	LinkRefuses
)

const linkPollInterval = 2 * time.Millisecond

type (
	// LinkMode says how a link fails.
	LinkMode int

	// LeafLink carries the connections of one instance to all leafs and can be cut.
	LeafLink struct {
		mu    sync.Mutex
		mode  LinkMode
		conns map[*linkConn]bool
	}

	linkConn struct {
		net.Conn
		link     *LeafLink
		isClosed bool
	}
)

// NewLeafLink returns a link that works.
func NewLeafLink() *LeafLink { return &LeafLink{conns: map[*linkConn]bool{}} }

// Cut makes the link fail in the given way until it is set to LinkWorks.
func (l *LeafLink) Cut(mode LinkMode) {
	l.mu.Lock()
	l.mode = mode
	conns := l.conns
	if mode == LinkResets {
		l.conns = map[*linkConn]bool{}
	}
	l.mu.Unlock()
	if mode == LinkResets {
		for conn := range conns {
			_ = conn.Conn.Close()
		}
	}
}

// Dial opens a TCP connection over the link, or fails as the mode of the link says.
func (l *LeafLink) Dial(address string, timeout time.Duration) (net.Conn, error) {
	switch l.current() {
	case LinkHangs, LinkResets:
		time.Sleep(timeout)
		return nil, os.ErrDeadlineExceeded
	case LinkRefuses:
		return nil, syscall.ECONNREFUSED
	}
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	linked := &linkConn{Conn: conn, link: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[linked] = true
	return linked, nil
}

func (l *LeafLink) current() LinkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

// Write sends data, or drops it and reports success while the link hangs.
func (c *linkConn) Write(data []byte) (int, error) {
	if c.link.current() == LinkHangs {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Read returns received data once the link does not hang.
func (c *linkConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	for c.link.current() == LinkHangs && !c.closed() {
		time.Sleep(linkPollInterval)
	}
	return n, err
}

// SetLinger sets what happens to data that is not delivered when the connection is closed.
func (c *linkConn) SetLinger(seconds int) error {
	if tcp, isTCP := c.Conn.(*net.TCPConn); isTCP {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// Close closes the connection.
func (c *linkConn) Close() error {
	c.link.mu.Lock()
	c.isClosed = true
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}

func (c *linkConn) closed() bool {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	return c.isClosed
}
