package controller

import (
	"sync"

	"github.com/sourcegraph/conc"

	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/timeliner"
)

// outbox sends the messages of the replicated log to one node, in batches. A
// batch that fails is dropped: the replicator sends again what matters.
type outbox struct {
	peer    *peer
	stamp   func() timeliner.Stamp
	mu      sync.Mutex
	wake    *sync.Cond
	waiting []replicator.Message
	closed  bool
}

func newOutbox(p *peer, stamp func() timeliner.Stamp, group *conc.WaitGroup) *outbox {
	o := &outbox{peer: p, stamp: stamp}
	o.wake = sync.NewCond(&o.mu)
	group.Go(o.run)
	return o
}

func (o *outbox) add(message replicator.Message) {
	o.mu.Lock()
	if len(o.waiting) < outboxLimit {
		o.waiting = append(o.waiting, message)
	}
	o.mu.Unlock()
	o.wake.Signal()
}

func (o *outbox) close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.wake.Signal()
	o.peer.close()
}

func (o *outbox) run() {
	for {
		o.mu.Lock()
		for !o.closed && len(o.waiting) == 0 {
			o.wake.Wait()
		}
		messages, closed := o.waiting, o.closed
		o.waiting = nil
		o.mu.Unlock()
		if closed {
			return
		}
		_ = o.peer.call("Step", StepQuery{Messages: messages, Stamp: o.stamp()}, &struct{}{}, stepTimeout)
	}
}
