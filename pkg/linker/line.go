package linker

import (
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const redialPause = 50 * time.Millisecond

// Line is the connection to one peer, opened when it is needed and again after a failure.
type Line struct {
	linker  *Linker
	address string
	// dialing lets one goroutine dial at a time; waiting for it blocks no lock.
	dialing  chan struct{}
	mu       sync.Mutex
	client   *rpc.Client
	failedAt time.Time
	closed   bool
}

// NewLine returns a line to the peer at address, without a connection yet.
func (l *Linker) NewLine(address string) *Line {
	return &Line{linker: l, address: address, dialing: make(chan struct{}, 1)}
}

// Address returns the address of the peer.
func (l *Line) Address() string { return l.address }

// Client returns the open connection or opens one.
func (l *Line) Client() (*rpc.Client, error) {
	if client, err := l.present(); client != nil || err != nil {
		return client, err
	}
	l.dialing <- struct{}{}
	defer func() { <-l.dialing }()
	if client, err := l.present(); client != nil || err != nil {
		return client, err
	}
	client, err := l.linker.Connect(l.address)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failedAt = time.Now()
		return nil, err
	}
	if l.closed {
		_ = client.Close()
		return nil, errors.Errorf("connect to instance %s: the line is closed", l.address)
	}
	l.client = client
	return client, nil
}

// Open returns the open connection, or nil; it never waits.
func (l *Line) Open() *rpc.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.client
}

// Call makes one call and waits at most timeout for its end. A call on a connection that the peer had closed before was
// not sent, and goes out on a new one.
func (l *Line) Call(method string, query, reply any, timeout time.Duration) error {
	err := l.call(method, query, reply, timeout)
	if errors.Is(err, rpc.ErrShutdown) {
		return l.call(method, query, reply, timeout)
	}
	return err
}

func (l *Line) call(method string, query, reply any, timeout time.Duration) error {
	client, err := l.Client()
	if err != nil {
		return err
	}
	call := client.Go(method, query, reply, make(chan *rpc.Call, 1))
	return l.Await(client, call, timeout)
}

// Await waits for the end of a call and drops the connection when it does not end in time.
func (l *Line) Await(client *rpc.Client, call *rpc.Call, timeout time.Duration) error {
	ended, err := l.AwaitFor(client, call, timeout)
	if ended {
		return err
	}
	l.Drop(client)
	return errors.Errorf("%s at instance %s: no answer within %s", call.ServiceMethod, l.address, timeout)
}

// AwaitFor waits for the end of a call and tells whether it came in time; a connection that failed is dropped.
func (l *Line) AwaitFor(client *rpc.Client, call *rpc.Call, timeout time.Duration) (ended bool, err error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
	case <-timer.C:
		return false, nil
	}
	var refusal rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &refusal) {
		l.Drop(client)
	}
	return true, errors.Wrapf(call.Error, "%s at instance %s", call.ServiceMethod, l.address)
}

// Drop closes a connection that has failed.
func (l *Line) Drop(client *rpc.Client) {
	l.mu.Lock()
	if l.client == client {
		l.client = nil
	}
	l.mu.Unlock()
	_ = client.Close()
}

// Close closes the connection and opens no further one.
func (l *Line) Close() {
	l.mu.Lock()
	l.closed = true
	client := l.client
	l.client = nil
	l.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}

// present returns the open connection, nothing, or why none may be opened now.
func (l *Line) present() (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errors.Errorf("connect to instance %s: the line is closed", l.address)
	}
	if l.client == nil && time.Since(l.failedAt) < redialPause {
		return nil, errors.Errorf("connect to instance %s: waiting before the next try", l.address)
	}
	return l.client, nil
}
