package acceptor

import (
	"crypto/tls"
	"net"
	"time"

	"lovagedeck/pkg/custodian"
)

// handshakeTimeout is the time limit for a TLS handshake. It outlasts several lost packets.
const handshakeTimeout = 5 * time.Second

type (
	// tlsListener accepts connections whose first bytes are a TLS handshake.
	tlsListener struct {
		net.Listener
		config *tls.Config
	}

	// tlsConn ends its handshake within handshakeTimeout, and states its end to the account of clients. The HTTP library calls Handshake
	// before it reads.
	tlsConn struct{ *tls.Conn }
)

// Accept returns the next connection; its handshake has not begun.
func (l tlsListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return tlsConn{tls.Server(raw, l.config)}, nil
}

// Handshake runs the handshake.
func (c tlsConn) Handshake() error {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	if err := c.Conn.Handshake(); err != nil {
		_ = c.Close()
		return err
	}
	custodian.Of(c).EndHandshake()
	return c.SetDeadline(time.Time{})
}
