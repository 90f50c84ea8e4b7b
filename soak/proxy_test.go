package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	modeForward proxyMode = iota
	// modeDelay forwards each chunk after forwardingDelay.
	modeDelay
	// modeBlock accepts connections but forwards nothing in either direction.
	modeBlock
	// modeBlockRequests forwards nothing from the caller to the server.
	modeBlockRequests
	// modeBlockResponses forwards nothing from the server to the caller.
	modeBlockResponses
)

const forwardingDelay = 40 * time.Millisecond

type (
	proxyMode int32

	// proxy forwards TCP connections to one server and can delay, block or reset them.
	proxy struct {
		listener net.Listener
		target   string
		mode     atomic.Int32
		mu       sync.Mutex
		conns    map[net.Conn]bool
		closed   bool
	}
)

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(mode proxyMode) { p.mode.Store(int32(mode)) }

// resetConnections closes every open connection with a TCP reset.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.resetConnections()
}

func (p *proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.relay(caller)
	}
}

func (p *proxy) relay(caller net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		if tcp, ok := caller.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = caller.Close()
		return
	}
	if !p.track(caller, server) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(server, caller, modeBlockRequests) })
	directions.Go(func() { p.forward(caller, server, modeBlockResponses) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, server)
	p.mu.Unlock()
}

func (p *proxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		if p.closed {
			_ = conn.Close()
			continue
		}
		p.conns[conn] = true
	}
	return !p.closed
}

// forward copies bytes from source to destination until either fails. While the mode is modeBlock or blockingMode, it keeps
// what it has read, so that bytes sent during a partition arrive after it has healed.
func (p *proxy) forward(destination io.WriteCloser, source io.ReadCloser, blockingMode proxyMode) {
	defer func() { _ = destination.Close() }()
	defer func() { _ = source.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := source.Read(buffer)
		for mode := p.currentMode(); mode == modeBlock || mode == blockingMode; mode = p.currentMode() {
			time.Sleep(10 * time.Millisecond)
			if p.isClosed() {
				return
			}
		}
		if p.currentMode() == modeDelay {
			time.Sleep(forwardingDelay)
		}
		if n > 0 {
			if _, err := destination.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) currentMode() proxyMode { return proxyMode(p.mode.Load()) }

func (p *proxy) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}
