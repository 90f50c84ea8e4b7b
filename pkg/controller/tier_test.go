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
	// memoryNetwork connects instances by pipes. Connections of an isolated instance, and between instances on the two sides of a
	// partition, stay open but carry no data.
	memoryNetwork struct {
		mu            sync.Mutex
		listeners     map[string]*memoryListener
		isolatedNames map[string]bool
		// farSide lists the instances on one side of a partition. All others are on the other side.
		farSide map[string]bool
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

	// testTier runs control instances on real files, with the clock of a synctest bubble and a network in memory.
	testTier struct {
		t         *testing.T
		network   *memoryNetwork
		folder    string
		startedAt time.Time
		names     []string
		instances map[string]*testInstance
		clients   []*Client
		// discovery returns how an instance finds the others. If nil, each is told the names of all.
		discovery func(name string) *Discovery
		skipsSync bool
	}

	testInstance struct {
		folder    string
		disk      testDisk
		journal   *journaler.Journaler
		server    *Server
		rpcServer *linker.Server
	}
)

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{listeners: map[string]*memoryListener{}, isolatedNames: map[string]bool{}}
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
		if n.isCut(from, address) {
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

func (n *memoryNetwork) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolatedNames[from] || n.isolatedNames[to] || n.farSide[from] != n.farSide[to]
}

func (n *memoryNetwork) setIsolated(name string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolatedNames[name] = isolated
}

