package controller

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/promoter"
	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/timeliner"
)

const (
	// defaultRenewalInterval applies until a renewal reply sets another interval.
	defaultRenewalInterval = 300 * time.Millisecond
	renewalTimeout         = 600 * time.Millisecond
	retryInterval          = 50 * time.Millisecond
	// initialRenewalInterval applies until the instance has a leaf roster, without which it cannot serve requests.
	initialRenewalInterval = 40 * time.Millisecond
	operatorCallTimeout    = 3 * time.Second
)

type (
	// ClientConfig configures a Client.
	ClientConfig struct {
		// Member is the registration of the entry instance.
		Member tabulator.MemberFields
		// Addresses are the initial addresses of control instances.
		Addresses []string
		Linker    *linker.Linker
		// Now returns the time of a monotonic clock.
		Now      func() time.Duration
		Random   *rand.Rand
		Timeline *timeliner.Timeline
		// OnView receives each new view before the lease is extended.
		OnView func(view *tabulator.View)
		// OnRoster receives each newer leaf roster from a renewal reply. It may be nil.
		OnRoster func(roster lister.Roster)
		// OnRosterRead receives the stamp of the current roster, and when the list was last read with its content, after each renewal. It
		// reports whether that roster is in use; otherwise OnRoster receives it. It may be nil.
		OnRosterRead func(stamp lister.RosterStamp, readAt time.Duration) (isInUse bool)
		// OnLeaseChange is called when the lease is acquired or lost. It may be nil.
		OnLeaseChange func(isHeld bool)
		// CountRequests returns the number of requests of this instance in the last window. If nil, 0 is reported.
		CountRequests func() int
		// CollectEvidence returns what this instance has seen of the roll-outs that run. It may be nil.
		CollectEvidence func() []promoter.Evidence
		// OnTotalRequests receives the number of requests of all entry instances in the last window. It may be nil.
		OnTotalRequests func(total int)
	}

	// Client renews the lease of an entry instance and forwards operator commands to the control instances. A view is passed
	// to OnView before the lease is extended, so an instance never holds a lease while acting on a table older than the lease.
	Client struct {
		config          ClientConfig
		peers           peerList
		rosterStore     *lister.RosterStore
		renewalInterval time.Duration
		mu              sync.Mutex
		view            *tabulator.View
		lease           assigner.Lease
		leaseEnd        atomic.Int64
		wasLeaseHeld    bool
		stop            chan struct{}
		stopOnce        sync.Once
		group           conc.WaitGroup
	}
)

// NewClient returns a client without a lease. Run starts the renewals.
func NewClient(config ClientConfig) *Client {
	client := &Client{config: config, view: tabulator.NewView(), renewalInterval: defaultRenewalInterval, rosterStore: lister.NewRosterStore(config.Now), stop: make(chan struct{})}
	client.peers.linker = config.Linker
	client.peers.setAddresses(config.Addresses)
	client.peers.shuffle(config.Random)
	return client
}

// Run starts a goroutine that renews the lease until Close.
func (c *Client) Run() { c.group.Go(c.renewLoop) }

// Close stops the renewals and lets the lease expire.
func (c *Client) Close() {
	c.stopOnce.Do(func() { close(c.stop) })
	c.peers.close()
	c.group.Wait()
}

// AddAddresses adds addresses to the known control instances.
func (c *Client) AddAddresses(addresses []string) { c.peers.add(addresses) }

// LeaseHeld reports whether the lease is valid at time now.
func (c *Client) LeaseHeld(now time.Duration) bool { return int64(now) < c.leaseEnd.Load() }

// RosterReadAt returns when a control instance last read the current leaf roster, and false before the first roster.
func (c *Client) RosterReadAt() (time.Duration, bool) { return c.rosterStore.LastReadAt() }

