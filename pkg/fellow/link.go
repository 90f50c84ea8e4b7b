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
	redialPause      = 50 * time.Millisecond
)

type (
	// Lost is told which asks did not get through, and whether they may have.
	Lost func(asks []Ask, maybeReceived bool, reason string)

	// Link sends to one incarnation of one fellow.
	Link struct {
		linker  *linker.Linker
		self    tabulator.MemberID
		address string
		peer    tabulator.MemberID
		target  string
		lost    Lost

		dialing   sync.Mutex
		mu        sync.Mutex
		wake      *sync.Cond
		asks      []Ask
		cancels   []uint64
		replies   []Reply
		sequence  uint64
		client    *rpc.Client
		failedAt  time.Time
		closed    bool
		group     conc.WaitGroup
		batches   int
		batchAsks int
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
	link := &Link{linker: l, self: self, address: address, peer: peer, target: target, lost: lost}
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
	client, err := l.connect()
	if err != nil {
		return err
	}
	return l.await(client, client.Go("Fellow."+method, query, reply, make(chan *rpc.Call, 1)), callTimeout)
}

// CallFor makes one call that may take up to timeout.
func (l *Link) CallFor(timeout time.Duration, method string, query, reply any) error {
	client, err := l.connect()
	if err != nil {
		return &NotSentError{peer: l.target, cause: err}
	}
	return l.await(client, client.Go("Fellow."+method, query, reply, make(chan *rpc.Call, 1)), timeout)
}

// Close drops what is queued and ends the link.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	client := l.client
	l.client = nil
	l.wake.Broadcast()
	l.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
	l.group.Wait()
}

// NotSentError says that a call never left this instance.
type NotSentError struct {
	peer  string
	cause error
}

func (e *NotSentError) Error() string { return "call " + e.peer + ": not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.cause }

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
	for !l.closed && len(l.asks)+len(l.cancels)+len(l.replies) == 0 {
		l.wake.Wait()
	}
	if l.closed {
		return Batch{}, false
	}
	l.sequence++
	batch := Batch{From: l.self, Address: l.address, To: l.peer, Sequence: l.sequence}
	batch.Asks, l.asks = split(l.asks)
	batch.Cancels, l.cancels = split(l.cancels)
	batch.Replies, l.replies = split(l.replies)
	l.batches++
	l.batchAsks += len(batch.Asks)
	return batch, true
}

func (l *Link) send(batch Batch) {
	client, err := l.connect()
	if err != nil {
		l.report(batch.Asks, false, ReasonUnreachable)
		return
	}
	err = l.await(client, client.Go("Fellow.Exchange", batch, &struct{}{}, make(chan *rpc.Call, 1)), callTimeout)
	if err == nil {
		return
	}
	var serverError rpc.ServerError
	refused := errors.As(err, &serverError) && strings.HasPrefix(err.Error(), wrongIncarnation)
	l.report(batch.Asks, !refused, ReasonUnreachable)
}

func (l *Link) report(asks []Ask, maybeReceived bool, reason string) {
	if len(asks) > 0 && l.lost != nil {
		l.lost(asks, maybeReceived, reason)
	}
}

func (l *Link) await(client *rpc.Client, call *rpc.Call, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		var serverError rpc.ServerError
		if call.Error != nil && !errors.As(call.Error, &serverError) {
			l.drop(client)
		}
		return errors.Wrapf(call.Error, "call instance %s", l.peer)
	case <-timer.C:
		l.drop(client)
		return errors.Errorf("call instance %s: no answer within %s", l.peer, timeout)
	}
}

func (l *Link) connect() (*rpc.Client, error) {
	if client, err := l.connected(); client != nil || err != nil {
		return client, err
	}
	l.dialing.Lock()
	defer l.dialing.Unlock()
	if client, err := l.connected(); client != nil || err != nil {
		return client, err
	}
	client, err := l.linker.Connect(l.target)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failedAt = time.Now()
		return nil, err
	}
	if l.closed {
		_ = client.Close()
		return nil, errors.Errorf("link to %s is closed", l.peer)
	}
	l.client = client
	return client, nil
}

// connected returns the open connection, nothing, or why no connection may be opened now.
func (l *Link) connected() (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errors.Errorf("link to %s is closed", l.peer)
	}
	if l.client == nil && time.Since(l.failedAt) < redialPause {
		return nil, errors.Errorf("link to %s: waiting before the next connection", l.peer)
	}
	return l.client, nil
}

func (l *Link) drop(client *rpc.Client) {
	l.mu.Lock()
	if l.client == client {
		l.client = nil
	}
	l.mu.Unlock()
	_ = client.Close()
}

func split[T any](items []T) (batch, rest []T) {
	if len(items) <= maxBatchItems {
		return items, nil
	}
	return items[:maxBatchItems], items[maxBatchItems:]
}
