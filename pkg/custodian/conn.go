package custodian

import (
	"net"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/evictor"
)

const (
	// writePieceBytes is the size of the pieces in which an answer is written, so that progress is seen.
	writePieceBytes = 64 << 10
	// quotaChecks is how often a body looks whether the memory of a connection that is closed has been released, each quotaCheckInterval.
	quotaChecks        = 10
	quotaCheckInterval = 5 * time.Millisecond
)

var (
	// ErrClosed is returned for a connection that was closed because clients held too much.
	ErrClosed = errors.New("the connection was closed, since clients hold too much")
	// ErrNoMemory is returned if the memory for messages of clients is used up.
	ErrNoMemory = errors.New("no memory is left for messages")
)

// Conn is a connection of a client. Its state is derived from what is read and written, unless a server states it. All methods on a nil Conn
// do nothing.
type Conn struct {
	net.Conn
	custodian *Custodian
	group     *account
	// baseBytes is what the connection is charged beside messages.
	baseBytes int64
	// The lock of the Custodian guards the rest.
	client evictor.Client
	// handshakes is the account of the TLS handshakes in progress, or nil if that of this connection is not.
	handshakes *account
	// answerBytes is what is charged for an answer.
	answerBytes int64
	// isAnswered is set once a part of the answer has been written.
	isAnswered bool
	// isTrusted is set on a connection of another instance.
	isTrusted bool
	isEvicted bool
}

