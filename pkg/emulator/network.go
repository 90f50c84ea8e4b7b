package emulator

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

type (
	// Network stands between instances; it can cut them off silently and delay what they send.
	Network struct {
		mu       sync.Mutex
		isolated map[string]bool
		names    map[string]string
		places   map[string]string
		delay    time.Duration
		conns    map[*cutConn]bool
	}

	// cutConn is a connection between two instances. Once something was lost on it, it stays broken.
	cutConn struct {
		net.Conn
		network *Network
		from    string
		to      string
		mu      sync.Mutex
		lost    bool
		delay   time.Duration
		queue   chan delayed
		closed  chan struct{}
		once    sync.Once
	}

	delayed struct {
		data []byte
		due  time.Time
	}
)

var errLost = errors.New("the connection lost data while it was cut")

// NewNetwork returns a network whose instances in different data centres are delay apart, one way.
func NewNetwork(delay time.Duration) *Network {
	return &Network{
		isolated: map[string]bool{}, names: map[string]string{}, places: map[string]string{}, delay: delay, conns: map[*cutConn]bool{},
	}
}

// Place registers an address of an instance and its data centre.
func (n *Network) Place(address, instance, dataCentre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[address] = instance
	n.places[instance] = dataCentre
}

// Dialer returns how the instance opens connections to others.
func (n *Network) Dialer(from string) func(address string, timeout time.Duration) (net.Conn, error) {
	return func(address string, timeout time.Duration) (net.Conn, error) {
		n.mu.Lock()
		to := n.names[address]
		delay := time.Duration(0)
		if n.places[from] != n.places[to] {
			delay = n.delay
		}
		n.mu.Unlock()
		if n.cut(from, to) {
			time.Sleep(timeout)
			return nil, errors.Errorf("dial %s: timeout", address)
		}
		raw, err := net.DialTimeout("tcp", address, timeout)
		if err != nil {
			return nil, err
		}
		return n.wrap(raw, from, to, delay), nil
	}
}

// Isolate cuts an instance off silently in both directions.
func (n *Network) Isolate(instance string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[instance] = true
}

// Heal ends the isolation of an instance; connections that lost data break.
func (n *Network) Heal(instance string) {
	n.mu.Lock()
	delete(n.isolated, instance)
	var broken []*cutConn
	for conn := range n.conns {
		if conn.from == instance || conn.to == instance {
			broken = append(broken, conn)
		}
	}
	n.mu.Unlock()
	for _, conn := range broken {
		if conn.isLost() {
			_ = conn.Close()
		}
	}
}

func (n *Network) cut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated[from] || n.isolated[to]
}

func (n *Network) wrap(raw net.Conn, from, to string, delay time.Duration) net.Conn {
	conn := &cutConn{Conn: raw, network: n, from: from, to: to, delay: delay, closed: make(chan struct{})}
	n.mu.Lock()
	n.conns[conn] = true
	n.mu.Unlock()
	if delay > 0 {
		conn.queue = make(chan delayed, 4096)
		go conn.deliver()
	}
	return conn
}

// Write sends, or loses what is written while the connection is cut.
func (c *cutConn) Write(p []byte) (int, error) {
	if c.network.cut(c.from, c.to) {
		c.setLost()
		return len(p), nil
	}
	if c.isLost() {
		return 0, errLost
	}
	if c.queue == nil {
		return c.Conn.Write(p)
	}
	select {
	case c.queue <- delayed{data: append([]byte(nil), p...), due: time.Now().Add(2 * c.delay)}:
		return len(p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Read receives, and drops what arrives while the connection is cut.
func (c *cutConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			return n, err
		}
		if c.network.cut(c.from, c.to) {
			c.setLost()
			continue
		}
		if c.isLost() {
			return 0, errLost
		}
		return n, nil
	}
}

// Close closes the connection.
func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// deliver writes what was queued when it is due; the whole round trip is spent on the way out.
func (c *cutConn) deliver() {
	for {
		select {
		case <-c.closed:
			return
		case item := <-c.queue:
			time.Sleep(time.Until(item.due))
			if _, err := c.Conn.Write(item.data); err != nil {
				return
			}
		}
	}
}

func (c *cutConn) setLost() {
	c.mu.Lock()
	c.lost = true
	c.mu.Unlock()
}

func (c *cutConn) isLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}
