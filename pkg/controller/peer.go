package controller

import (
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/linker"
)

const (
	outboxLimit  = 4096
	stepTimeout  = time.Second
	redialPause  = 100 * time.Millisecond
	reachTimeout = 700 * time.Millisecond
)

// peer is the way to one other control instance.
type peer struct {
	linker  *linker.Linker
	address string

	mu       sync.Mutex
	client   *rpc.Client
	failedAt time.Time
	dialing  chan struct{}
	closed   bool
}

func newPeer(l *linker.Linker, address string) *peer {
	return &peer{linker: l, address: address, dialing: make(chan struct{}, 1)}
}

// call makes one call and drops the connection when it fails for other reasons than the peer's own word.
func (p *peer) call(method string, query, reply any, timeout time.Duration) error {
	client, err := p.connect()
	if err != nil {
		return err
	}
	call := client.Go("Control."+method, query, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		var refusal rpc.ServerError
		if call.Error != nil && !errors.As(call.Error, &refusal) {
			p.drop(client)
		}
		return errors.Wrapf(call.Error, "%s at control instance %s", method, p.address)
	case <-timer.C:
		p.drop(client)
		return errors.Errorf("%s at control instance %s: no answer within %s", method, p.address, timeout)
	}
}

func (p *peer) connect() (*rpc.Client, error) {
	p.dialing <- struct{}{}
	defer func() { <-p.dialing }()
	p.mu.Lock()
	client, failedAt, closed := p.client, p.failedAt, p.closed
	p.mu.Unlock()
	if closed {
		return nil, errors.Errorf("connection to %s is closed", p.address)
	}
	if client != nil {
		return client, nil
	}
	if time.Since(failedAt) < redialPause {
		return nil, errors.Errorf("connect to %s: waiting before the next try", p.address)
	}
	client, err := p.linker.Connect(p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failedAt = time.Now()
		return nil, err
	}
	p.client = client
	return client, nil
}

func (p *peer) drop(client *rpc.Client) {
	p.mu.Lock()
	if p.client == client {
		p.client = nil
	}
	p.mu.Unlock()
	_ = client.Close()
}

func (p *peer) close() {
	p.mu.Lock()
	p.closed = true
	client := p.client
	p.client = nil
	p.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}
