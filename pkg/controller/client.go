// Client holds the lease of an entry instance. The view of a renewal is in
// force at the instance before the lease is extended, so an instance never
// acts under a lease on a table older than that lease.

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
	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/timeliner"
)

const (
	renewInterval = 300 * time.Millisecond
	renewTimeout  = 600 * time.Millisecond
	retryInterval = 50 * time.Millisecond
	// firstRenewal is the pause between renewals until the instance has a list of leafs, without which it serves nobody.
	firstRenewal = 40 * time.Millisecond
	proposeWait  = 3 * time.Second
)

type (
	// ClientConfig is what a Client needs of its instance.
	ClientConfig struct {
		Member    tabulator.MemberFields
		Addresses []string
		Linker    *linker.Linker
		Now       func() time.Duration
		Random    *rand.Rand
		Timeline  *timeliner.Timeline
		OnView    func(view *tabulator.View)
		// OnRoster takes each newer list of leafs that comes with a renewal; nil drops it.
		OnRoster func(roster lister.Roster)
		// OnLease is told when the lease is lost or held again; nil is not told.
		OnLease func(held bool)
		// Requests tells how many requests the instance had in the last window; nil counts none.
		Requests func() int
		// OnRequests takes how many requests all instances had in it; nil drops that.
		OnRequests func(all int)
	}

	// Client renews the lease and passes on the commands of operators.
	Client struct {
		config   ClientConfig
		circle   circle
		board    *lister.RosterStore
		renewal  time.Duration
		mu       sync.Mutex
		view     *tabulator.View
		lease    assigner.Lease
		until    atomic.Int64
		held     bool
		stop     chan struct{}
		stopping sync.Once
		group    conc.WaitGroup
	}
)

// NewClient returns a client without a lease; Run starts the renewals.
func NewClient(config ClientConfig) *Client {
	client := &Client{config: config, view: tabulator.NewView(), renewal: renewInterval, board: lister.NewRosterStore(config.Now), stop: make(chan struct{})}
	client.circle.linker = config.Linker
	client.circle.replace(config.Addresses)
	client.circle.shuffle(config.Random)
	return client
}

// Run renews the lease until Close.
func (c *Client) Run() { c.group.Go(c.loop) }

// Close ends the renewals and leaves the lease to run out.
func (c *Client) Close() {
	c.stopping.Do(func() { close(c.stop) })
	c.circle.close()
	c.group.Wait()
}

// Suggest adds addresses of control instances to those that are asked.
func (c *Client) Suggest(addresses []string) { c.circle.add(addresses) }

// LeaseHeld tells whether the instance may act at now.
func (c *Client) LeaseHeld(now time.Duration) bool { return int64(now) < c.until.Load() }

// ListReadAt returns when the list of leafs that this instance was given was last read by a control instance; false
// before the first one.
func (c *Client) ListReadAt() (time.Duration, bool) { return c.board.LastReadAt() }

// View returns the view that is in force at this instance.
func (c *Client) View() *tabulator.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Propose passes a command to the control instances.
func (c *Client) Propose(command tabulator.Command) (ProposeReply, error) {
	data, err := tabulator.Encode(command)
	if err != nil {
		return ProposeReply{}, err
	}
	var reply ProposeReply
	err = c.anywhere(func(p *peer) error {
		reply = ProposeReply{}
		if err := p.call("Propose", ProposeQuery{Command: data}, &reply, proposeWait); err != nil {
			reply.Unknown = true
			return err
		}
		if reply.Refused != "" {
			return errors.New(reply.Refused)
		}
		return nil
	})
	return reply, err
}

// Lookup returns the recorded outcome of a change.
func (c *Client) Lookup(changeID string) (LookupReply, error) {
	var reply LookupReply
	err := c.anywhere(func(p *peer) error {
		reply = LookupReply{}
		if err := p.call("Lookup", LookupQuery{ChangeID: changeID}, &reply, proposeWait); err != nil {
			return err
		}
		return unlessFresh(reply.Fresh)
	})
	return reply, err
}

// History returns the changes of operators, oldest first.
func (c *Client) History() (HistoryReply, error) {
	var reply HistoryReply
	err := c.anywhere(func(p *peer) error {
		reply = HistoryReply{}
		if err := p.call("History", HistoryQuery{}, &reply, proposeWait); err != nil {
			return err
		}
		return unlessFresh(reply.Fresh)
	})
	return reply, err
}

// InForce tells how many entry instances act on a revision.
func (c *Client) InForce(revision uint64) (InForceReply, error) {
	var reply InForceReply
	err := c.anywhere(func(p *peer) error {
		reply = InForceReply{}
		if err := p.call("InForce", InForceQuery{Revision: revision}, &reply, proposeWait); err != nil {
			return err
		}
		if reply.Refused != "" {
			return errors.New(reply.Refused)
		}
		return nil
	})
	return reply, err
}