// Of returns the Conn below a connection, or nil if there is none.
func Of(conn net.Conn) *Conn {
	for conn != nil {
		if found, ok := conn.(*Conn); ok {
			return found
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
	return nil
}

// Read reads from the connection.
func (c *Conn) Read(buffer []byte) (int, error) {
	c.beforeRead()
	n, err := c.Conn.Read(buffer)
	if n > 0 && !c.afterRead(n) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
	}
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(data []byte) (written int, err error) {
	phase, isWatched := c.beginWrite()
	if !isWatched {
		return c.Conn.Write(data)
	}
	defer func() { c.endWrite(phase) }()
	for {
		piece := data[written:min(len(data), written+writePieceBytes)]
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written >= len(data) {
			return written, err
		}
		c.enter(evictor.Answering)
	}
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.custodian.mu.Lock()
	c.custodian.forget(c)
	c.custodian.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the sending direction.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Run states that the request that has been read is served from here on, so that the connection is not closed. It returns ErrClosed if it has
// been closed already, and ErrNoMemory if there is no room for the request. In both cases the request must not be served.
func (c *Conn) Run() error {
	if c == nil {
		return nil
	}
	c.custodian.mu.Lock()
	defer c.custodian.mu.Unlock()
	if c.isEvicted {
		return ErrClosed
	}
	if !c.client.IsInBody {
		held := c.baseBytes + RequestBytes + headCopies*max(0, c.client.Received-freeMessageBytes)
		hasRoom := held <= c.client.Held || c.custodian.makeRoom(c.group, evictor.Need{Bytes: held - c.client.Held + c.group.requestReserve(), RequestBytes: held})
		if c.isEvicted {
			return ErrClosed
		}
		if !hasRoom {
			c.custodian.refused.Inc()
			return ErrNoMemory
		}
		c.custodian.charge(c, held)
	}
	c.client.IsInBody, c.isAnswered = false, false
	c.client.Phase, c.client.Since = evictor.Running, c.custodian.config.Now()
	return nil
}

// AwaitQuota calls reserve, and if that fails and another connection can be closed that holds memory of the same quota, again until
// that has ended. It reports whether reserve succeeded.
func (c *Conn) AwaitQuota(reserve func() bool) bool {
	if reserve() {
		return true
	}
	if c == nil {
		return false
	}
	for range quotaChecks {
		if !c.custodian.Relieve() {
			return false
		}
		time.Sleep(quotaCheckInterval)
		if reserve() {
			return true
		}
	}
	return false
}

// ReceiveBody states that a body is read from here on, which is charged to a quota. Run ends it.
func (c *Conn) ReceiveBody() {
	if c == nil {
		return
	}
	c.enter(evictor.Receiving)
	c.custodian.mu.Lock()
	defer c.custodian.mu.Unlock()
	c.client.IsInBody, c.client.Received = true, 0
}

// Answer states that an answer of the given size, in bytes, is held until the other end has read it. It returns an error if there is no room
// for it; the connection must be closed then.
func (c *Conn) Answer(size int) error {
	if c == nil {
		return nil
	}
	if size <= freeMessageBytes {
		size = 0
	}
	c.custodian.mu.Lock()
	defer c.custodian.mu.Unlock()
	c.custodian.charge(c, c.client.Held-c.answerBytes)
	if size == 0 {
		return nil
	}
	if !c.client.IsInBody {
		c.client.Phase, c.client.Since = evictor.Running, c.custodian.config.Now()
	}
	hasRoom := c.custodian.makeRoom(c.group, evictor.Need{Bytes: int64(size) + c.group.requestReserve()})
	switch {
	case c.isEvicted:
		return ErrClosed
	case !hasRoom:
		c.custodian.refused.Inc()
		return ErrNoMemory
	}
	c.custodian.charge(c, c.client.Held+int64(size))
	c.answerBytes = int64(size)
	return nil
}

// Discard states that the rest of the request is read only to be thrown away, so that it holds no memory. EndDiscard ends it.
func (c *Conn) Discard() {
	if c == nil {
		return
	}
	c.ReceiveBody()
	c.custodian.mu.Lock()
	defer c.custodian.mu.Unlock()
	c.custodian.charge(c, c.baseBytes)
}

// EndDiscard states that the connection waits for the next request.
func (c *Conn) EndDiscard() {
	if c == nil {
		return
	}
	c.custodian.mu.Lock()
	defer c.custodian.mu.Unlock()
	if !c.client.IsInBody {
		return
	}
	c.client.IsInBody, c.client.Received = false, 0
	c.client.Phase, c.client.Since = evictor.Idle, c.custodian.config.Now()
	c.custodian.charge(c, c.baseBytes)
}

// Trust states that the other end has proved to be another instance, whose connection is not closed.
func (c *Conn) Trust() {
	if c == nil {
		return
	}
	c.EndHandshake()
	c.custodian.mu.Lock()
	c.isTrusted = true
	c.custodian.mu.Unlock()
	c.EndMessage()
}

// EndHandshake states that the TLS handshake has ended, and that the connection waits for its first request.
func (c *Conn) EndHandshake() {
	if c == nil {
		return
	}
	c.custodian.mu.Lock()
	defer c.custodian.mu.Unlock()
	handshakes := c.handshakes
	if handshakes == nil {
		return
	}
	if _, ok := handshakes.conns[c]; ok {
		delete(handshakes.conns, c)
		handshakes.held -= c.client.Held
	}
	c.handshakes, c.isAnswered = nil, false
	c.client.Phase, c.client.Since, c.client.Received = evictor.Receiving, c.custodian.config.Now(), 0
	c.custodian.charge(c, c.baseBytes)
}

// BeginMessage states that a message of the given size from another instance begins. It returns an error if there is no room for it.
func (c *Conn) BeginMessage(size int64) error {
	if c == nil {
		return nil
	}
	c.custodian.mu.Lock()
	defer c.custodian.mu.Unlock()
	c.client = evictor.Client{Phase: evictor.Receiving, Since: c.custodian.config.Now(), Held: c.client.Held}
	c.custodian.charge(c, c.baseBytes+partCopies*max(0, size-freeMessageBytes))
	if !c.isEvicted && !c.custodian.makeRoom(c.group, evictor.Need{IsUrgent: true}) {
		c.custodian.refused.Inc()
		return ErrNoMemory
	}
	if c.isEvicted {
		return ErrClosed
	}
	return nil
}

// EndMessage states that the message of another instance has been decoded.
func (c *Conn) EndMessage() {
	if c == nil {
		return
	}
	c.custodian.mu.Lock()
	defer c.custodian.mu.Unlock()
	c.client.Phase, c.client.Since = evictor.Running, c.custodian.config.Now()
	c.custodian.charge(c, c.baseBytes)
}

// accounts returns the accounts in which the connection is kept.
func (c *Conn) accounts() []*account {
	if c.handshakes != nil {
		return []*account{c.group, &c.custodian.all, c.handshakes}
	}
	return []*account{c.group, &c.custodian.all}
}

// beforeRead ends the exchange if its answer has been written.
func (c *Conn) beforeRead() {
	c.custodian.mu.Lock()
	defer c.custodian.mu.Unlock()
	if !c.isAnswered || c.isTrusted || c.handshakes != nil {
		return
	}
	c.isAnswered, c.client.IsInBody = false, false
	c.client.Phase, c.client.Since, c.client.Received = evictor.Idle, c.custodian.config.Now(), 0
	c.custodian.charge(c, c.baseBytes)
}

// afterRead counts what was read and reports whether the connection is still open.
func (c *Conn) afterRead(n int) bool {
	c.custodian.mu.Lock()
	defer c.custodian.mu.Unlock()
	if c.client.Phase == evictor.Idle {
		c.client.Phase, c.client.Since = evictor.Receiving, c.custodian.config.Now()
	}
	if c.client.Phase != evictor.Receiving {
		return !c.isEvicted
	}
	c.client.Received += int64(n)
	if c.client.IsInBody || c.isTrusted || c.client.Received <= freeMessageBytes || c.isEvicted {
		return !c.isEvicted
	}
	c.custodian.charge(c, c.baseBytes+partCopies*(c.client.Received-freeMessageBytes))
	c.custodian.makeRoom(c.group, evictor.Need{IsUrgent: true})
	return !c.isEvicted
}

// beginWrite returns the phase to return to after the write. Writes to other instances are not watched, since calls in both directions overlap.
func (c *Conn) beginWrite() (phase evictor.Phase, isWatched bool) {
	c.custodian.mu.Lock()
	defer c.custodian.mu.Unlock()
	phase = c.client.Phase
	if !c.isTrusted {
		c.client.Phase, c.client.Since = evictor.Answering, c.custodian.config.Now()
	}
	return phase, !c.isTrusted
}

func (c *Conn) endWrite(phase evictor.Phase) {
	c.custodian.mu.Lock()
	defer c.custodian.mu.Unlock()
	c.client.Phase, c.client.Since = phase, c.custodian.config.Now()
	// What is written during a body only asks for the rest of it.
	c.isAnswered = !c.client.IsInBody
}

func (c *Conn) enter(phase evictor.Phase) {
	c.custodian.mu.Lock()
	defer c.custodian.mu.Unlock()
	c.client.Phase, c.client.Since = phase, c.custodian.config.Now()
}
