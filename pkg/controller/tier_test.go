// The tests run real control instances on real files, under the clock of a
// synctest bubble and a network in memory that cuts instances off silently.

package controller

import (
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/journaler"
	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/timeliner"
)

const testCluster = "test"

type (
	memoryNetwork struct {
		mu        sync.Mutex
		listeners map[string]*memoryListener
		isolated  map[string]bool
	}

	memoryListener struct {
		conns  chan net.Conn
		closed chan struct{}
		once   sync.Once
	}

	memoryConn struct {
		net.Conn
		network  *memoryNetwork
		from, to string
	}

	testTier struct {
		t       *testing.T
		network *memoryNetwork
		folder  string
		begun   time.Time
		names   []string
		nodes   map[string]*testInstance
		clients []*Client
	}

	testInstance struct {
		folder  string
		journal *journaler.Journaler
		server  *Server
		served  *linker.Server
	}
)

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{listeners: map[string]*memoryListener{}, isolated: map[string]bool{}}
}

func (n *memoryNetwork) listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	listener := &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = listener
	return listener
}

func (n *memoryNetwork) dialer(from string) linker.Dial {
	return func(address string, timeout time.Duration) (net.Conn, error) {
		n.mu.Lock()
		listener := n.listeners[address]
		n.mu.Unlock()
		if listener == nil {
			return nil, errors.Errorf("dial %s: refused", address)
		}
		if n.cut(from, address) {
			time.Sleep(timeout)
			return nil, errors.Errorf("dial %s: timeout", address)
		}
		near, far := net.Pipe()
		select {
		case listener.conns <- &memoryConn{Conn: far, network: n, from: address, to: from}:
			return &memoryConn{Conn: near, network: n, from: from, to: address}, nil
		case <-listener.closed:
			return nil, errors.Errorf("dial %s: refused", address)
		case <-time.After(timeout):
			return nil, errors.Errorf("dial %s: timeout", address)
		}
	}
}

func (n *memoryNetwork) cut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated[from] || n.isolated[to]
}

func (n *memoryNetwork) isolate(name string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[name] = isolated
}