// Configure changes the control members by one.
func (c *Client) Configure(action ConfigAction, node replicator.NodeID) (ConfigReply, error) {
	var reply ConfigReply
	err := c.anywhere(func(p *peer) error {
		reply = ConfigReply{}
		return p.call("Configure", ConfigQuery{Action: action, Node: node}, &reply, proposeWait)
	})
	return reply, err
}

// Statuses returns the status of each control instance by address; one that does not answer has none.
func (c *Client) Statuses() map[string]StatusReply {
	statuses := map[string]StatusReply{}
	var mu sync.Mutex
	var group conc.WaitGroup
	for _, p := range c.circle.all() {
		group.Go(func() {
			var reply StatusReply
			if err := p.call("Status", StatusQuery{}, &reply, reachTimeout); err != nil {
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

// Leave tells the control instances that this member handed over its leafs.
func (c *Client) Leave() {
	member := c.config.Member
	c.stopping.Do(func() { close(c.stop) })
	c.until.Store(0)
	_, _ = c.Propose(tabulator.Remove{Instance: member.Instance, Incarnation: member.Incarnation, Reason: tabulator.RemovedLeft})
}

func (c *Client) loop() {
	for {
		pause := c.pause()
		revision := c.View().TableRevision()
		err := c.renew()
		if revision != c.View().TableRevision() {
			// The next renewal tells the control instance that the change is in force here.
			pause = 0
		}
		if err != nil {
			pause = retryInterval
			c.circle.advance()
		}
		c.noteLease()
		select {
		case <-c.stop:
			return
		case <-time.After(pause):
		}
	}
}

func (c *Client) pause() time.Duration {
	if c.config.OnRoster != nil && c.board.Stamp() == (lister.RosterStamp{}) {
		return firstRenewal
	}
	return c.renewal
}

func (c *Client) renew() error {
	peer, ok := c.circle.current()
	if !ok {
		return errors.New("renew: no control instance is known")
	}
	view := c.View()
	query := RenewQuery{Member: c.config.Member, Have: view.Revision(), Roster: c.board.Stamp(), Stamp: c.config.Timeline.Now()}
	if c.config.Requests != nil {
		query.Requests = c.config.Requests()
	}
	sentAt := c.config.Now()
	var reply RenewReply
	if err := peer.call("Renew", query, &reply, renewTimeout); err != nil {
		return err
	}
	c.config.Timeline.Observe(reply.Stamp)
	if !reply.Granted {
		return errors.Errorf("renew: %s", reply.Reason)
	}
	next, err := view.Apply(reply.Delta)
	if err != nil {
		c.forgetView()
		return err
	}
	if next != view {
		c.setView(next)
	}
	c.takeExtras(reply)
	select {
	case <-c.stop:
		return errors.New("renew: the instance is leaving")
	default:
	}
	c.lease.Renew(sentAt)
	c.until.Store(int64(c.lease.Until()))
	return nil
}

// takeExtras takes what comes along with a renewal beside the view.
func (c *Client) takeExtras(reply RenewReply) {
	if reply.Renewal > 0 {
		c.renewal = reply.Renewal
	}
	if len(reply.Control) > 0 {
		c.circle.replace(reply.Control)
	}
	if c.board.Apply(reply.Roster) && c.config.OnRoster != nil {
		c.config.OnRoster(c.board.FullRoster())
	}
	c.board.Confirm(reply.Reading)
	if c.config.OnRequests != nil {
		c.config.OnRequests(reply.Requests)
	}
}

func (c *Client) setView(next *tabulator.View) {
	c.mu.Lock()
	changed := next.TableRevision() != c.view.TableRevision()
	c.view = next
	c.mu.Unlock()
	c.config.OnView(next)
	if changed {
		c.config.Timeline.Add("table-in-force", c.config.Member.Instance, "revision "+formatRevision(next.TableRevision()))
	}
}

// forgetView makes the next renewal ask for the whole view; the one in force stays until then.
func (c *Client) forgetView() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = c.view.ForResync()
}

func (c *Client) noteLease() {
	held := c.LeaseHeld(c.config.Now())
	if held == c.held {
		return
	}
	c.held = held
	if c.config.OnLease != nil {
		c.config.OnLease(held)
	}
	if held {
		c.config.Timeline.Add("lease-held", c.config.Member.Instance, "ready")
		return
	}
	c.config.Timeline.Add("lease-lost", c.config.Member.Instance, "not ready: no majority confirmed a renewal")
}

// anywhere tries each control instance, the present one first.
func (c *Client) anywhere(try func(p *peer) error) error {
	err := errors.New("no control instance is known")
	for _, p := range c.circle.all() {
		if err = try(p); err == nil {
			return nil
		}
	}
	return err
}

func unlessFresh(fresh bool) error {
	if fresh {
		return nil
	}
	return errors.New("no majority of the control instances confirmed the reading")
}

func formatRevision(revision uint64) string { return strconv.FormatUint(revision, 10) }
