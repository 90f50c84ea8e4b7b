// All listeners of a process share one Custodian. Each connection is charged a
// fixed amount, for its goroutine and buffers, and the copies of the part of a
// message that has arrived. Bodies of requests and answers have quotas of their
// own, whose owner calls Relieve when they are used up.

package custodian

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"lovagedeck/pkg/evictor"
)

const (
	// DefaultMemoryBytes limits the memory that clients hold if the process has no memory limit.
	DefaultMemoryBytes = 128 << 20
	// ConnectionBytes is what a connection is charged: two buffers of 4 KiB, the stack of a goroutine, and its entries in tables.
	ConnectionBytes = 12 << 10
	// TLSBytes is what a connection with TLS adds: a record, the state of its handshake, and the deeper stack.
	TLSBytes = 32 << 10
	// maxHandshakes is the number of connections at one address whose TLS handshake may be in progress.
	maxHandshakes = 256
	// RequestBytes is what a request adds while it is served: its head, the timers and goroutines that wait for leafs.
	RequestBytes = 12 << 10
	// freeMessageBytes is the part of a message that fits into the buffers of a connection.
	freeMessageBytes = 4 << 10
	// partCopies is how often the rest of a message in part is held: as it arrived, and in buffers that grow.
	partCopies = 2
	// headCopies is how often the head of a running request is held: decoded, rebuilt for leafs, and as garbage.
	headCopies = 4
	// batchShare is the share of a limit that is freed at once from connections that may be closed at any time, so that a crowd does not make
	// each new connection sort all others.
	batchShare = 1.0 / 16
	// requestReserveShare is the share of the memory that requests which are served leave free.
	requestReserveShare = 1.0 / 8
	// logInterval is the time between two log lines about closed connections.
	logInterval = time.Second
	// barrenTime is the time after which connections to close are looked for again when none was found. A crowd would otherwise make the
	// process sort its connections for each new one.
	barrenTime = 10 * time.Millisecond
	// relieveInterval is the shortest time between two connections closed for the memory of quotas.
	relieveInterval = 10 * time.Millisecond
)

type (
	// Limits are what the clients of a process may hold together.
	Limits struct {
		// MemoryBytes is the memory for connections and messages in part, 0 for DefaultMemoryBytes.
		MemoryBytes int64
		// Connections is the number of connections, 0 for as many as the memory allows.
		Connections int
	}

	// Config holds the limits and dependencies of a Custodian.
	Config struct {
		Limits Limits
		Now    func() time.Duration
		Log    logr.Logger
		// Metrics gets the counters; if nil, they are counted apart.
		Metrics *metrics.Set
	}

	// Custodian keeps the account of all clients of a process. A nil Custodian watches nothing.
	Custodian struct {
		config  Config
		metrics *metrics.Set
		mu      sync.Mutex
		all     account
		// closed counts the connections closed since the last log line, by reason.
		closed   map[evictor.Reason]int
		loggedAt time.Duration
		// relievedAt is when a connection was closed for the memory of a quota.
		relievedAt time.Duration
		closings   map[evictor.Reason]*metrics.Counter
		delayed    *metrics.Counter
		refused    *metrics.Counter
	}

	// account is what a set of connections holds. The lock of the Custodian guards it.
	account struct {
		limits Limits
		conns  map[*Conn]struct{}
		held   int64
		// barrenUntil is the time until which no new connection looks for connections to close, since none was found, and
		// barrenForRequestsUntil that for requests.
		barrenUntil, barrenForRequestsUntil time.Duration
	}
)

// New returns a Custodian without connections.
func New(config Config) *Custodian {
	if config.Limits.MemoryBytes <= 0 {
		config.Limits.MemoryBytes = DefaultMemoryBytes
	}
	byMemory := int(config.Limits.MemoryBytes / ConnectionBytes)
	if config.Limits.Connections <= 0 || config.Limits.Connections > byMemory {
		config.Limits.Connections = byMemory
	}
	c := &Custodian{config: config, metrics: config.Metrics, all: newAccount(config.Limits), closed: map[evictor.Reason]int{}, loggedAt: -logInterval, relievedAt: -relieveInterval}
	if c.metrics == nil {
		c.metrics = metrics.NewSet()
	}
	c.closings = map[evictor.Reason]*metrics.Counter{}
	for _, reason := range evictor.Reasons() {
		c.closings[reason] = c.metrics.NewCounter(fmt.Sprintf("custodian_connections_closed_total{reason=%q}", string(reason)))
	}
	c.delayed = c.metrics.NewCounter("custodian_connections_delayed_total")
	c.refused = c.metrics.NewCounter("custodian_messages_refused_total")
	c.metrics.NewGauge("custodian_connections", func() float64 { connections, _ := c.Holdings(); return float64(connections) })
	c.metrics.NewGauge("custodian_held_bytes", func() float64 { _, held := c.Holdings(); return float64(held) })
	return c
}

