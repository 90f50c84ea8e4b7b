package acceptor

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// Acceptor serves one fiber application.
type Acceptor struct {
	app       *fiber.App
	tlsConfig *tls.Config
	group     conc.WaitGroup
}

// New returns an acceptor for app. It serves HTTP without TLS if tlsConfig is nil.
func New(app *fiber.App, tlsConfig *tls.Config) *Acceptor {
	app.Server().ConnState = OnState
	return &Acceptor{app: app, tlsConfig: tlsConfig}
}

// Serve starts serving connections of listener in the background, until Close is called.
func (a *Acceptor) Serve(listener net.Listener) {
	if a.tlsConfig != nil {
		listener = tlsListener{listener, a.tlsConfig}
	}
	a.group.Go(func() {
		_ = a.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	})
}

// Close stops accepting connections and waits until the requests in progress have ended or the timeout has passed. It returns an
// error if the server did not shut down cleanly.
func (a *Acceptor) Close(timeout time.Duration) error {
	err := a.app.ShutdownWithTimeout(timeout)
	a.group.Wait()
	return errors.Wrap(err, "shut down the HTTP server")
}

// StatusOf returns the HTTP status code for an error that a handler returned: 500 unless it is a *fiber.Error.
func StatusOf(err error) int {
	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) {
		return fiberErr.Code
	}
	return fiber.StatusInternalServerError
}
