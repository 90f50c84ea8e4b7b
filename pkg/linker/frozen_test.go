package linker

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	callTimeout = 200 * time.Millisecond
	// callTolerance is how much later than its timeout a call may end on a busy machine.
	callTolerance = 300 * time.Millisecond
)

// frozenListener accepts connections as the kernel does for a process that is paused: nothing is read or written on them, until it
// continues as a server.
func frozenListener(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// acceptOne accepts the first connection up to the end of its handshake, and reads nothing more.
func acceptOne(t *testing.T, l *Linker, listener net.Listener) {
	t.Helper()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = l.secret.serverHandshake(conn)
	}()
}

func checkDuration(t *testing.T, what string, startedAt time.Time) {
	t.Helper()
	if took := time.Since(startedAt); took > callTimeout+callTolerance {
		t.Errorf("%s took %v, want at most its timeout of %v", what, took, callTimeout)
	}
}

// A call to a paused instance without an open connection lasted 3.15 s whatever its timeout, since that did not cover the handshake. Entry
// instances, which ask the control instances one after the other, learned of documents and orders too late.
func TestCallTimeoutCoversConnecting(t *testing.T) {
	cases := []struct {
		name    string
		callers int
	}{
		{"one caller", 1},
		{"callers that wait for the same connection", 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			peer := New(NewSecret("c", nil)).NewPeer(frozenListener(t).Addr().String())
			defer peer.Close()
			var group sync.WaitGroup
			for i := range c.callers {
				group.Go(func() {
					startedAt := time.Now()
					if err := peer.Call("Echo.Size", []byte("x"), new(int), callTimeout); err == nil {
						t.Error("a call to a paused instance succeeded")
					}
					checkDuration(t, fmt.Sprintf("call %d", i), startedAt)
				})
			}
			group.Wait()
			startedAt := time.Now()
			_ = peer.Call("Echo.Size", []byte("x"), new(int), callTimeout)
			checkDuration(t, "a later call", startedAt)
		})
	}
}

// A connection that takes longer than the timeout of a call stays, so that the next call finds it.
func TestConnectionOutlivesCallThatWaitedForIt(t *testing.T) {
	listener := frozenListener(t)
	l := New(NewSecret("c", nil))
	peer := l.NewPeer(listener.Addr().String())
	defer peer.Close()
	if err := peer.Call("Echo.Size", []byte("x"), new(int), callTimeout); err == nil {
		t.Fatal("a call to a paused instance succeeded")
	}
	server, err := l.Serve(listener, map[string]any{"Echo": Echo{}})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	var size int
	if err := peer.Call("Echo.Size", []byte("xyz"), &size, callTimeout); err != nil || size != 3 {
		t.Errorf("after the instance continued: got %d bytes and error %v, want 3 bytes", size, err)
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if len(server.conns) != 1 {
		t.Errorf("got %d connections, want 1", len(server.conns))
	}
}

// The peer pauses after the handshake and does not read, so that the sending of a large call blocks. The calls behind it time out as well.
func TestCallTimeoutCoversSending(t *testing.T) {
	listener := frozenListener(t)
	l := New(NewSecret("c", nil))
	acceptOne(t, l, listener)
	peer := l.NewPeer(listener.Addr().String())
	defer peer.Close()
	if _, err := peer.Client(time.Second); err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			startedAt := time.Now()
			if err := peer.Call("Echo.Size", make([]byte, 16<<20), new(int), callTimeout); err == nil {
				t.Error("a call to a paused instance succeeded")
			}
			checkDuration(t, "a call whose sending blocks", startedAt)
		})
	}
	group.Wait()
}

// A call whose connection turns out to be closed is made again within the same time, also if the instance is paused by then.
func TestCallTimeoutCoversSecondTry(t *testing.T) {
	listener := frozenListener(t)
	l := New(NewSecret("c", nil))
	acceptOne(t, l, listener)
	peer := l.NewPeer(listener.Addr().String())
	defer peer.Close()
	client, err := peer.Client(time.Second)
	if err != nil {
		t.Fatal(err)
	}
	_ = client.Close()
	startedAt := time.Now()
	if err := peer.Call("Echo.Size", []byte("x"), new(int), callTimeout); err == nil {
		t.Error("a call to a paused instance succeeded")
	}
	checkDuration(t, "a call that was made again", startedAt)
}
