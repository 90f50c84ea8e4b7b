package peer

import (
	"sync"

	"github.com/pkg/errors"

	"lovagedeck/pkg/tabulator"
)

const sequenceWindow = 4096

type (
	// Handler processes what other instances send.
	Handler interface {
		OnRequests(from tabulator.MemberID, address string, requests []Request)
		OnCancels(from tabulator.MemberID, ids []uint64)
		OnReplies(from tabulator.MemberID, replies []Reply)
		Holdings(leafs []string) map[string][]Holding
		Release(query ReleaseQuery) []ReleasedLeaf
		RunTicket(ticket string, request []byte) ([]byte, error)
	}

	// Service is the net/rpc receiver registered as "Fellow".
	Service struct {
		self    tabulator.MemberID
		handler Handler
		mu      sync.Mutex
		windows map[tabulator.MemberID]*replayWindow
	}

	replayWindow struct {
		seen    map[uint64]bool
		highest uint64
	}
)

// NewService returns the receiver of the instance self, which passes requests to handler.
func NewService(self tabulator.MemberID, handler Handler) *Service {
	return &Service{self: self, handler: handler, windows: map[tabulator.MemberID]*replayWindow{}}
}

// Exchange takes a batch. If it returns an error, nothing of the batch was processed.
func (s *Service) Exchange(batch Batch, _ *struct{}) error {
	if err := s.checkIncarnation(batch.To); err != nil {
		return err
	}
	if !s.acceptSequence(batch.From, batch.Sequence) {
		return errors.Errorf("exchange: batch %d of %s came before", batch.Sequence, batch.From)
	}
	if len(batch.Replies) > 0 {
		s.handler.OnReplies(batch.From, batch.Replies)
	}
	if len(batch.Cancels) > 0 {
		s.handler.OnCancels(batch.From, batch.Cancels)
	}
	if len(batch.Asks) > 0 {
		s.handler.OnRequests(batch.From, batch.Address, batch.Asks)
	}
	return nil
}

// Holdings returns the index versions and shards that the given leafs of this owner hold.
func (s *Service) Holdings(query HoldingsQuery, reply *HoldingsReply) error {
	reply.Holdings = s.handler.Holdings(query.Leafs)
	return nil
}

// Release gives up the ownership of leafs that another instance now owns.
func (s *Service) Release(query ReleaseQuery, reply *ReleaseReply) error {
	if err := s.checkIncarnation(query.To); err != nil {
		return err
	}
	reply.Leafs = s.handler.Release(query)
	return nil
}

// RunTicket runs a request with a ticket that this incarnation granted.
func (s *Service) RunTicket(query TicketQuery, reply *TicketReply) error {
	if err := s.checkIncarnation(query.To); err != nil {
		return err
	}
	answer, err := s.handler.RunTicket(query.Ticket, query.Request)
	reply.Answer = answer
	return err
}

func (s *Service) checkIncarnation(to tabulator.MemberID) error {
	if to != s.self {
		return errors.Errorf("%s: the call is for %s, this is %s", wrongIncarnation, to, s.self)
	}
	return nil
}

// acceptSequence records a sequence number of the sender and reports whether it is new. One that is more than
// sequenceWindow behind the highest counts as a duplicate.
func (s *Service) acceptSequence(from tabulator.MemberID, sequence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.windows[from]
	if w == nil {
		w = &replayWindow{seen: map[uint64]bool{}}
		s.windows[from] = w
	}
	if w.seen[sequence] || sequence+sequenceWindow <= w.highest {
		return false
	}
	w.seen[sequence] = true
	w.highest = max(w.highest, sequence)
	if len(w.seen) > 2*sequenceWindow {
		w.removeOld()
	}
	return true
}

func (w *replayWindow) removeOld() {
	for sequence := range w.seen {
		if sequence+sequenceWindow <= w.highest {
			delete(w.seen, sequence)
		}
	}
}
