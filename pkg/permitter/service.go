package permitter

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/limiter"
	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/petitioner"
)

// Service is the net/rpc receiver registered as "Permitter". It hands out the permits for the leafs of this instance.
type Service struct {
	now       func() time.Duration
	mu        sync.Mutex
	allocator *limiter.Allocator
}

// NewService returns a receiver that has handed out no permits.
func NewService(now func() time.Duration) *Service {
	return &Service{now: now, allocator: limiter.NewAllocator()}
}

// Reserve answers demands of another instance. It returns an error if there are too many, a rate is invalid or the call panicked.
func (s *Service) Reserve(query ReserveQuery, reply *ReserveReply) (err error) {
	defer linker.RecoverAs(&err)
	if len(query.Demands) > petitioner.MaxDemands {
		return errors.Errorf("reserve permits: got %d demands, want at most %d", len(query.Demands), petitioner.MaxDemands)
	}
	now := s.now()
	reply.Grants = make([]GrantFields, 0, len(query.Demands))
	for _, fields := range query.Demands {
		if !limiter.IsValidRate(fields.PerSecond) {
			return errors.Errorf("reserve permits: invalid rate %g of leaf %s", fields.PerSecond, fields.Leaf)
		}
		reply.Grants = append(reply.Grants, toGrantFields(s.allocate(fields.toDemand(query.IsStandby, now), now), now))
	}
	return nil
}

// observe records what this instance has learned of the limit of a leaf.
func (s *Service) observe(leaf string, limit limiter.Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.Observe(leaf, limit)
}

func (s *Service) allocate(demand limiter.Demand, now time.Duration) limiter.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allocator.Allocate(demand, now)
}