// Write loses what is written while either end is isolated.
func (c *memoryConn) Write(p []byte) (int, error) {
	if c.network.cut(c.from, c.to) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

func newTestTier(t *testing.T, size int) *testTier {
	t.Helper()
	tier := &testTier{t: t, network: newMemoryNetwork(), folder: t.TempDir(), begun: time.Now(), nodes: map[string]*testInstance{}}
	for i := range size {
		tier.names = append(tier.names, fmt.Sprintf("control-%d", i+1))
	}
	for _, name := range tier.names {
		tier.nodes[name] = &testInstance{folder: filepath.Join(tier.folder, name)}
		if _, err := journaler.Format(tier.nodes[name].folder, testCluster, name, true); err != nil {
			t.Fatal(err)
		}
		tier.start(name)
	}
	return tier
}

func (tier *testTier) now() time.Duration { return time.Since(tier.begun) }

func (tier *testTier) linker(name string) *linker.Linker {
	return linker.New(linker.NewSecret(testCluster, []byte("key")), linker.WithDial(tier.network.dialer(name)))
}

func (tier *testTier) start(name string) {
	tier.t.Helper()
	node := tier.nodes[name]
	journal, saved, err := journaler.Open(node.folder, testCluster, name)
	if err != nil {
		tier.t.Fatal(err)
	}
	var founders []replicator.NodeID
	addresses := map[string]string{}
	for _, other := range tier.names {
		addresses[other] = other
		if journal.Identity().Disk == journaler.FirstDisk {
			founders = append(founders, journaler.NodeID(other, journaler.FirstDisk))
		}
	}
	link := tier.linker(name)
	server, err := NewServer(ServerConfig{
		Instance: name, Node: journal.Identity().Node(), Founders: founders, Addresses: addresses, Linker: link, Store: journal,
		Saved: saved, Now: tier.now, Random: rand.New(rand.NewPCG(uint64(len(name)), uint64(name[len(name)-1]))),
		Timeline: timeliner.New(name, time.Now),
	})
	if err != nil {
		tier.t.Fatal(err)
	}
	served, err := link.Serve(tier.network.listen(name), map[string]any{"Control": NewService(server)})
	if err != nil {
		tier.t.Fatal(err)
	}
	server.Run()
	node.journal, node.server, node.served = journal, server, served
}

// stop ends an instance without a word to the others.
func (tier *testTier) stop(name string) {
	tier.t.Helper()
	node := tier.nodes[name]
	if node.server == nil {
		return
	}
	node.server.Close()
	node.served.Close()
	if err := node.journal.Close(); err != nil {
		tier.t.Error(err)
	}
	node.server = nil
}

func (tier *testTier) close() {
	for _, client := range tier.clients {
		client.Close()
	}
	for _, name := range tier.names {
		tier.stop(name)
	}
	// Calls under way end with their time-outs.
	time.Sleep(time.Minute)
}

// loseDisk replaces the folder of a stopped instance by a fresh one and returns its new node.
func (tier *testTier) loseDisk(name string) replicator.NodeID {
	tier.t.Helper()
	tier.stop(name)
	node := tier.nodes[name]
	node.folder += "-new"
	identity, err := journaler.Format(node.folder, testCluster, name, false)
	if err != nil {
		tier.t.Fatal(err)
	}
	tier.start(name)
	return identity.Node()
}

// repair makes a fresh node a voter and removes the lost one.
func (tier *testTier) repair(client *Client, fresh, lost replicator.NodeID) {
	tier.t.Helper()
	tier.until("the fresh node follows", func() bool {
		reply, err := client.Configure(ActionAddLearner, fresh)
		return err == nil && reply.Refused == "" && !reply.Unknown
	})
	tier.until("the fresh node votes", func() bool {
		reply, err := client.Configure(ActionPromote, fresh)
		return err == nil && reply.Refused == "" && !reply.Unknown
	})
	tier.until("the lost node is removed", func() bool {
		reply, err := client.Configure(ActionRemove, lost)
		return err == nil && reply.Refused == "" && !reply.Unknown
	})
}

// entry returns a client that holds, or tries to hold, a lease; it begins at the given control instance.
func (tier *testTier) entry(name string, addresses ...string) *Client {
	if len(addresses) == 0 {
		addresses = tier.names
	}
	client := NewClient(ClientConfig{
		Member:    tabulator.MemberFields{Instance: name, Incarnation: uint64(time.Now().UnixNano()), DataCentre: "d"},
		Addresses: addresses, Linker: tier.linker(name), Now: tier.now, Random: rand.New(rand.NewPCG(3, 4)),
		Timeline: timeliner.New(name, time.Now), OnView: func(*tabulator.View) {},
	})
	client.Run()
	tier.clients = append(tier.clients, client)
	return client
}

func (tier *testTier) until(what string, done func() bool) {
	tier.t.Helper()
	for range 400 {
		if done() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	tier.t.Fatalf("not within 20 s: %s", what)
}

func (tier *testTier) leader() string {
	tier.t.Helper()
	found := ""
	tier.until("there is a leader", func() bool {
		for _, name := range tier.names {
			node := tier.nodes[name]
			if node.server == nil || tier.network.cut(name, name) {
				continue
			}
			var reply StatusReply
			if NewService(node.server).Status(StatusQuery{}, &reply) == nil && reply.Status.Role == replicator.RoleLeader && reply.Status.Commit > 0 {
				found = name
				return true
			}
		}
		return false
	})
	return found
}

func (tier *testTier) other(than string) string {
	for _, name := range tier.names {
		if name != than {
			return name
		}
	}
	return ""
}

func rowChange(id string, base uint64, slots int) tabulator.ChangeRows {
	return tabulator.ChangeRows{ChangeID: id, Operator: id, Rows: []tabulator.RowFields{{
		Service: "s", DataCentre: "d", Weight: 1, Slots: slots, Connections: 9, DeadlineMs: 50, State: tabulator.StateIn, Revision: base,
	}}}
}

// put sends a change, again while its outcome is unknown or refused, and returns its result.
func (tier *testTier) put(client *Client, change tabulator.Command) tabulator.Result {
	tier.t.Helper()
	var result tabulator.Result
	tier.until("the change has an outcome", func() bool {
		reply, err := client.Propose(change)
		result = reply.Result
		return err == nil && !reply.Unknown && reply.Refused == ""
	})
	return result
}
