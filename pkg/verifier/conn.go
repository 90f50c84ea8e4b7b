package verifier

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

type (
	// Conn is a connection of a client that reads the whole response to a request before it writes the next one. Reads end with an
	// ErrInvalidHead where the head of a response is invalid.
	Conn struct {
		net.Conn
		head Head
		err  error
	}

	// tlsConn is a Conn over TLS. fasthttp encrypts a connection without a method Handshake itself.
	tlsConn struct {
		*Conn
		session *tls.Conn
	}
)

// NewConn returns a Conn that reads from raw, which is open and not yet in use.
func NewConn(raw net.Conn) *Conn { return &Conn{Conn: raw} }

// Write sends a request, or a part of one.
func (c *Conn) Write(data []byte) (int, error) {
	c.head = Head{}
	return c.Conn.Write(data)
}

// Read reads a part of a response. The bytes before an invalid one are returned together with the error.
func (c *Conn) Read(buffer []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	count, err := c.Conn.Read(buffer)
	for verified := 0; verified < count && !c.head.IsComplete(); {
		validBytes, invalid := c.head.Verify(buffer[verified:count])
		verified += validBytes
		if invalid != nil {
			c.err = invalid
			return verified, invalid
		}
		if c.head.IsComplete() && c.head.IsInterim() {
			c.head = Head{}
		}
	}
	return count, err
}

// Protect makes a client verify the responses that it reads, over TLS if its TLSConfig is set. The client does not send a request again
// after an invalid response, since the server has got it.
func Protect(client *fasthttp.Client) {
	client.DialTimeout = func(address string, timeout time.Duration) (net.Conn, error) {
		return dial(address, timeout, client.TLSConfig)
	}
	client.RetryIfErr = func(request *fasthttp.Request, _ int, err error) (resetTimeout, retry bool) {
		return false, request.Header.IsGet() && !errors.Is(err, ErrInvalidHead)
	}
}

func dial(address string, timeout time.Duration, config *tls.Config) (net.Conn, error) {
	if timeout <= 0 {
		timeout = fasthttp.DefaultDialTimeout
	}
	raw, err := fasthttp.DialTimeout(address, timeout)
	if err != nil {
		return nil, err
	}
	if config == nil {
		return NewConn(raw), nil
	}
	session := tls.Client(raw, withServerName(config, address))
	return &tlsConn{Conn: NewConn(session), session: session}, nil
}

// withServerName returns the configuration with the host of address for the server name, if it names none.
func withServerName(config *tls.Config, address string) *tls.Config {
	if config.ServerName != "" {
		return config
	}
	host, _, _ := net.SplitHostPort(address)
	config = config.Clone()
	config.ServerName = host
	return config
}

// Handshake runs the TLS handshake unless it has run.
func (c *tlsConn) Handshake() error { return c.session.Handshake() }
