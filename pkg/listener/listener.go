package listener

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// retryInterval is the pause after a connection could not be accepted. It waits in the queue of the kernel meanwhile.
	retryInterval = 20 * time.Millisecond
	// quietTime is the time without a failure after which a shortage counts as ended.
	quietTime = time.Second
)

// shortages are the errors of sockets that end by themselves. Servers of net/rpc and fasthttp stop serving at any error.
var shortages = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

type (
	// ReportFunc is called with the error when a shortage begins and with nil when it has ended.
	ReportFunc func(shortage error)

	// Listener is a net.Listener whose Accept waits during a shortage of descriptors or memory instead of failing.
	Listener struct {
		net.Listener
		report    ReportFunc
		quietTime time.Duration
		isShort   bool
		failedAt  time.Time
		closed    chan struct{}
		closeOnce sync.Once
	}
)

// Listen listens on a TCP address. It returns an error if the address is not available.
func Listen(address string, report ReportFunc) (*Listener, error) {
	raw, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return New(raw, report), nil
}

// New returns a listener that accepts the connections of raw. Accept must be called by one goroutine at a time.
func New(raw net.Listener, report ReportFunc) *Listener {
	return &Listener{Listener: raw, report: report, quietTime: quietTime, closed: make(chan struct{})}
}

// Accept waits for the next connection. It returns an error after Close, or if raw fails for another reason than a shortage.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if !IsShortage(err) {
			l.observe(nil)
			return conn, err
		}
		l.observe(err)
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(retryInterval):
		}
	}
}

// Close closes the listener; connections that were accepted stay open.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// observe reports the beginning of a shortage, and its end once every connection has been accepted for quietTime.
func (l *Listener) observe(shortage error) {
	switch {
	case shortage != nil:
		l.failedAt = time.Now()
		if !l.isShort {
			l.isShort = true
			l.report(shortage)
		}
	case l.isShort && time.Since(l.failedAt) >= l.quietTime:
		l.isShort = false
		l.report(nil)
	}
}

// IsShortage reports whether an error of a socket means that the process or the machine has no descriptor or memory left for it.
func IsShortage(err error) bool {
	for _, shortage := range shortages {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}
