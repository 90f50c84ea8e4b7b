// Peers holds a connection to each instance that gathers shards for this one,
// and what is known of them. Connections are opened beside the queries; one
// that is silent is asked again and again whether it is back.

package aggregator

import (
	"net/rpc"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/slicer"
)

const (
	// look is how often peers without a connection and silent ones are looked at.
	look = 100 * time.Millisecond
	// pingTimeout bounds the question whether a peer is back: the way between regions and a hiccup of its processor.
	pingTimeout = 300 * time.Millisecond
	// opensAtOnce bounds the connections that are opened at one time.
	opensAtOnce = 4

	callGather = "Aggregator.Gather"
	callMore   = "Aggregator.More"
	callDrop   = "Aggregator.Drop"
	callPing   = "Aggregator.Ping"
)

type (
	// Peers are the instances that gather for this one.
	Peers struct {
		linker *linker.Linker
		now    func() time.Duration
		log    logr.Logger
		// onSilent is told of each instance that was found silent; nil tells nobody.
		onSilent func(instance string)
		mu       sync.Mutex
		peers    map[string]*peer
		stop     chan struct{}
		group    conc.WaitGroup
		opens    chan struct{}
	}

	peer struct {
		line  *linker.Peer
		state slicer.Peer
		// busy tells that the peer is being asked, or its connection opened.
		busy bool
	}

	// Call is a slice at another instance.
	Call struct {
		peers    *Peers
		instance string
		client   *rpc.Client
		id       SliceID
	}
)

// NewPeers returns an empty set of peers; Run keeps their connections, and Close ends them.
func NewPeers(l *linker.Linker, now func() time.Duration, log logr.Logger) *Peers {
	return &Peers{
		linker: l, now: now, log: log, peers: map[string]*peer{}, stop: make(chan struct{}), opens: make(chan struct{}, opensAtOnce),
	}
}

// OnSilent sets who is told of each instance that was found silent by a query; it is set before Run.
func (p *Peers) OnSilent(tell func(instance string)) { p.onSilent = tell }

// Doubt takes another instance's word that a peer is silent: it gets no slices until it answers that it takes them.
func (p *Peers) Doubt(instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.peers[instance]; known != nil && known.state.IsAvailable() {
		known.state.Suspect(p.now())
		p.log.Info("aggregator: instance left out", "peer", instance, "cause", "another instance found it silent")
	}
}

// mostSilent tells whether more than half of the peers are silent, which points to this instance.
func (p *Peers) mostSilent() bool {
	silent := 0
	for _, known := range p.peers {
		if !known.state.IsAvailable() {
			silent++
		}
	}
	return 2*silent > len(p.peers)
}

// Run opens connections until Close.
func (p *Peers) Run() { p.group.Go(p.loop) }

// Close closes the connections.
func (p *Peers) Close() {
	close(p.stop)
	p.group.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.peers {
		known.line.Close()
	}
}

// Set takes the addresses of the instances that gather for this one, by name.
func (p *Peers) Set(addresses map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, known := range p.peers {
		if addresses[name] != known.line.Address() {
			known.line.Close()
			delete(p.peers, name)
		}
	}
	for name, address := range addresses {
		if p.peers[name] == nil {
			p.peers[name] = &peer{line: p.linker.NewPeer(address)}
		}
	}
}

// Usable tells whether a slice can be handed to the instance at once.
func (p *Peers) Usable(instance string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.peers[instance]
	return known != nil && known.state.IsAvailable() && known.line.CurrentClient() != nil
}

// Gather hands a slice to the instance. The first report, or an error, goes to done from another goroutine. It returns nil
// where the instance cannot be reached at once; nothing was sent then.
func (p *Peers) Gather(instance string, query SliceQuery, done func(Report, error)) *Call {
	p.mu.Lock()
	known := p.peers[instance]
	var client *rpc.Client
	if known != nil && known.state.IsAvailable() {
		client = known.line.CurrentClient()
	}
	p.mu.Unlock()
	if client == nil {
		return nil
	}
	c := &Call{peers: p, instance: instance, client: client, id: query.Name()}
	// A peer that does not read blocks the writer.
	go c.await(callGather, query, done)
	return c
}

