package emulator

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

type (
	// Network emulates the links between instances, with delays between data centres and silent partitions.
	Network struct {
		mu          sync.Mutex
		isolated    map[string]bool
		instances   map[string]string
		dataCentres map[string]string
		oneWayDelay time.Duration
		conns       map[*emulatedConn]bool
	}

	// emulatedConn is a connection between two instances. After data was dropped on it, it stays broken.
	emulatedConn struct {
		net.Conn
		network     *Network
		from        string
		to          string
		mu          sync.Mutex
		broken      bool
		oneWayDelay time.Duration
		queue       chan delayedWrite
		closed      chan struct{}
		closeOnce   sync.Once
	}

	delayedWrite struct {
		data []byte
		due  time.Time
	}
)

var errDataDropped = errors.New("the connection lost data while it was cut")

// NewNetwork returns a network with the given one-way delay between instances in different data centres.
func NewNetwork(oneWayDelay time.Duration) *Network {
	return &Network{
		isolated: map[string]bool{}, instances: map[string]string{}, dataCentres: map[string]string{}, oneWayDelay: oneWayDelay, conns: map[*emulatedConn]bool{},
	}
}

// Register records the instance that listens on address and the instance's data centre.
func (n *Network) Register(address, instance, dataCentre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.instances[address] = instance
	n.dataCentres[instance] = dataCentre
}

// Dialer returns the dial function of the instance from; dials across a partition end with a timeout error.
func (n *Network) Dialer(from string) func(address string, timeout time.Duration) (net.Conn, error) {
	return func(address string, timeout time.Duration) (net.Conn, error) {
		n.mu.Lock()
		to := n.instances[address]
		oneWayDelay := time.Duration(0)
		if n.dataCentres[from] != n.dataCentres[to] {
			oneWayDelay = n.oneWayDelay
		}
		n.mu.Unlock()
		if n.isPartitioned(from, to) {
			time.Sleep(timeout)
			return nil, errors.Errorf("dial %s: timeout", address)
		}
		raw, err := net.DialTimeout("tcp", address, timeout)
		if err != nil {
			return nil, err
		}
		return n.wrap(raw, from, to, oneWayDelay), nil
	}
}

// Isolate partitions an instance from all others: data in both directions is dropped without an error.
func (n *Network) Isolate(instance string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[instance] = true
}

// Heal ends the isolation of an instance and closes those of its connections on which data was dropped.
func (n *Network) Heal(instance string) {
	n.mu.Lock()
	delete(n.isolated, instance)
	var affected []*emulatedConn
	for conn := range n.conns {
		if conn.from == instance || conn.to == instance {
			affected = append(affected, conn)
		}
	}
	n.mu.Unlock()
	for _, conn := range affected {
		if conn.isBroken() {
			_ = conn.Close()
		}
	}
}

func (n *Network) isPartitioned(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated[from] || n.isolated[to]
}

func (n *Network) wrap(raw net.Conn, from, to string, oneWayDelay time.Duration) net.Conn {
	conn := &emulatedConn{Conn: raw, network: n, from: from, to: to, oneWayDelay: oneWayDelay, closed: make(chan struct{})}
	n.mu.Lock()
	n.conns[conn] = true
	n.mu.Unlock()
	if oneWayDelay > 0 {
		conn.queue = make(chan delayedWrite, 4096)
		go conn.writeDelayed()
	}
	return conn
}

// Write sends p, or drops it and reports success during a partition.
func (c *emulatedConn) Write(p []byte) (int, error) {
	if c.network.isPartitioned(c.from, c.to) {
		c.markBroken()
		return len(p), nil
	}
	if c.isBroken() {
		return 0, errDataDropped
	}
	if c.queue == nil {
		return c.Conn.Write(p)
	}
	select {
	case c.queue <- delayedWrite{data: append([]byte(nil), p...), due: time.Now().Add(2 * c.oneWayDelay)}:
		return len(p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Read returns received data and drops what arrives during a partition.
func (c *emulatedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			return n, err
		}
		if c.network.isPartitioned(c.from, c.to) {
			c.markBroken()
			continue
		}
		if c.isBroken() {
			return 0, errDataDropped
		}
		return n, nil
	}
}

// Close closes the connection and discards delayed writes.
func (c *emulatedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// writeDelayed sends queued writes when they are due. Only the dialling side is emulated, so its writes carry the delay of
// the whole round trip.
func (c *emulatedConn) writeDelayed() {
	for {
		select {
		case <-c.closed:
			return
		case write := <-c.queue:
			time.Sleep(time.Until(write.due))
			if _, err := c.Conn.Write(write.data); err != nil {
				return
			}
		}
	}
}

func (c *emulatedConn) markBroken() {
	c.mu.Lock()
	c.broken = true
	c.mu.Unlock()
}

func (c *emulatedConn) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}
