// Each leaf has one responsible instance, its allocator, by rendezvous hashing
// over the members of the newest view. If the allocator cannot be reached, its
// standby hands out permits at a fraction of the rate, and if that cannot be
// reached either, each instance permits itself a share of such a fraction.

package permitter

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"lovagedeck/pkg/limiter"
	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/petitioner"
	"lovagedeck/pkg/tabulator"
)

const (
	// callTimeout bounds a call. It covers a round trip between data centres and a short stall of the processor.
	callTimeout = 150 * time.Millisecond
	callReserve = "Permitter.Reserve"
)

type (
	// Config has the dependencies of a Permitter.
	Config struct {
		// Instance is the name of this instance.
		Instance string
		Linker   *linker.Linker
		Now      func() time.Duration
		Log      logr.Logger
		Service  *Service
	}

	// Permitter gets permits from the instances that are responsible for the leafs.
	Permitter struct {
		config     Config
		petitioner *petitioner.Petitioner[pendingDemand]
		// mu guards own, which paces the requests that this instance permits itself.
		mu  sync.Mutex
		own *limiter.Allocator
	}

	pendingDemand struct {
		demand     limiter.Demand
		dataCentre string
		done       func(limiter.Grant)
	}
)

// New returns a Permitter that knows no other instances and is responsible for all leafs itself.
func New(config Config) *Permitter {
	p := &Permitter{config: config, own: limiter.NewAllocator()}
	p.petitioner = petitioner.New(petitioner.Config[pendingDemand]{
		Instance: config.Instance, Name: "permitter", Linker: config.Linker, Now: config.Now, Log: config.Log,
		SubjectOf: func(d pendingDemand) petitioner.Subject {
			return petitioner.Subject{Name: d.demand.Leaf, DataCentre: d.dataCentre}
		},
		Decide: p.decide, DecideAlone: p.decideAlone, Call: p.call,
	})
	return p
}

// SetView applies the members of a new view.
func (p *Permitter) SetView(view *tabulator.View) { p.petitioner.SetView(view) }

// Observe records what this instance has learned of the limit of a leaf, for which it may be responsible.
func (p *Permitter) Observe(leaf string, limit limiter.Limit) { p.config.Service.observe(leaf, limit) }

// Report tells the allocator of a leaf of the given data centre what the leaf has stated to this instance.
func (p *Permitter) Report(leaf, dataCentre string, limit limiter.Limit) {
	p.Observe(leaf, limit)
	p.petitioner.Submit(pendingDemand{demand: limiter.Demand{Leaf: leaf, Limit: limit, IsReport: true}, dataCentre: dataCentre, done: func(limiter.Grant) {}})
}

// Acquire requests a permit for a leaf of the given data centre and calls done once, from another goroutine, when the permit
// is valid or has been denied.
func (p *Permitter) Acquire(demand limiter.Demand, dataCentre string, done func(limiter.Grant)) {
	p.petitioner.Submit(pendingDemand{demand: demand, dataCentre: dataCentre, done: done})
}

// Close closes the connections.
func (p *Permitter) Close() { p.petitioner.Close() }

func (p *Permitter) decide(d pendingDemand, isStandby bool) {
	d.demand.IsStandby = isStandby
	deliver(d, p.config.Service.allocate(d.demand, p.config.Now()))
}

// decideAlone permits this instance its share of what a standby hands out.
func (p *Permitter) decideAlone(d pendingDemand, members int) {
	d.demand.IsStandby, d.demand.Instances = true, members
	p.mu.Lock()
	grant := p.own.Allocate(d.demand, p.config.Now())
	p.mu.Unlock()
	deliver(d, grant)
}

func (p *Permitter) call(conn *linker.Peer, demands []pendingDemand, isStandby bool) error {
	query := ReserveQuery{IsStandby: isStandby}
	now := p.config.Now()
	for _, d := range demands {
		query.Demands = append(query.Demands, toDemandFields(d.demand, now))
	}
	var reply ReserveReply
	if err := conn.Call(callReserve, query, &reply, callTimeout); err != nil {
		return err
	}
	if !reply.isValid(len(demands)) {
		return errors.New("the reply is invalid")
	}
	now = p.config.Now()
	for i, d := range demands {
		deliver(d, reply.Grants[i].toGrant(now))
	}
	return nil
}

// deliver reports a grant once its permit is valid.
func deliver(d pendingDemand, grant limiter.Grant) {
	if !grant.IsGranted || grant.Wait <= 0 {
		go d.done(grant)
		return
	}
	time.AfterFunc(grant.Wait, func() { d.done(grant) })
}
