package accountant

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/petitioner"
	"lovagedeck/pkg/rationer"
	"lovagedeck/pkg/router"
	"lovagedeck/pkg/tabulator"
)

// Service is the net/rpc receiver registered as "Accountant". It decides for the tenants of this instance.
type Service struct {
	now      func() time.Duration
	mu       sync.Mutex
	rationer *rationer.Rationer
	epoch    uint64
}

// NewService returns a receiver that has granted nothing.
func NewService(bounds rationer.Bounds, now func() time.Duration) *Service {
	return &Service{now: now, rationer: rationer.New(bounds, now())}
}

// Ration answers demands of another instance. It returns an error if there are too many, a number is invalid or the call panicked.
func (s *Service) Ration(query RationQuery, reply *RationReply) (err error) {
	defer linker.RecoverAs(&err)
	if len(query.Demands) > petitioner.MaxDemands {
		return errors.Errorf("ration requests: got %d demands, want at most %d", len(query.Demands), petitioner.MaxDemands)
	}
	reply.Grants = make([]GrantFields, 0, len(query.Demands))
	for _, fields := range query.Demands {
		if !fields.isValid() {
			return errors.Errorf("ration requests: invalid allowance %+v", fields)
		}
		reply.Grants = append(reply.Grants, toGrantFields(s.decide(fields.toDemand(query.IsStandby))))
	}
	return nil
}

func (s *Service) decide(demand rationer.Demand) rationer.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rationer.Decide(demand, s.now())
}

// level returns the number of tokens of a tenant that has asked this instance, and the most that it can have.
func (s *Service) level(tenant string) (level, capacity float64, isKnown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rationer.Level(tenant, s.now())
}

// setView records a change of the members.
func (s *Service) setView(view *tabulator.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if view.Epoch() != s.epoch {
		s.epoch = view.Epoch()
		s.rationer.OnMembersChanged(s.now())
	}
}

// setTable applies the allowances of a routing document.
func (s *Service) setTable(table *router.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, tenant := range table.Tenants() {
		s.rationer.SetAllowance(tenant.Name(), allowanceOf(tenant, table.Version()), s.now())
	}
}

func allowanceOf(tenant *router.Tenant, version uint64) rationer.Allowance {
	perSecond, burst := tenant.Allowance()
	return rationer.Allowance{PerSecond: perSecond, Burst: burst, Version: version}
}
