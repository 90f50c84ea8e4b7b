package linker

import (
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const redialBackoff = 50 * time.Millisecond

type (
	// Peer is a remote instance with one connection, which is opened on demand and reopened after a failure.
	Peer struct {
		linker  *Linker
		address string
		mu      sync.Mutex
		client  *rpc.Client
		// connecting is the connection that is being opened, or nil.
		connecting *connecting
		failedAt   time.Time
		closed     bool
	}

	// connecting is the opening of a connection, which all callers wait for, each for as long as it can.
	connecting struct {
		done   chan struct{}
		client *rpc.Client
		err    error
	}
)

// NewPeer returns the peer at address without opening a connection.
func (l *Linker) NewPeer(address string) *Peer { return &Peer{linker: l, address: address} }

// Address returns the address of the peer.
func (p *Peer) Address() string { return p.address }

// Client returns the client of the open connection, or opens a connection and waits for it for at most timeout. A process that is paused
// accepts connections and does not answer the handshake. Client returns an error after Close, if dialing fails, and for redialBackoff after
// dialing has failed.
func (p *Peer) Client(timeout time.Duration) (*rpc.Client, error) {
	client, opening, err := p.clientOrConnecting()
	if client != nil || err != nil {
		return client, err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-opening.done:
		return opening.client, opening.err
	case <-timer.C:
		return nil, errors.Errorf("connect to instance %s: no connection within %s", p.address, timeout)
	}
}

// clientOrConnecting returns the client of the open connection, or the connection that is being opened, or an error if none may be opened.
func (p *Peer) clientOrConnecting() (*rpc.Client, *connecting, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return nil, nil, errors.Errorf("connect to instance %s: the line is closed", p.address)
	case p.client != nil:
		return p.client, nil, nil
	case p.connecting != nil:
		return nil, p.connecting, nil
	case time.Since(p.failedAt) < redialBackoff:
		return nil, nil, errors.Errorf("connect to instance %s: waiting before the next try", p.address)
	}
	p.connecting = &connecting{done: make(chan struct{})}
	go p.connect(p.connecting)
	return nil, p.connecting, nil
}

// connect opens a connection. It goes on after all callers have given up, so that the next ones find the connection.
func (p *Peer) connect(opening *connecting) {
	opening.client, opening.err = p.linker.Connect(p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(opening.done)
	p.connecting = nil
	switch {
	case opening.err != nil:
		p.failedAt = time.Now()
	case p.closed:
		_ = opening.client.Close()
		opening.client, opening.err = nil, errors.Errorf("connect to instance %s: the line is closed", p.address)
	default:
		p.client = opening.client
	}
}

// CurrentClient returns the client of the open connection without blocking, or nil if none is open.
func (p *Peer) CurrentClient() *rpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.client
}

// Call makes a call and waits for it for at most timeout, which covers the opening of a connection. If the connection turns out to be
// closed, the call was not sent and is made once more on a new connection within the same time. A call that may have been sent is not
// repeated.
func (p *Peer) Call(method string, query, reply any, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	err := p.call(method, query, reply, deadline)
	if errors.Is(err, rpc.ErrShutdown) {
		return p.call(method, query, reply, deadline)
	}
	return err
}

func (p *Peer) call(method string, query, reply any, deadline time.Time) error {
	client, err := p.Client(time.Until(deadline))
	if err != nil {
		return err
	}
	call := p.Go(client, method, query, reply, time.Until(deadline))
	return p.AwaitOrDrop(client, call, time.Until(deadline))
}

// Go starts a call. Sending it blocks while the peer does not read from the connection, which is closed if that lasts longer than timeout.
func (p *Peer) Go(client *rpc.Client, method string, query, reply any, timeout time.Duration) *rpc.Call {
	timer := time.AfterFunc(timeout, func() { p.Drop(client) })
	defer timer.Stop()
	return client.Go(method, query, reply, make(chan *rpc.Call, 1))
}

// AwaitOrDrop waits for a call to complete. If it does not complete within timeout, it closes the connection and returns an
// error.
func (p *Peer) AwaitOrDrop(client *rpc.Client, call *rpc.Call, timeout time.Duration) error {
	completed, err := p.AwaitFor(client, call, timeout)
	if completed {
		return err
	}
	p.Drop(client)
	return errors.Errorf("%s at instance %s: no answer within %s", call.ServiceMethod, p.address, timeout)
}

// AwaitFor waits for a call to complete and reports whether it did within timeout. It closes a connection that has failed.
func (p *Peer) AwaitFor(client *rpc.Client, call *rpc.Call, timeout time.Duration) (completed bool, err error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
	case <-timer.C:
		return false, nil
	}
	// An error of the remote method leaves the connection usable.
	var serverError rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &serverError) {
		p.Drop(client)
	}
	return true, errors.Wrapf(call.Error, "%s at instance %s", call.ServiceMethod, p.address)
}

// Drop closes a connection that has failed, so that the next call opens a new one.
func (p *Peer) Drop(client *rpc.Client) {
	p.mu.Lock()
	if p.client == client {
		p.client = nil
	}
	p.mu.Unlock()
	_ = client.Close()
}

// Close closes the connection; calls to Client return an error from then on.
func (p *Peer) Close() {
	p.mu.Lock()
	p.closed = true
	client := p.client
	p.client = nil
	p.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}
