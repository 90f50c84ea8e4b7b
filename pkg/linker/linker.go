package linker

import (
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// dialTimeout bounds the opening of a connection: three times the way there and back between regions, 40 ms; a peer without
// power does not answer at all, and a lost opening packet is sent again only after a second.
const dialTimeout = 150 * time.Millisecond

type (
	// Dial opens a plain connection to an address.
	Dial func(address string, timeout time.Duration) (net.Conn, error)

	// Option sets up a Linker.
	Option func(*Linker)

	// Linker opens and accepts connections between instances.
	Linker struct {
		secret    Secret
		dial      Dial
		clientTLS func() *tls.Config
		serverTLS func() *tls.Config
		onFault   func(peer string, err error)
	}

	// Server accepts connections and serves the registered receivers on them.
	Server struct {
		linker   *Linker
		rpc      *rpc.Server
		listener net.Listener
		group    conc.WaitGroup
		mu       sync.Mutex
		conns    map[net.Conn]bool
		closed   bool
	}
)

// WithDial sets how connections are opened.
func WithDial(dial Dial) Option {
	return func(l *Linker) { l.dial = dial }
}

// WithTLS sets the TLS configurations, asked for at each connection.
func WithTLS(client, server func() *tls.Config) Option {
	return func(l *Linker) { l.clientTLS, l.serverTLS = client, server }
}

// WithFaults sets who is told of connections that were refused.
func WithFaults(onFault func(peer string, err error)) Option {
	return func(l *Linker) { l.onFault = onFault }
}

// New returns a linker for the instances that share secret.
func New(secret Secret, options ...Option) *Linker {
	linker := &Linker{secret: secret, dial: dialTCP, onFault: func(string, error) {}}
	for _, option := range options {
		option(linker)
	}
	return linker
}

// Connect opens an authenticated client connection to the peer.
func (l *Linker) Connect(peer string) (*rpc.Client, error) {
	conn, err := l.dial(peer, dialTimeout)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to instance %s", peer)
	}
	if l.clientTLS != nil && l.clientTLS() != nil {
		conn = tls.Client(conn, l.clientTLS())
	}
	if err := l.secret.ask(conn); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "connect to instance %s", peer)
	}
	return rpc.NewClientWithCodec(newClientCodec(conn)), nil
}

// Serve accepts connections on listener until Close and serves receivers by name.
func (l *Linker) Serve(listener net.Listener, receivers map[string]any) (*Server, error) {
	server := &Server{linker: l, rpc: rpc.NewServer(), listener: listener, conns: map[net.Conn]bool{}}
	for name, receiver := range receivers {
		if err := server.rpc.RegisterName(name, receiver); err != nil {
			return nil, errors.Wrapf(err, "register %s", name)
		}
	}
	server.group.Go(server.accept)
	return server, nil
}

// Close stops accepting and closes every connection.
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

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.add(conn) {
			_ = conn.Close()
			return
		}
		s.group.Go(func() { s.serve(conn) })
	}
}

func (s *Server) serve(raw net.Conn) {
	defer s.forget(raw)
	conn := raw
	if s.linker.serverTLS != nil && s.linker.serverTLS() != nil {
		conn = tls.Server(raw, s.linker.serverTLS())
	}
	if err := s.linker.secret.serve(conn); err != nil {
		s.linker.onFault(raw.RemoteAddr().String(), err)
		return
	}
	s.rpc.ServeCodec(newServerCodec(conn))
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = true
	return !s.closed
}

func (s *Server) forget(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}
