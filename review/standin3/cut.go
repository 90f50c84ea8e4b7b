package main

import (
	"bytes"
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

const (
	// cutCheckInterval is the time between two checks whether a cut has healed.
	cutCheckInterval = 5 * time.Millisecond
	// nameOverlap is how much of the former bytes is searched again for a name.
	nameOverlap = 4096
	// renewCall is the name of a call that only entry instances make. Its arguments begin with the name of the instance.
	renewCall = "Control.Renew"
)

type (
	// cut is a silent partition between one entry and all control instances.
	cut struct {
		entry     string
		isActive  atomic.Bool
		stop      chan struct{}
		listeners []net.Listener
	}

	// cutConn is one connection through a proxy. It is the entry's once its name has passed.
	cutConn struct {
		cut      *cut
		isEntrys atomic.Bool
	}
)

func newCut(entry string) *cut { return &cut{entry: entry, stop: make(chan struct{})} }

// guard has all calls of other processes to a control instance pass through a proxy.
func (c *cut) guard(p *process) error {
	p.links = fmt.Sprintf("%s:%d", p.stage.host(50+len(c.listeners)), p.stage.internalPort)
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", p.host, p.stage.internalPort))
	if err != nil {
		return err
	}
	c.listeners = append(c.listeners, listener)
	go func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			go c.relay(caller, p.links)
		}
	}()
	return nil
}

func (c *cut) relay(caller net.Conn, target string) {
	server, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = caller.Close()
		return
	}
	conn := &cutConn{cut: c}
	go conn.forward(caller, server, false)
	conn.forward(server, caller, true)
}

// forward copies bytes from one end to the other, and holds them while the entry is cut off.
func (c *cutConn) forward(to, from net.Conn, isFromCaller bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer, tail := make([]byte, 32<<10), []byte(nil)
	for {
		n, err := from.Read(buffer)
		if isFromCaller && !c.isEntrys.Load() {
			seen := append(tail, buffer[:n]...)
			if bytes.Contains(seen, []byte(renewCall)) && bytes.Contains(seen, []byte(c.cut.entry)) {
				c.isEntrys.Store(true)
			}
			tail = append([]byte(nil), seen[max(0, len(seen)-nameOverlap):]...)
		}
		for c.isEntrys.Load() && c.cut.isActive.Load() {
			select {
			case <-c.cut.stop:
				return
			case <-time.After(cutCheckInterval):
			}
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (c *cut) close() {
	close(c.stop)
	for _, listener := range c.listeners {
		_ = listener.Close()
	}
}