// View returns the view in use at this instance.
func (c *Client) View() *tabulator.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Propose submits a command to the control instances, as askAny does, until one answers without a refusal. A command that reaches two of
// them takes effect once, by its change ID.
func (c *Client) Propose(command tabulator.Command) (ProposeReply, error) {
	data, err := tabulator.Encode(command)
	if err != nil {
		return ProposeReply{}, err
	}
	var mayBeAccepted atomic.Bool
	reply, err := askAny(c, func(p *peer) (ProposeReply, error) {
		var reply ProposeReply
		if err := p.call("Propose", ProposeQuery{Command: data}, &reply, operatorCallTimeout); err != nil {
			mayBeAccepted.Store(true)
			return ProposeReply{}, err
		}
		if reply.Refused != "" {
			return reply, errors.New(reply.Refused)
		}
		return reply, nil
	})
	if err != nil && mayBeAccepted.Load() {
		// The refusal of one control instance says nothing about one that did not answer.
		return ProposeReply{Unknown: true}, err
	}
	return reply, err
}

// Lookup returns the recorded outcome of a change, or an error if no majority confirmed that the read is fresh.
func (c *Client) Lookup(changeID string) (LookupReply, error) {
	return askAny(c, func(p *peer) (LookupReply, error) {
		var reply LookupReply
		if err := p.call("Lookup", LookupQuery{ChangeID: changeID}, &reply, operatorCallTimeout); err != nil {
			return LookupReply{}, err
		}
		return reply, checkFresh(reply.Fresh)
	})
}

// History returns the operator changes, oldest first, or an error if no majority confirmed that the read is fresh.
func (c *Client) History() (HistoryReply, error) {
	return askAny(c, func(p *peer) (HistoryReply, error) {
		var reply HistoryReply
		if err := p.call("History", HistoryQuery{}, &reply, operatorCallTimeout); err != nil {
			return HistoryReply{}, err
		}
		return reply, checkFresh(reply.Fresh)
	})
}

// InForce returns how many entry instances act on a view of at least the given revision.
func (c *Client) InForce(revision uint64) (InForceReply, error) {
	return askAny(c, func(p *peer) (InForceReply, error) {
		var reply InForceReply
		if err := p.call("InForce", InForceQuery{Revision: revision}, &reply, operatorCallTimeout); err != nil {
			return InForceReply{}, err
		}
		if reply.Refused != "" {
			return reply, errors.New(reply.Refused)
		}
		return reply, nil
	})
}

// Configure adds, promotes or removes one control node.
func (c *Client) Configure(action ConfigAction, node replicator.NodeID) (ConfigReply, error) {
	err := errNoControlInstance
	for _, p := range c.peers.all() {
		var reply ConfigReply
		if err = p.call("Configure", ConfigQuery{Action: action, Node: node}, &reply, operatorCallTimeout); err == nil {
			return reply, nil
		}
	}
	return ConfigReply{}, err
}

// Statuses returns the status of each control instance that answers, keyed by address.
func (c *Client) Statuses() map[string]StatusReply {
	statuses := map[string]StatusReply{}
	var mu sync.Mutex
	var group conc.WaitGroup
	for _, p := range c.peers.all() {
		group.Go(func() {
			var reply StatusReply
			if err := p.call("Status", StatusQuery{}, &reply, peerCallTimeout); err != nil {
				return
			}
			mu.Lock()
			statuses[p.address()] = reply
			mu.Unlock()
		})
	}
	group.Wait()
	return statuses
}

// Leave gives up the lease and removes this member after it has handed over its leafs.
func (c *Client) Leave() {
	member := c.config.Member
	c.stopOnce.Do(func() { close(c.stop) })
	c.leaseEnd.Store(0)
	_, _ = c.Propose(tabulator.Remove{Instance: member.Instance, Incarnation: member.Incarnation, Reason: tabulator.RemovedLeft})
}

func (c *Client) renewLoop() {
	for {
		interval := c.nextInterval()
		oldRevision := c.View().TableRevision()
		err := c.renew()
		if oldRevision != c.View().TableRevision() {
			// Renew immediately, so that the control instance learns that the new revision is in force here.
			interval = 0
		}
		if err != nil {
			interval = retryInterval
			c.peers.advance(c.config.Now())
		}
		c.reportLeaseChange()
		select {
		case <-c.stop:
			return
		case <-time.After(interval):
		}
	}
}