// Holdings returns the number of connections and the memory that they are charged, in bytes.
func (c *Custodian) Holdings() (connections int, held int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.all.conns), c.all.held
}

// Relieve closes the connection that the evictor chooses among those that hold memory of a quota: with a body in part or an unread answer.
// It closes one in relieveInterval at most, and reports whether one has been closed lately, so that memory will be released.
func (c *Custodian) Relieve() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	if now-c.relievedAt < relieveInterval {
		return true
	}
	isRelieved := c.evict(&c.all, evictor.Need{Connections: 1}, func(conn *Conn) bool {
		return conn.client.Phase == evictor.Answering || conn.client.Phase == evictor.Receiving && conn.client.IsInBody
	})
	if isRelieved {
		c.relievedAt = now
	}
	return isRelieved
}

func newAccount(limits Limits) account { return account{limits: limits, conns: map[*Conn]struct{}{}} }

// missing returns what must become free before the account can take what is asked for.
func (a *account) missing(asked evictor.Need) evictor.Need {
	missing := asked
	missing.Bytes += a.held - a.limits.MemoryBytes
	missing.Connections += len(a.conns) - a.limits.Connections
	missing.SpareBytes = int64(batchShare * float64(a.limits.MemoryBytes))
	missing.SpareConnections = int(batchShare * float64(a.limits.Connections))
	return missing
}

// barren returns the time until which no connections to close are looked for, since none was found.
func (a *account) barren(asked evictor.Need) *time.Duration {
	if asked.RequestBytes > 0 {
		return &a.barrenForRequestsUntil
	}
	return &a.barrenUntil
}

// requestReserve is the memory that requests leave free, so that further connections are taken and refused rather than left waiting.
func (a *account) requestReserve() int64 {
	return int64(requestReserveShare * float64(a.limits.MemoryBytes))
}

// makeRoom closes connections until the account of the listener and that of the process can take what is asked for, and reports whether they
// can.
func (c *Custodian) makeRoom(group *account, asked evictor.Need) bool {
	return c.makeRoomIn(group, asked) && c.makeRoomIn(&c.all, asked)
}

// makeRoomIn closes connections until one account can take what is asked for, and reports whether it can.
func (c *Custodian) makeRoomIn(a *account, asked evictor.Need) bool {
	missing := a.missing(asked)
	if missing.Bytes <= 0 && missing.Connections <= 0 {
		return true
	}
	barrenUntil := a.barren(asked)
	if !asked.IsUrgent && c.config.Now() < *barrenUntil {
		return false
	}
	if !c.evict(a, missing, func(*Conn) bool { return true }) {
		*barrenUntil = c.config.Now() + barrenTime
	}
	missing = a.missing(asked)
	return missing.Bytes <= 0 && missing.Connections <= 0
}

// evict closes the connections of the account that the evictor chooses among those that pass the filter, and reports whether there are any.
func (c *Custodian) evict(a *account, need evictor.Need, isCandidate func(*Conn) bool) bool {
	conns := make([]*Conn, 0, len(a.conns))
	clients := make([]evictor.Client, 0, len(a.conns))
	for conn := range a.conns {
		if isCandidate(conn) {
			conns, clients = append(conns, conn), append(clients, conn.client)
		}
	}
	victims := evictor.Choose(clients, need, c.config.Now())
	for _, victim := range victims {
		conn := conns[victim.Index]
		c.forget(conn)
		conn.isEvicted = true
		_ = conn.Conn.Close()
		c.closed[victim.Reason]++
		c.closings[victim.Reason].Inc()
	}
	c.logClosed()
	return len(victims) > 0
}

// logClosed logs the connections closed since the last line, at most once in logInterval.
func (c *Custodian) logClosed() {
	now := c.config.Now()
	if len(c.closed) == 0 || now-c.loggedAt < logInterval {
		return
	}
	c.config.Log.Info("custodian: connections closed, since clients hold too much", "slow-messages", c.closed[evictor.SlowMessage], "unread-answers", c.closed[evictor.UnreadAnswer],
		"idle", c.closed[evictor.LongIdle], "large-messages", c.closed[evictor.LargeMessage], "connections", len(c.all.conns), "held-bytes", c.all.held,
		"limit-connections", c.all.limits.Connections, "limit-bytes", c.all.limits.MemoryBytes)
	c.loggedAt = now
	clear(c.closed)
}

func (c *Custodian) forget(conn *Conn) {
	if _, ok := c.all.conns[conn]; !ok {
		return
	}
	for _, a := range conn.accounts() {
		delete(a.conns, conn)
		a.held -= conn.client.Held
	}
}

// charge sets what a connection is charged.
func (c *Custodian) charge(conn *Conn, held int64) {
	if _, ok := c.all.conns[conn]; !ok {
		return
	}
	for _, a := range conn.accounts() {
		a.held += held - conn.client.Held
	}
	conn.client.Held, conn.answerBytes = held, 0
}
