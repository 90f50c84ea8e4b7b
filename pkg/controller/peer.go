package controller

import (
	"time"

	"lovagedeck/pkg/linker"
)

const (
	outboxLimit  = 4096
	stepTimeout  = time.Second
	reachTimeout = 700 * time.Millisecond
)

// peer is the way to one control instance.
type peer struct {
	line *linker.Peer
}

func newPeer(l *linker.Linker, address string) *peer {
	return &peer{line: l.NewPeer(address)}
}

func (p *peer) call(method string, query, reply any, timeout time.Duration) error {
	return p.line.Call("Control."+method, query, reply, timeout)
}

func (p *peer) address() string { return p.line.Address() }

func (p *peer) close() { p.line.Close() }
