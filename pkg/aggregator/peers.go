// Peers keeps a connection and the health of each instance that can gather
// slices for this one. A background loop opens the connections, so that no
// query waits for one, and probes unavailable peers until they recover.

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
	// checkInterval is how often peers that are unavailable or have no connection are checked.
	checkInterval = 100 * time.Millisecond
	// pingTimeout bounds a probe. It covers a round trip between regions and a short stall of the processor at the peer.
	pingTimeout = 300 * time.Millisecond
	// maxConcurrentChecks bounds the checks, each of which may open a connection, that run at once.
	maxConcurrentChecks = 4

	callGather      = "Aggregator.Gather"
	callMore        = "Aggregator.More"
	callDrop        = "Aggregator.Drop"
	callPing        = "Aggregator.Ping"
	callRelay       = "Aggregator.Relay"
	callCancelRelay = "Aggregator.CancelRelay"
)

type (
	// Peers are the instances that can gather slices for this one.
	Peers struct {
		linker *linker.Linker
		now    func() time.Duration
		log    logr.Logger
		// onFailure, unless nil, is called with each instance that a query found to be unavailable.
		onFailure  func(instance string)
		mu         sync.Mutex
		peers      map[string]*peer
		stop       chan struct{}
		group      conc.WaitGroup
		checkSlots chan struct{}
		// isCheckOfAllDue is set if the next checks are of all peers, also of those that are available.
		isCheckOfAllDue bool
	}

	peer struct {
		conn  *linker.Peer
		state slicer.Peer
		// isChecking is set while a check of the peer is queued or running.
		isChecking bool
		// declines is set if the last answer of the peer was that it takes no work. It may stop, and still serve what nobody else can.
		declines bool
	}

	// Call is a slice that another instance gathers.
	Call struct {
		peers    *Peers
		instance string
		client   *rpc.Client
		id       SliceID
	}
)

// NewPeers returns an empty set of peers. The function now returns the time since a fixed start.
func NewPeers(l *linker.Linker, now func() time.Duration, log logr.Logger) *Peers {
	return &Peers{
		linker: l, now: now, log: log, peers: map[string]*peer{}, stop: make(chan struct{}), checkSlots: make(chan struct{}, maxConcurrentChecks),
	}
}

// SetFailureHandler sets a function that is called with each instance that a query found to be unavailable. It must be called before
// Run.
func (p *Peers) SetFailureHandler(notify func(instance string)) { p.onFailure = notify }

// CheckAll has all peers asked soon whether they take work. Without it, a peer that takes no work any more is noticed when it is used.
func (p *Peers) CheckAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCheckOfAllDue = true
}

// Suspect marks a peer as unavailable on the report of another instance. The peer gets no slices until a probe succeeds.
func (p *Peers) Suspect(instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if target := p.peers[instance]; target != nil && target.state.IsAvailable() {
		target.state.Suspect(p.now())
		p.log.Info("aggregator: instance left out", "peer", instance, "cause", "another instance found it silent")
	}
}

// mostUnavailable reports whether more than half of the peers are unavailable, which suggests a fault of this instance.
func (p *Peers) mostUnavailable() bool {
	unavailable := 0
	for _, target := range p.peers {
		if !target.state.IsAvailable() {
			unavailable++
		}
	}
	return 2*unavailable > len(p.peers)
}

// Run starts to check the peers in the background, until Close.
func (p *Peers) Run() { p.group.Go(p.run) }

// Close stops the checks and closes the connections.
func (p *Peers) Close() {
	close(p.stop)
	p.group.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, target := range p.peers {
		target.conn.Close()
	}
}

// SetPeers replaces the set of peers with the given addresses, keyed by instance name.
func (p *Peers) SetPeers(addresses map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, target := range p.peers {
		if addresses[name] != target.conn.Address() {
			target.conn.Close()
			delete(p.peers, name)
		}
	}
	for name, address := range addresses {
		if p.peers[name] == nil {
			p.peers[name] = &peer{conn: p.linker.NewPeer(address)}
		}
	}
}

// IsAvailable reports whether a slice can be handed to the instance at once.
func (p *Peers) IsAvailable(instance string) bool {
	return p.availableClient(instance) != nil
}

// IsLastResort reports whether the instance takes no work, but answers, so that a relayed request that no other instance takes can be
// offered to it at once.
func (p *Peers) IsLastResort(instance string) bool {
	return !p.IsAvailable(instance) && p.relayClient(instance) != nil
}

// Gather hands a slice to the instance and calls done with its first report, or an error, from another goroutine. If the
// instance is unavailable or has no open connection, Gather returns nil and sends nothing.
func (p *Peers) Gather(instance string, query SliceQuery, done func(Report, error)) *Call {
	client := p.availableClient(instance)
	if client == nil {
		return nil
	}
	c := &Call{peers: p, instance: instance, client: client, id: query.SliceID()}
	// The call blocks while the peer does not read from the connection.
	go c.await(callGather, query, done)
	return c
}

// availableClient returns the open connection to an instance that takes work, or nil.
func (p *Peers) availableClient(instance string) *rpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	target := p.peers[instance]
	if target == nil || !target.state.IsAvailable() {
		return nil
	}
	return target.conn.CurrentClient()
}

