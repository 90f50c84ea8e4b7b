package fellow

import (
	"sync"

	"github.com/pkg/errors"

	"lovagedeck/pkg/tabulator"
)

const sequenceWindow = 4096

type (
	// Handler is what an instance does with what fellows send.
	Handler interface {
		OnAsks(from tabulator.MemberID, address string, asks []Ask)
		OnCancels(from tabulator.MemberID, ids []uint64)
		OnReplies(from tabulator.MemberID, replies []Reply)
		Holdings(leafs []string) map[string][]Holding
		Release(query ReleaseQuery) []Released
		RunTicket(ticket string, request []byte) ([]byte, error)
	}

	// Service is the net/rpc receiver named Fellow.
	Service struct {
		self    tabulator.MemberID
		handler Handler
		mu      sync.Mutex
		windows map[tabulator.MemberID]*window
	}

	window struct {
		seen    map[uint64]bool
		highest uint64
	}
)

// NewService returns the receiver for the instance self.
func NewService(self tabulator.MemberID, handler Handler) *Service {
	return &Service{self: self, handler: handler, windows: map[tabulator.MemberID]*window{}}
}

// Exchange takes a batch; an error means that nothing of it was taken.
func (s *Service) Exchange(batch Batch, _ *struct{}) error {
	if err := s.check(batch.To); err != nil {
		return err
	}
	if !s.fresh(batch.From, batch.Sequence) {
		return errors.Errorf("exchange: batch %d of %s came before", batch.Sequence, batch.From)
	}
	if len(batch.Replies) > 0 {
		s.handler.OnReplies(batch.From, batch.Replies)
	}
	if len(batch.Cancels) > 0 {
		s.handler.OnCancels(batch.From, batch.Cancels)
	}
	if len(batch.Asks) > 0 {
		s.handler.OnAsks(batch.From, batch.Address, batch.Asks)
	}
	return nil
}

// Holdings tells what the leafs of this owner hold.
func (s *Service) Holdings(query HoldingsQuery, reply *HoldingsReply) error {
	reply.Holdings = s.handler.Holdings(query.Leafs)
	return nil
}

// Release gives up leafs that now belong to another instance.
func (s *Service) Release(query ReleaseQuery, reply *ReleaseReply) error {
	if err := s.check(query.To); err != nil {
		return err
	}
	reply.Leafs = s.handler.Release(query)
	return nil
}

// RunTicket runs a request whose ticket this incarnation granted.
func (s *Service) RunTicket(query TicketQuery, reply *TicketReply) error {
	if err := s.check(query.To); err != nil {
		return err
	}
	answer, err := s.handler.RunTicket(query.Ticket, query.Request)
	reply.Answer = answer
	return err
}

func (s *Service) check(to tabulator.MemberID) error {
	if to != s.self {
		return errors.Errorf("%s: the call is for %s, this is %s", wrongIncarnation, to, s.self)
	}
	return nil
}

// fresh tells whether a sequence number of the sender is new; one too old to tell counts as seen.
func (s *Service) fresh(from tabulator.MemberID, sequence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.windows[from]
	if w == nil {
		w = &window{seen: map[uint64]bool{}}
		s.windows[from] = w
	}
	if w.seen[sequence] || sequence+sequenceWindow <= w.highest {
		return false
	}
	w.seen[sequence] = true
	w.highest = max(w.highest, sequence)
	if len(w.seen) > 2*sequenceWindow {
		w.trim()
	}
	return true
}

func (w *window) trim() {
	for sequence := range w.seen {
		if sequence+sequenceWindow <= w.highest {
			delete(w.seen, sequence)
		}
	}
}
