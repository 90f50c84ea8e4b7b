// A link gathers what goes to one fellow while calls are under way, so that
// batches grow with the load and a lone request leaves at once.

package fellow

import (
	"net/rpc"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/tabulator"
)

const (
	wrongIncarnation = "wrong incarnation"
	maxCallsAtOnce   = 4
	maxBatchItems    = 256
	callTimeout      = time.Second
	lowestAckTime    = 20 * time.Millisecond
	highestAckTime   = 100 * time.Millisecond
	ackTimeFactor    = 5
	ackGain          = 0.1
	probePause       = 60 * time.Millisecond
)

type (
	// Lost is told which asks did not get through, and whether they may have.
	Lost func(asks []Ask, maybeReceived bool, reason string)

	// Link sends to one incarnation of one fellow.
	Link struct {
		line    *linker.Peer
		self    tabulator.MemberID
		address string
		peer    tabulator.MemberID
		lost    Lost

		mu       sync.Mutex
		wake     *sync.Cond
		asks     []Ask
		cancels  []uint64
		replies  []Reply
		sequence uint64
		closed   bool
		group    conc.WaitGroup
		ackTime  time.Duration
		silent   bool
		probing  bool
		probe    bool
	}
)

// NewLink returns a link from self, reachable at address, to a fellow.
func NewLink(l *linker.Linker, self tabulator.MemberID, address string, peer tabulator.Member, lost Lost) *Link {
	return newLink(l, self, address, peer.ID(), peer.FellowAddress(), lost)
}

// NewReturnLink returns a link to the sender of a batch.
func NewReturnLink(l *linker.Linker, self tabulator.MemberID, address string, peer tabulator.MemberID, target string, lost Lost) *Link {
	return newLink(l, self, address, peer, target, lost)
}

func newLink(l *linker.Linker, self tabulator.MemberID, address string, peer tabulator.MemberID, target string, lost Lost) *Link {
	link := &Link{
		line: l.NewPeer(target), self: self, address: address, peer: peer, lost: lost,
		// Sequence numbers go on from the clock, so that a later link of this incarnation uses none of them again.
		sequence: uint64(time.Now().UnixNano()),
	}
	link.wake = sync.NewCond(&link.mu)
	for range maxCallsAtOnce {
		link.group.Go(link.run)
	}
	return link
}

// Peer returns the incarnation that the link sends to.
func (l *Link) Peer() tabulator.MemberID { return l.peer }

// Ask queues a request.
func (l *Link) Ask(ask Ask) {
	l.add(func() { l.asks = append(l.asks, ask) })
}

// Cancel queues a cancellation.
func (l *Link) Cancel(id uint64) {
	l.add(func() { l.cancels = append(l.cancels, id) })
}

// Reply queues a reply.
func (l *Link) Reply(reply Reply) {
	l.add(func() { l.replies = append(l.replies, reply) })
}

// Call makes one call beside the batches.
func (l *Link) Call(method string, query, reply any) error {
	return l.line.Call("Fellow."+method, query, reply, callTimeout)
}

// CallFor makes one call that may take up to timeout.
func (l *Link) CallFor(timeout time.Duration, method string, query, reply any) error {
	return l.line.Call("Fellow."+method, query, reply, timeout)
}

// Close drops what is queued and ends the link.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.wake.Broadcast()
	l.mu.Unlock()
	l.line.Close()
	l.group.Wait()
}

func (l *Link) add(queue func()) {
	l.mu.Lock()
	queue()
	l.mu.Unlock()
	l.wake.Signal()
}

func (l *Link) run() {
	for {
		batch, ok := l.take()
		if !ok {
			return
		}
		l.send(batch)
	}
}

func (l *Link) take() (Batch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed && !l.probe && len(l.asks)+len(l.cancels)+len(l.replies) == 0 {
		l.wake.Wait()
	}
	if l.closed {
		return Batch{}, false
	}
	l.probe = false
	l.sequence++
	batch := Batch{From: l.self, Address: l.address, To: l.peer, Sequence: l.sequence}
	batch.Asks, l.asks = split(l.asks)
	batch.Cancels, l.cancels = split(l.cancels)
	batch.Replies, l.replies = split(l.replies)
	return batch, true
}

// send makes one call. The call only hands the batch over, so a fellow that does not return from it soon is
// silent, and what was asked of it may be asked elsewhere.
func (l *Link) send(batch Batch) {
	client, err := l.line.Client()
	if err != nil {
		l.setSilent()
		l.report(batch.Asks, false, ReasonUnreachable)
		return
	}
	begun := time.Now()
	call := client.Go("Fellow.Exchange", batch, &struct{}{}, make(chan *rpc.Call, 1))
	inTime, err := l.line.AwaitFor(client, call, l.patience())
	if !inTime {
		l.setSilent()
		l.report(batch.Asks, true, ReasonSilent)
		batch.Asks = nil
		err = l.line.AwaitOrDrop(client, call, callTimeout)
	}
	if err == nil {
		l.onAck(time.Since(begun))
		return
	}
	l.setSilent()
	var serverError rpc.ServerError
	refused := errors.As(err, &serverError) && strings.Contains(err.Error(), wrongIncarnation)
	l.report(batch.Asks, !refused, ReasonUnreachable)
}

// Silent tells whether the fellow has not taken what was last sent to it.
func (l *Link) Silent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// setSilent marks the fellow as silent and sends an empty batch after a pause, which ends the silence when it is taken.
func (l *Link) setSilent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
	if l.closed || l.probing {
		return
	}
	l.probing = true
	time.AfterFunc(probePause, func() {
		l.add(func() { l.probing, l.probe = false, l.silent })
	})
}

func (l *Link) onAck(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = false
	if l.ackTime == 0 {
		l.ackTime = took
	}
	l.ackTime += time.Duration(ackGain * float64(took-l.ackTime))
}

// patience returns how long a call may take before the fellow counts as silent.
func (l *Link) patience() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(lowestAckTime, min(highestAckTime, ackTimeFactor*l.ackTime))
}

func (l *Link) report(asks []Ask, maybeReceived bool, reason string) {
	if len(asks) > 0 && l.lost != nil {
		l.lost(asks, maybeReceived, reason)
	}
}

func split[T any](items []T) (batch, rest []T) {
	if len(items) <= maxBatchItems {
		return items, nil
	}
	return items[:maxBatchItems], items[maxBatchItems:]
}
