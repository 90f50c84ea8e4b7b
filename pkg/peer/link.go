// A link queues the requests, cancellations and replies for one peer while
// calls to it are in progress. Batches therefore grow with the load, and a
// single request is sent at once.

package peer

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
	wrongIncarnation   = "wrong incarnation"
	maxConcurrentCalls = 4
	maxBatchItems      = 256
	callTimeout        = time.Second
	// connectTimeout covers three round trips of 40 ms between regions and a short stall of the processor at the peer.
	connectTimeout   = 300 * time.Millisecond
	minAckTimeout    = 20 * time.Millisecond
	maxAckTimeout    = 100 * time.Millisecond
	ackTimeoutFactor = 5
	ackTimeWeight    = 0.1
	probeDelay       = 60 * time.Millisecond
)

type (
	// UndeliveredFunc handles requests that were not delivered. If maybeReceived is set, the peer may have received them nevertheless.
	UndeliveredFunc func(requests []Request, maybeReceived bool, reason string)

	// Link sends batches to one incarnation of one peer.
	Link struct {
		conn          *linker.Peer
		self          tabulator.MemberID
		selfAddress   string
		peer          tabulator.MemberID
		onUndelivered UndeliveredFunc

		mu               sync.Mutex
		hasWork          *sync.Cond
		requests         []Request
		cancels          []uint64
		replies          []Reply
		sequence         uint64
		isClosed         bool
		group            conc.WaitGroup
		meanAckTime      time.Duration
		isUnresponsive   bool
		isProbeScheduled bool
		isProbeDue       bool
	}
)

// NewLink returns a link to a peer. The peer sends its replies to self at selfAddress.
func NewLink(l *linker.Linker, self tabulator.MemberID, selfAddress string, peer tabulator.Member, onUndelivered UndeliveredFunc) *Link {
	return newLink(l, self, selfAddress, peer.ID(), peer.PeerAddress(), onUndelivered)
}

// NewReplyLink returns a link to the sender of a batch, which takes replies at peerAddress.
func NewReplyLink(l *linker.Linker, self tabulator.MemberID, selfAddress string, peer tabulator.MemberID, peerAddress string, onUndelivered UndeliveredFunc) *Link {
	return newLink(l, self, selfAddress, peer, peerAddress, onUndelivered)
}

func newLink(l *linker.Linker, self tabulator.MemberID, selfAddress string, peer tabulator.MemberID, peerAddress string, onUndelivered UndeliveredFunc) *Link {
	link := &Link{
		conn: l.NewPeer(peerAddress), self: self, selfAddress: selfAddress, peer: peer, onUndelivered: onUndelivered,
		// Sequence numbers start from the clock, so that later links of this incarnation do not repeat them.
		sequence: uint64(time.Now().UnixNano()),
	}
	link.hasWork = sync.NewCond(&link.mu)
	for range maxConcurrentCalls {
		link.group.Go(link.run)
	}
	return link
}

// Peer returns the peer and incarnation that the link sends to.
func (l *Link) Peer() tabulator.MemberID { return l.peer }

// QueueRequest queues a request for the next batch.
func (l *Link) QueueRequest(request Request) {
	l.enqueue(func() { l.requests = append(l.requests, request) })
}

// QueueCancel queues the cancellation of the request with the given ID for the next batch.
func (l *Link) QueueCancel(id uint64) {
	l.enqueue(func() { l.cancels = append(l.cancels, id) })
}

// QueueReply queues a reply for the next batch.
func (l *Link) QueueReply(reply Reply) {
	l.enqueue(func() { l.replies = append(l.replies, reply) })
}

// Call calls a method of the peer outside the batches, with the default timeout of 1 s.
func (l *Link) Call(method string, query, reply any) error {
	return l.conn.Call("Fellow."+method, query, reply, callTimeout)
}

// CallWithTimeout calls a method of the peer outside the batches, with the given timeout.
func (l *Link) CallWithTimeout(timeout time.Duration, method string, query, reply any) error {
	return l.conn.Call("Fellow."+method, query, reply, timeout)
}