// Instance returns the name of the instance that gathers the slice.
func (c *Call) Instance() string { return c.instance }

// NextReport requests the next report and calls done with it, or an error, from another goroutine.
func (c *Call) NextReport(done func(Report, error)) { go c.await(callMore, c.id, done) }

// Cancel ends the slice. If cancelAttempts is set, the attempts at the leafs are cancelled as well.
func (c *Call) Cancel(cancelAttempts bool) {
	go func() {
		// On error the slice still ends at its deadline.
		_ = c.client.Call(callDrop, DropQuery{SliceID: c.id, Cut: cancelAttempts}, &struct{}{})
	}()
}

// MarkUnavailable marks the instance as unavailable because a report is overdue, and closes its connection, so that other queries
// stop using it too.
func (c *Call) MarkUnavailable() {
	c.peers.onConnectionFailure(c.instance, c.client, "no report in time")
}

func (c *Call) await(method string, query any, done func(Report, error)) {
	var report Report
	if err := c.client.Call(method, query, &report); err != nil {
		c.peers.onConnectionFailure(c.instance, c.client, err.Error())
		done(Report{}, err)
		return
	}
	if report.Leaving || report.IsCutOff || report.NotRun != "" {
		c.peers.onDeclined(c.instance)
	} else {
		c.peers.onReport(c.instance)
	}
	done(report, nil)
}

func (p *Peers) onReport(instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if target := p.peers[instance]; target != nil && target.state.IsAvailable() {
		target.state.OnReport()
	}
}

// onConnectionFailure closes a failed connection and marks the instance as unavailable, unless it has a newer connection.
func (p *Peers) onConnectionFailure(instance string, client *rpc.Client, cause string) {
	p.mu.Lock()
	target := p.peers[instance]
	if target == nil || target.conn.CurrentClient() != client {
		p.mu.Unlock()
		_ = client.Close()
		return
	}
	target.conn.Drop(client)
	shouldNotify := p.markUnavailable(instance, target, cause)
	p.mu.Unlock()
	p.notify(instance, shouldNotify)
}

// onDeclined marks an instance that takes no new slices as unavailable. The slices that it already has continue.
func (p *Peers) onDeclined(instance string) {
	p.mu.Lock()
	shouldNotify := false
	if target := p.peers[instance]; target != nil && target.state.IsAvailable() {
		target.declines = true
		shouldNotify = p.markUnavailable(instance, target, "it takes no slices")
	}
	p.mu.Unlock()
	p.notify(instance, shouldNotify)
}

// markUnavailable marks an instance as unavailable and reports whether to notify the other instances. It does not if the
// instance already was unavailable or if most peers are.
func (p *Peers) markUnavailable(instance string, target *peer, cause string) bool {
	if !target.state.OnFailure(p.now()) {
		return false
	}
	p.log.Info("aggregator: instance left out", "peer", instance, "cause", cause)
	return !p.mostUnavailable()
}

func (p *Peers) notify(instance string, shouldNotify bool) {
	if shouldNotify && p.onFailure != nil {
		p.onFailure(instance)
	}
}

func (p *Peers) run() {
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(checkInterval):
		}
		for name, target := range p.peersToCheck() {
			p.checkSlots <- struct{}{}
			p.group.Go(func() {
				defer func() { <-p.checkSlots }()
				p.check(name, target)
			})
		}
	}
}

// peersToCheck returns the peers that need a connection or are due for a probe, and marks them as being checked.
func (p *Peers) peersToCheck() map[string]*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	due := map[string]*peer{}
	isCheckOfAllDue := p.isCheckOfAllDue
	p.isCheckOfAllDue = false
	for name, target := range p.peers {
		isDue := isCheckOfAllDue || target.conn.CurrentClient() == nil
		if !target.state.IsAvailable() {
			isDue = target.state.ShouldProbe(now)
		}
		if isDue && !target.isChecking {
			target.isChecking = true
			due[name] = target
		}
	}
	return due
}

// check pings a peer, opening its connection if needed, and updates its health. Like a query, it notifies the other instances of a
// connection that failed, but not of one that could not be opened: the peer may not have started yet.
func (p *Peers) check(name string, target *peer) {
	var ready bool
	_, connectErr := target.conn.Client(pingTimeout)
	err := connectErr
	if err == nil {
		err = target.conn.Call(callPing, struct{}{}, &ready, pingTimeout)
	}
	// The reply to a call that timed out may still be written.
	isReady := err == nil && ready
	p.notify(name, p.onChecked(name, target, isReady, err) && connectErr == nil && err != nil)
}

// onChecked records the result of a check and reports whether the peer was available until now and most others are.
func (p *Peers) onChecked(name string, target *peer, isReady bool, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	target.isChecking, target.declines = false, err == nil && !isReady
	if !isReady {
		return p.markUnavailable(name, target, failureCause(err))
	}
	if !target.state.IsAvailable() {
		p.log.Info("aggregator: instance used again", "peer", name)
	}
	target.state.OnRecovery()
	return false
}

func failureCause(err error) string {
	if err == nil {
		return "it takes no slices"
	}
	return err.Error()
}
