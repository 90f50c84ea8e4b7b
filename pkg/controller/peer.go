package controller

import (
	"time"

	"lovagedeck/pkg/linker"
)

const (
	maxOutboxMessages = 4096
	stepTimeout       = time.Second
	peerCallTimeout   = 700 * time.Millisecond
)

// peer is a connection to one control instance.
type peer struct {
	conn *linker.Peer
}

func newPeer(l *linker.Linker, address string) *peer {
	return &peer{conn: l.NewPeer(address)}
}

func (p *peer) call(method string, query, reply any, timeout time.Duration) error {
	return p.conn.Call("Control."+method, query, reply, timeout)
}

func (p *peer) address() string { return p.conn.Address() }

func (p *peer) close() { p.conn.Close() }
