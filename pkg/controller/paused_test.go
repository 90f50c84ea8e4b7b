package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/tabulator"
)

// pause lets a name that is no instance accept connections as the kernel does for a process that is paused.
func (n *memoryNetwork) pause(name string) {
	listener := n.listen(name)
	go func() {
		for {
			if _, err := listener.Accept(); err != nil {
				return
			}
		}
	}()
}

// Two of five control instances are paused. An entry instance that asked them first got a lease, and an operator an answer, only after
// the time limits of two handshakes.
func TestPausedControlInstancesDelayNobodyForLong(t *testing.T) {
	// The commit of a change, and the wait for a renewal, take less than the margin.
	const margin = 500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		tier := newTestTier(t, 3)
		defer tier.close()
		tier.waitForLeader()
		paused := []string{"paused-1", "paused-2"}
		for _, name := range paused {
			tier.network.pause(name)
			defer func() { _ = tier.network.listeners[name].Close() }()
		}
		startedAt := tier.now()
		entry := tier.newEntryClient("entry-1", append(paused, tier.names...)...)
		tier.waitUntil("entry instance holds a lease", func() bool { return entry.LeaseHeld(tier.now()) })
		if took := tier.now() - startedAt; took > 2*renewalTimeout+margin {
			t.Errorf("the first lease took %v, want at most %v", took, 2*renewalTimeout+margin)
		}
		operators := NewClient(entry.config)
		operators.peers.setAddresses(append(paused, tier.names...))
		calls := []struct {
			name string
			call func() error
		}{
			{"a change", func() error {
				reply, err := operators.Propose(rowChange("c-1", 0, 2))
				if err == nil && reply.Result.Verdict != tabulator.VerdictAccepted {
					return errors.Errorf("got reply %+v", reply)
				}
				return err
			}},
			{"an outcome", func() error {
				_, err := operators.Lookup("c-1")
				return err
			}},
			{"the history", func() error {
				_, err := operators.History()
				return err
			}},
			{"the instances that act on a change", func() error {
				_, err := operators.InForce(1)
				return err
			}},
		}
		for _, c := range calls {
			operators.peers.peers = nil
			operators.peers.currentIndex = 0
			operators.peers.add(append(paused, tier.names...))
			startedAt := tier.now()
			if err := c.call(); err != nil {
				t.Errorf("%s: got error %v", c.name, err)
			}
			if took := tier.now() - startedAt; took > 2*askInterval+margin {
				t.Errorf("%s took %v, want at most %v", c.name, took, 2*askInterval+margin)
			}
		}
	})
}

// One control instance did not answer and another refused: the command may be accepted, and must not be reported as refused.
func TestRefusalDoesNotHideUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newTestTier(t, 3)
		defer tier.close()
		// The only control instance that answers has no leader.
		tier.network.pause("paused-1")
		defer func() { _ = tier.network.listeners["paused-1"].Close() }()
		tier.stop("control-2")
		tier.stop("control-3")
		client := tier.newEntryClient("entry-1", "paused-1", "control-1")
		reply, err := client.Propose(rowChange("c-1", 0, 2))
		if err == nil || !reply.Unknown {
			t.Errorf("got reply %+v and error %v, want an unknown outcome", reply, err)
		}
	})
}
