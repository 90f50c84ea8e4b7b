package gatekeeper

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	linkWorks linkMode = iota
	// linkHangs delivers nothing in either direction, and new connections time out.
	linkHangs
	// linkResets breaks the open connections, and new ones time out.
	linkResets
	// linkRefuses keeps the open connections and refuses new ones.
	linkRefuses
)

const linkPollInterval = 2 * time.Millisecond

type (
	linkMode int

	// leafLink carries the connections of one instance to all leafs and can be cut.
	leafLink struct {
		mu    sync.Mutex
		mode  linkMode
		conns map[*linkConn]bool
	}

	linkConn struct {
		net.Conn
		link     *leafLink
		isClosed bool
	}
)

func newLeafLink() *leafLink { return &leafLink{conns: map[*linkConn]bool{}} }

// cut makes the link fail in the given way until it is set to linkWorks.
func (l *leafLink) cut(mode linkMode) {
	l.mu.Lock()
	l.mode = mode
	conns := l.conns
	if mode == linkResets {
		l.conns = map[*linkConn]bool{}
	}
	l.mu.Unlock()
	if mode == linkResets {
		for conn := range conns {
			_ = conn.Conn.Close()
		}
	}
}

func (l *leafLink) current() linkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

func (l *leafLink) dial(address string, timeout time.Duration) (net.Conn, error) {
	switch l.current() {
	case linkHangs, linkResets:
		time.Sleep(timeout)
		return nil, os.ErrDeadlineExceeded
	case linkRefuses:
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

func (c *linkConn) Write(data []byte) (int, error) {
	if c.link.current() == linkHangs {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func (c *linkConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	for c.link.current() == linkHangs && !c.closed() {
		time.Sleep(linkPollInterval)
	}
	return n, err
}

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