func (c *Client) nextInterval() time.Duration {
	if c.config.OnRoster != nil && c.rosterStore.Stamp() == (lister.RosterStamp{}) {
		return initialRenewalInterval
	}
	return c.renewalInterval
}

func (c *Client) renew() error {
	p, ok := c.peers.current()
	if !ok {
		return errors.New("renew: no control instance is known")
	}
	view := c.View()
	query := RenewQuery{Member: c.config.Member, Have: view.Revision(), Roster: c.rosterStore.Stamp(), Stamp: c.config.Timeline.Now()}
	if c.config.CountRequests != nil {
		query.Requests = c.config.CountRequests()
	}
	if c.config.CollectEvidence != nil {
		query.Rollouts = c.config.CollectEvidence()
	}
	sentAt := c.config.Now()
	var reply RenewReply
	if err := p.call("Renew", query, &reply, renewalTimeout); err != nil {
		if now := c.config.Now(); now-sentAt >= renewalTimeout {
			c.peers.leaveOut(p, now)
		}
		return err
	}
	c.config.Timeline.Observe(reply.Stamp)
	if !reply.Granted {
		return errors.Errorf("renew: %s", reply.Reason)
	}
	newView, err := view.Apply(reply.Delta)
	if err != nil {
		c.requestFullView()
		return err
	}
	if newView != view {
		c.setView(newView)
	}
	c.applyReply(reply, sentAt)
	select {
	case <-c.stop:
		return errors.New("renew: the instance is leaving")
	default:
	}
	c.lease.Renew(sentAt)
	c.leaseEnd.Store(int64(c.lease.ExpiresAt()))
	return nil
}

// applyReply applies the parts of the reply to a renewal sent at sentAt other than the view.
func (c *Client) applyReply(reply RenewReply, sentAt time.Duration) {
	if reply.Renewal > 0 {
		c.renewalInterval = reply.Renewal
	}
	if len(reply.Control) > 0 {
		c.peers.setAddresses(reply.Control)
	}
	isNew := c.rosterStore.Apply(reply.Roster)
	c.rosterStore.Confirm(reply.Reading, sentAt)
	c.passOnRoster(isNew)
	if c.config.OnTotalRequests != nil {
		c.config.OnTotalRequests(reply.Requests)
	}
}

// passOnRoster passes on a new roster, and otherwise when the current one was last read.
func (c *Client) passOnRoster(isNew bool) {
	if c.config.OnRoster == nil {
		return
	}
	if readAt, isKnown := c.rosterStore.LastReadAt(); !isNew && isKnown && c.config.OnRosterRead != nil {
		isNew = !c.config.OnRosterRead(c.rosterStore.Stamp(), readAt)
	}
	if isNew {
		c.config.OnRoster(c.rosterStore.FullRoster())
	}
}

func (c *Client) setView(view *tabulator.View) {
	c.mu.Lock()
	hasNewTable := view.TableRevision() != c.view.TableRevision()
	c.view = view
	c.mu.Unlock()
	c.config.OnView(view)
	if hasNewTable {
		c.config.Timeline.Add("table-in-force", c.config.Member.Instance, "revision "+formatRevision(view.TableRevision()))
	}
}

// requestFullView makes the next renewal request the full view. The current view stays in use until then.
func (c *Client) requestFullView() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = c.view.ForResync()
}

func (c *Client) reportLeaseChange() {
	isHeld := c.LeaseHeld(c.config.Now())
	if isHeld == c.wasLeaseHeld {
		return
	}
	c.wasLeaseHeld = isHeld
	if c.config.OnLeaseChange != nil {
		c.config.OnLeaseChange(isHeld)
	}
	if isHeld {
		c.config.Timeline.Add("lease-held", c.config.Member.Instance, "ready")
		return
	}
	c.config.Timeline.Add("lease-lost", c.config.Member.Instance, "not ready: no majority confirmed a renewal")
}

func checkFresh(isFresh bool) error {
	if isFresh {
		return nil
	}
	return errors.New("no majority of the control instances confirmed the reading")
}

func formatRevision(revision uint64) string { return strconv.FormatUint(revision, 10) }
