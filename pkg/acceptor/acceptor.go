package acceptor

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// Acceptor serves one application.
type Acceptor struct {
	app   *fiber.App
	tls   *tls.Config
	group conc.WaitGroup
}

// New returns an acceptor for app; a nil config leaves connections plain.
func New(app *fiber.App, config *tls.Config) *Acceptor {
	return &Acceptor{app: app, tls: config}
}

// Serve answers on listener until Close.
func (a *Acceptor) Serve(listener net.Listener) {
	if a.tls != nil {
		listener = tls.NewListener(listener, a.tls)
	}
	a.group.Go(func() {
		_ = a.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	})
}

// Close answers what is under way, for at most timeout, and stops.
func (a *Acceptor) Close(timeout time.Duration) error {
	err := a.app.ShutdownWithTimeout(timeout)
	a.group.Wait()
	return errors.Wrap(err, "close the HTTP server")
}

// StatusOf returns the HTTP status of an error that a handler returned.
func StatusOf(err error) int {
	var known *fiber.Error
	if errors.As(err, &known) {
		return known.Code
	}
	return fiber.StatusInternalServerError
}