// Write discards the data while either end is isolated.
func (c *memoryConn) Write(p []byte) (int, error) {
	if c.network.isCut(c.from, c.to) {
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
	tier := &testTier{t: t, network: newMemoryNetwork(), folder: t.TempDir(), startedAt: time.Now(), instances: map[string]*testInstance{}}
	for i := range size {
		tier.names = append(tier.names, fmt.Sprintf("control-%d", i+1))
	}
	for _, name := range tier.names {
		tier.add(name, true)
	}
	return tier
}

// add starts an instance with an empty disk.
func (tier *testTier) add(name string, isBootstrap bool) {
	tier.t.Helper()
	tier.instances[name] = &testInstance{folder: filepath.Join(tier.folder, name), disk: testDisk{skipsSync: tier.skipsSync}}
	if _, err := journaler.Format(tier.instances[name].folder, testCluster, name, isBootstrap); err != nil {
		tier.t.Fatal(err)
	}
	tier.start(name)
}

func (tier *testTier) now() time.Duration { return time.Since(tier.startedAt) }

func (tier *testTier) newLinker(name string) *linker.Linker {
	return linker.New(linker.NewSecret(testCluster, []byte("key")), linker.WithDial(tier.network.dialer(name)))
}

func (tier *testTier) start(name string) {
	tier.t.Helper()
	instance := tier.instances[name]
	journal, saved, err := journaler.Open(instance.folder, testCluster, name, journaler.WithCreate(instance.disk.create))
	if err != nil {
		tier.t.Fatal(err)
	}
	var initialVoters []replicator.NodeID
	addresses := map[string]string{}
	for _, other := range tier.names {
		addresses[other] = other
		if journal.Identity().Disk == journaler.BootstrapDisk {
			initialVoters = append(initialVoters, journaler.NodeID(other, journaler.BootstrapDisk))
		}
	}
	link := tier.newLinker(name)
	config := ServerConfig{
		Instance: name, Node: journal.Identity().Node(), InitialVoters: initialVoters, Addresses: addresses, Linker: link, Store: journal,
		Saved: saved, Now: tier.now, Random: rand.New(rand.NewPCG(uint64(len(name)), uint64(name[len(name)-1]))),
		Timeline: timeliner.New(name, time.Now),
	}
	if tier.discovery != nil {
		config.Discovery, config.Addresses = tier.discovery(name), nil
		if journal.Identity().Disk == journaler.BootstrapDisk {
			config.InitialVoters = []replicator.NodeID{config.Node}
		}
	}
	server, err := NewServer(config)
	if err != nil {
		tier.t.Fatal(err)
	}
	rpcServer, err := link.Serve(tier.network.listen(name), map[string]any{"Control": NewService(server)})
	if err != nil {
		tier.t.Fatal(err)
	}
	server.Run()
	instance.journal, instance.server, instance.rpcServer = journal, server, rpcServer
}

// stop closes an instance without notifying the others.
func (tier *testTier) stop(name string) {
	tier.t.Helper()
	instance := tier.instances[name]
	if instance.server == nil {
		return
	}
	instance.server.Close()
	instance.rpcServer.Close()
	if err := instance.journal.Close(); err != nil {
		tier.t.Error(err)
	}
	instance.server = nil
}

func (tier *testTier) close() {
	for _, client := range tier.clients {
		client.Close()
	}
	for _, name := range tier.names {
		tier.stop(name)
	}
	// Wait for the timeouts of calls in progress.
	time.Sleep(time.Minute)
}

// replaceDisk stops an instance, restarts it with an empty data folder and returns its new node identifier.
func (tier *testTier) replaceDisk(name string) replicator.NodeID {
	tier.t.Helper()
	tier.stop(name)
	instance := tier.instances[name]
	instance.folder += "-new"
	identity, err := journaler.Format(instance.folder, testCluster, name, false)
	if err != nil {
		tier.t.Fatal(err)
	}
	tier.start(name)
	return identity.Node()
}

// replaceVoter makes newNode a voter and removes oldNode.
func (tier *testTier) replaceVoter(client *Client, newNode, oldNode replicator.NodeID) {
	tier.t.Helper()
	tier.waitUntil("new node added as learner", func() bool {
		reply, err := client.Configure(ActionAddLearner, newNode)
		return err == nil && reply.Refused == "" && !reply.Unknown
	})
	tier.waitUntil("new node promoted", func() bool {
		reply, err := client.Configure(ActionPromote, newNode)
		return err == nil && reply.Refused == "" && !reply.Unknown
	})
	tier.waitUntil("old node removed", func() bool {
		reply, err := client.Configure(ActionRemove, oldNode)
		return err == nil && reply.Refused == "" && !reply.Unknown
	})
}

// newEntryClient returns a running client of the given control instances, or of all if none are given.
func (tier *testTier) newEntryClient(name string, addresses ...string) *Client {
	if len(addresses) == 0 {
		addresses = tier.names
	}
	client := NewClient(ClientConfig{
		Member:    tabulator.MemberFields{Instance: name, Incarnation: uint64(time.Now().UnixNano()), DataCentre: "d"},
		Addresses: addresses, Linker: tier.newLinker(name), Now: tier.now, Random: rand.New(rand.NewPCG(3, 4)),
		Timeline: timeliner.New(name, time.Now), OnView: func(*tabulator.View) {},
	})
	client.Run()
	tier.clients = append(tier.clients, client)
	return client
}

func (tier *testTier) waitUntil(condition string, isMet func() bool) {
	tier.t.Helper()
	for range 400 {
		if isMet() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	tier.t.Fatalf("condition not met within 20 s: %s", condition)
}

func (tier *testTier) waitForLeader() string {
	tier.t.Helper()
	leader := ""
	tier.waitUntil("leader elected", func() bool {
		for _, name := range tier.names {
			instance := tier.instances[name]
			if instance.server == nil || tier.network.isCut(name, name) {
				continue
			}
			var reply StatusReply
			if NewService(instance.server).Status(StatusQuery{}, &reply) == nil && reply.Status.Role == replicator.RoleLeader && reply.Status.Commit > 0 {
				leader = name
				return true
			}
		}
		return false
	})
	return leader
}

func (tier *testTier) anyOtherThan(excluded string) string {
	for _, name := range tier.names {
		if name != excluded {
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

// propose sends a change, repeats it while the outcome is unknown or refused, and returns the result.
func (tier *testTier) propose(client *Client, command tabulator.Command) tabulator.Result {
	tier.t.Helper()
	var result tabulator.Result
	tier.waitUntil("change has an outcome", func() bool {
		reply, err := client.Propose(command)
		result = reply.Result
		return err == nil && !reply.Unknown && reply.Refused == ""
	})
	return result
}