// Close drops the queue, closes the connection and waits for the calls in progress.
func (l *Link) Close() {
	l.mu.Lock()
	l.isClosed = true
	l.hasWork.Broadcast()
	l.mu.Unlock()
	l.conn.Close()
	l.group.Wait()
}

func (l *Link) enqueue(appendItem func()) {
	l.mu.Lock()
	appendItem()
	l.mu.Unlock()
	l.hasWork.Signal()
}

func (l *Link) run() {
	for {
		batch, ok := l.nextBatch()
		if !ok {
			return
		}
		l.send(batch)
	}
}

func (l *Link) nextBatch() (Batch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.isClosed && !l.isProbeDue && len(l.requests)+len(l.cancels)+len(l.replies) == 0 {
		l.hasWork.Wait()
	}
	if l.isClosed {
		return Batch{}, false
	}
	l.isProbeDue = false
	l.sequence++
	batch := Batch{From: l.self, Address: l.selfAddress, To: l.peer, Sequence: l.sequence}
	batch.Asks, l.requests = splitBatch(l.requests)
	batch.Cancels, l.cancels = splitBatch(l.cancels)
	batch.Replies, l.replies = splitBatch(l.replies)
	return batch, true
}

// send sends one batch. The peer only queues a batch before it returns from the call. If it does not return within the
// ack timeout it counts as unresponsive, and the requests are reported so that they can be sent to another instance.
func (l *Link) send(batch Batch) {
	client, err := l.conn.Client(connectTimeout)
	if err != nil {
		l.markUnresponsive()
		l.reportUndelivered(batch.Asks, false, ReasonOwnerUnreachable)
		return
	}
	start := time.Now()
	call := l.conn.Go(client, "Fellow.Exchange", batch, &struct{}{}, callTimeout)
	isInTime, err := l.conn.AwaitFor(client, call, l.ackTimeout())
	if !isInTime {
		l.markUnresponsive()
		l.reportUndelivered(batch.Asks, true, ReasonOwnerUnresponsive)
		batch.Asks = nil
		err = l.conn.AwaitOrDrop(client, call, callTimeout)
	}
	if err == nil {
		l.onAck(time.Since(start))
		return
	}
	l.markUnresponsive()
	var serverError rpc.ServerError
	wasRefused := errors.As(err, &serverError) && strings.Contains(err.Error(), wrongIncarnation)
	l.reportUndelivered(batch.Asks, !wasRefused, ReasonOwnerUnreachable)
}

// IsUnresponsive reports whether the latest call to the peer failed or was not acknowledged in time.
func (l *Link) IsUnresponsive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isUnresponsive
}

// markUnresponsive marks the peer as unresponsive and, after a delay, sends it an empty batch. The first acknowledged batch
// clears the mark.
func (l *Link) markUnresponsive() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isUnresponsive = true
	if l.isClosed || l.isProbeScheduled {
		return
	}
	l.isProbeScheduled = true
	time.AfterFunc(probeDelay, func() {
		l.enqueue(func() { l.isProbeScheduled, l.isProbeDue = false, l.isUnresponsive })
	})
}

func (l *Link) onAck(ackTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isUnresponsive = false
	if l.meanAckTime == 0 {
		l.meanAckTime = ackTime
	}
	l.meanAckTime += time.Duration(ackTimeWeight * float64(ackTime-l.meanAckTime))
}

// ackTimeout returns how long a call may take before the peer counts as unresponsive.
func (l *Link) ackTimeout() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(minAckTimeout, min(maxAckTimeout, ackTimeoutFactor*l.meanAckTime))
}

func (l *Link) reportUndelivered(requests []Request, maybeReceived bool, reason string) {
	if len(requests) > 0 && l.onUndelivered != nil {
		l.onUndelivered(requests, maybeReceived, reason)
	}
}

func splitBatch[T any](items []T) (batch, rest []T) {
	if len(items) <= maxBatchItems {
		return items, nil
	}
	return items[:maxBatchItems], items[maxBatchItems:]
}
