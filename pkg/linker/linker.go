package linker

import (
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"lovagedeck/pkg/custodian"
)

// dialTimeout limits the opening of a connection. It is more than three round trips of 40 ms between regions. A longer timeout
// would not help: a peer that has lost power does not answer, and a lost SYN is retransmitted only after 1 s.
const dialTimeout = 150 * time.Millisecond

// drainPollInterval is the time between checks for calls without a reply.
const drainPollInterval = 2 * time.Millisecond

const (
	// keepAliveIdle is the idle time after which a connection is probed, keepAliveInterval the time between probes, and
	// keepAliveProbes the number of unanswered ones after which it is closed. A silent connection is found within 8 s, before most
	// idle ones are used again.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

type (
	// Dial opens a connection without TLS to an address and fails after timeout.
	Dial func(address string, timeout time.Duration) (net.Conn, error)

	// Option configures a Linker.
	Option func(*Linker)

	// Linker opens and accepts connections between instances.
	Linker struct {
		secret     Secret
		dial       Dial
		clientTLS  func() *tls.Config
		serverTLS  func() *tls.Config
		onRejected func(peer string, err error)
	}

	// Server accepts authenticated connections and serves the registered receivers on them.
	Server struct {
		linker   *Linker
		rpc      *rpc.Server
		listener net.Listener
		group    conc.WaitGroup
		mu       sync.Mutex
		conns    map[net.Conn]bool
		closed   bool
		replies  replies
	}
)

// WithDial sets the function that opens connections; the default dials TCP.
func WithDial(dial Dial) Option {
	return func(l *Linker) { l.dial = dial }
}

// WithTLS sets functions that return the TLS configuration for each new connection; without a configuration TLS is not used.
func WithTLS(client, server func() *tls.Config) Option {
	return func(l *Linker) { l.clientTLS, l.serverTLS = client, server }
}

// WithRejectionHandler sets a function that is called for each incoming connection whose handshake failed.
func WithRejectionHandler(onRejected func(peer string, err error)) Option {
	return func(l *Linker) { l.onRejected = onRejected }
}

// New returns a Linker for the cluster of the secret.
func New(secret Secret, options ...Option) *Linker {
	linker := &Linker{secret: secret, dial: DialTCP, onRejected: func(string, error) {}}
	for _, option := range options {
		option(linker)
	}
	return linker
}

// Connect opens an authenticated client connection to the peer, or returns an error if dialing or the handshake fails.
func (l *Linker) Connect(peer string) (*rpc.Client, error) {
	conn, err := l.dial(peer, dialTimeout)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to instance %s", peer)
	}
	if l.clientTLS != nil && l.clientTLS() != nil {
		conn = tls.Client(conn, l.clientTLS())
	}
	if err := l.secret.clientHandshake(conn); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "connect to instance %s", peer)
	}
	return rpc.NewClientWithCodec(newClientCodec(conn)), nil
}

// Serve accepts connections on listener and serves each receiver under its name until Close. It returns an error if a receiver
// cannot be registered.
func (l *Linker) Serve(listener net.Listener, receivers map[string]any) (*Server, error) {
	server := &Server{linker: l, rpc: rpc.NewServer(), listener: listener, conns: map[net.Conn]bool{}}
	for name, receiver := range receivers {
		if err := server.rpc.RegisterName(name, receiver); err != nil {
			return nil, errors.Wrapf(err, "register %s", name)
		}
	}
	server.group.Go(server.acceptLoop)
	return server, nil
}

// Drain waits until the replies to all calls have been written, and then until the clients have received them and closed their
// connections. It returns after the timeout at the latest.
func (s *Server) Drain(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	waitUntil(deadline, func() bool { return s.replies.unanswered.Load() == 0 })
	s.replies.areDropped.Store(true)
	s.mu.Lock()
	for conn := range s.conns {
		if half, ok := conn.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
	}
	s.mu.Unlock()
	waitUntil(deadline, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns) == 0
	})
}

func waitUntil(deadline time.Time, isDone func() bool) {
	for !isDone() && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}

// Close closes the listener and all connections, and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
}

func (s *Server) acceptLoop() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.trackConn(conn) {
			_ = conn.Close()
			return
		}
		s.group.Go(func() { s.serveConn(conn) })
	}
}

func (s *Server) serveConn(raw net.Conn) {
	defer s.untrackConn(raw)
	conn := raw
	if s.linker.serverTLS != nil && s.linker.serverTLS() != nil {
		conn = tls.Server(raw, s.linker.serverTLS())
	}
	if err := s.linker.secret.serverHandshake(conn); err != nil {
		s.linker.onRejected(raw.RemoteAddr().String(), err)
		return
	}
	client := custodian.Of(raw)
	client.Trust()
	s.rpc.ServeCodec(newServerCodec(conn, &s.replies, client))
}

// trackConn registers a connection and reports whether the server is still open.
func (s *Server) trackConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = true
	return !s.closed
}

func (s *Server) untrackConn(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// DialTCP opens a TCP connection and fails after timeout. Keep-alive probes close an idle connection whose other end does not answer
// within keepAliveIdle and keepAliveProbes intervals. TCP_USER_TIMEOUT is not set: it would also decide when the probes give up, and
// requests in progress have deadlines of their own.
func DialTCP(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
	return dialer.Dial("tcp", address)
}