// Instance returns the name of the instance that gathers the slice.
func (c *Call) Instance() string { return c.instance }

// More asks for the next report, which goes to done.
func (c *Call) More(done func(Report, error)) { go c.await(callMore, c.id, done) }

// Drop ends the slice; cut ends the work at the leafs as well.
func (c *Call) Drop(cut bool) {
	go func() {
		// A slice that cannot be dropped ends by its own time limit.
		_ = c.client.Call(callDrop, DropQuery{SliceID: c.id, Cut: cut}, &struct{}{})
	}()
}

// Silent notes that the instance did not report in time: its connection is closed, so that other queries turn elsewhere too.
func (c *Call) Silent() { c.peers.lost(c.instance, c.client, "no report in time") }

func (c *Call) await(method string, query any, done func(Report, error)) {
	var report Report
	if err := c.client.Call(method, query, &report); err != nil {
		c.peers.lost(c.instance, c.client, err.Error())
		done(Report{}, err)
		return
	}
	if report.Leaving || report.NotRun != "" {
		c.peers.leave(c.instance)
	} else {
		c.peers.reported(c.instance)
	}
	done(report, nil)
}

func (p *Peers) reported(instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.peers[instance]; known != nil && known.state.IsAvailable() {
		known.state.OnReport()
	}
}

// lost notes a failure of one connection; a later connection to the same instance is not concerned.
func (p *Peers) lost(instance string, client *rpc.Client, cause string) {
	p.mu.Lock()
	known := p.peers[instance]
	if known == nil || known.line.CurrentClient() != client {
		p.mu.Unlock()
		_ = client.Close()
		return
	}
	known.line.Drop(client)
	tell := p.leaveOut(instance, known, cause)
	p.mu.Unlock()
	p.tell(instance, tell)
}

// leave notes that an instance takes no slices for the moment; what it has goes on.
func (p *Peers) leave(instance string) {
	p.mu.Lock()
	tell := false
	if known := p.peers[instance]; known != nil && known.state.IsAvailable() {
		tell = p.leaveOut(instance, known, "it takes no slices")
	}
	p.mu.Unlock()
	p.tell(instance, tell)
}

// leaveOut marks an instance as silent, and tells whether the others should hear of it.
func (p *Peers) leaveOut(instance string, known *peer, cause string) bool {
	if !known.state.OnFailure(p.now()) {
		return false
	}
	p.log.Info("aggregator: instance left out", "peer", instance, "cause", cause)
	return !p.mostSilent()
}

func (p *Peers) tell(instance string, tell bool) {
	if tell && p.onSilent != nil {
		p.onSilent(instance)
	}
}

func (p *Peers) loop() {
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(look):
		}
		for name, known := range p.idle() {
			p.opens <- struct{}{}
			p.group.Go(func() {
				defer func() { <-p.opens }()
				p.ask(name, known)
			})
		}
	}
}

// idle returns the peers that need a connection, or to be asked whether they are back, and marks them as busy.
func (p *Peers) idle() map[string]*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	idle := map[string]*peer{}
	for name, known := range p.peers {
		wanted := known.line.CurrentClient() == nil
		if !known.state.IsAvailable() {
			wanted = known.state.ShouldProbe(now)
		}
		if wanted && !known.busy {
			known.busy = true
			idle[name] = known
		}
	}
	return idle
}

// ask opens the connection to a peer and asks whether it takes slices.
func (p *Peers) ask(name string, known *peer) {
	var ready bool
	err := known.line.Call(callPing, struct{}{}, &ready, pingTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	known.busy = false
	if err != nil || !ready {
		if known.state.OnFailure(p.now()) {
			p.log.Info("aggregator: instance left out", "peer", name, "ready", ready, "cause", causeOf(err))
		}
		return
	}
	if !known.state.IsAvailable() {
		p.log.Info("aggregator: instance used again", "peer", name)
	}
	known.state.OnRecovery()
}

func causeOf(err error) string {
	if err == nil {
		return "it takes no slices"
	}
	return err.Error()
}
