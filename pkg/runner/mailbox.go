package runner

import (
	"sync"

	"github.com/sourcegraph/conc"

	"lovagedeck/pkg/fellow"
	"lovagedeck/pkg/tabulator"
)

// mailbox carries what an instance sends to itself.
type mailbox struct {
	self    tabulator.MemberID
	handler fellow.Handler
	mu      sync.Mutex
	wake    *sync.Cond
	asks    []fellow.Request
	cancels []uint64
	replies []fellow.Reply
	closed  bool
	group   conc.WaitGroup
}

func newMailbox(self tabulator.MemberID, handler fellow.Handler) *mailbox {
	m := &mailbox{self: self, handler: handler}
	m.wake = sync.NewCond(&m.mu)
	m.group.Go(m.run)
	return m
}

func (m *mailbox) ask(ask fellow.Request) { m.add(func() { m.asks = append(m.asks, ask) }) }

func (m *mailbox) cancel(id uint64) { m.add(func() { m.cancels = append(m.cancels, id) }) }

func (m *mailbox) reply(reply fellow.Reply) { m.add(func() { m.replies = append(m.replies, reply) }) }

func (m *mailbox) close() {
	m.add(func() { m.closed = true })
	m.group.Wait()
}

func (m *mailbox) add(put func()) {
	m.mu.Lock()
	put()
	m.mu.Unlock()
	m.wake.Signal()
}

func (m *mailbox) run() {
	for {
		m.mu.Lock()
		for !m.closed && len(m.asks)+len(m.cancels)+len(m.replies) == 0 {
			m.wake.Wait()
		}
		asks, cancels, replies, closed := m.asks, m.cancels, m.replies, m.closed
		m.asks, m.cancels, m.replies = nil, nil, nil
		m.mu.Unlock()
		if closed {
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
