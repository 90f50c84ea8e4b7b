package runner

import (
	"sync"

	"github.com/sourcegraph/conc"

	"lovagedeck/pkg/peer"
	"lovagedeck/pkg/tabulator"
)

// mailbox queues the requests, cancellations and replies that an instance sends to itself and passes them to the handler
// in one goroutine.
type mailbox struct {
	self      tabulator.MemberID
	handler   peer.Handler
	mu        sync.Mutex
	itemAdded *sync.Cond
	requests  []peer.Request
	cancels   []uint64
	replies   []peer.Reply
	isClosed  bool
	worker    conc.WaitGroup
}

func newMailbox(self tabulator.MemberID, handler peer.Handler) *mailbox {
	m := &mailbox{self: self, handler: handler}
	m.itemAdded = sync.NewCond(&m.mu)
	m.worker.Go(m.run)
	return m
}

func (m *mailbox) queueRequest(request peer.Request) {
	m.enqueue(func() { m.requests = append(m.requests, request) })
}

func (m *mailbox) queueCancel(id uint64) { m.enqueue(func() { m.cancels = append(m.cancels, id) }) }

func (m *mailbox) queueReply(reply peer.Reply) {
	m.enqueue(func() { m.replies = append(m.replies, reply) })
}

func (m *mailbox) close() {
	m.enqueue(func() { m.isClosed = true })
	m.worker.Wait()
}

func (m *mailbox) enqueue(appendItem func()) {
	m.mu.Lock()
	appendItem()
	m.mu.Unlock()
	m.itemAdded.Signal()
}

func (m *mailbox) run() {
	for {
		m.mu.Lock()
		for !m.isClosed && len(m.requests)+len(m.cancels)+len(m.replies) == 0 {
			m.itemAdded.Wait()
		}
		requests, cancels, replies, isClosed := m.requests, m.cancels, m.replies, m.isClosed
		m.requests, m.cancels, m.replies = nil, nil, nil
		m.mu.Unlock()
		if isClosed {
			return
		}
		if len(replies) > 0 {
			m.handler.OnReplies(m.self, replies)
		}
		if len(cancels) > 0 {
			m.handler.OnCancels(m.self, cancels)
		}
		if len(requests) > 0 {
			m.handler.OnRequests(m.self, "", requests)
		}
	}
}
