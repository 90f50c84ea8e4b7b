package controller

import (
	"sync"

	"github.com/sourcegraph/conc"

	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/timeliner"
)

// outbox sends replicated-log messages to one node in batches. A batch that fails is dropped, because the replicator
// retransmits what is still needed.
type outbox struct {
	peer     *peer
	stamp    func() timeliner.Timestamp
	mu       sync.Mutex
	cond     *sync.Cond
	queued   []replicator.Message
	isClosed bool
}

func newOutbox(p *peer, stamp func() timeliner.Timestamp, group *conc.WaitGroup) *outbox {
	o := &outbox{peer: p, stamp: stamp}
	o.cond = sync.NewCond(&o.mu)
	group.Go(o.run)
	return o
}

func (o *outbox) add(message replicator.Message) {
	o.mu.Lock()
	if len(o.queued) < maxOutboxMessages {
		o.queued = append(o.queued, message)
	}
	o.mu.Unlock()
	o.cond.Signal()
}

func (o *outbox) close() {
	o.mu.Lock()
	o.isClosed = true
	o.mu.Unlock()
	o.cond.Signal()
	o.peer.close()
}

func (o *outbox) run() {
	for {
		o.mu.Lock()
		for !o.isClosed && len(o.queued) == 0 {
			o.cond.Wait()
		}
		messages, isClosed := o.queued, o.isClosed
		o.queued = nil
		o.mu.Unlock()
		if isClosed {
			return
		}
		_ = o.peer.call("Step", StepQuery{Messages: messages, Stamp: o.stamp()}, &struct{}{}, stepTimeout)
	}
}
