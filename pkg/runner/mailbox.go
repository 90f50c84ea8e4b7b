package runner

import (
	"sync"

	"github.com/sourcegraph/conc"

	"lovagedeck/pkg/fellow"
	"lovagedeck/pkg/tabulator"
)

// mailbox queues the requests, cancellations and replies that an instance sends to itself and passes them to the handler
// in one goroutine.
type mailbox struct {
	self      tabulator.MemberID
	handler   fellow.Handler
	mu        sync.Mutex
	itemAdded *sync.Cond
	asks      []fellow.Request
	cancels   []uint64
	replies   []fellow.Reply
	isClosed  bool
	worker    conc.WaitGroup
}

func newMailbox(self tabulator.MemberID, handler fellow.Handler) *mailbox {
	m := &mailbox{self: self, handler: handler}
	m.itemAdded = sync.NewCond(&m.mu)
	m.worker.Go(m.run)
	return m
}

func (m *mailbox) ask(ask fellow.Request) { m.enqueue(func() { m.asks = append(m.asks, ask) }) }

func (m *mailbox) cancel(id uint64) { m.enqueue(func() { m.cancels = append(m.cancels, id) }) }

func (m *mailbox) reply(reply fellow.Reply) {
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
		for !m.isClosed && len(m.asks)+len(m.cancels)+len(m.replies) == 0 {
			m.itemAdded.Wait()
		}
		asks, cancels, replies, isClosed := m.asks, m.cancels, m.replies, m.isClosed
		m.asks, m.cancels, m.replies = nil, nil, nil
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
		if len(asks) > 0 {
			m.handler.OnRequests(m.self, "", asks)
		}
	}
}
