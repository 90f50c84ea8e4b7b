// Each tenant has one responsible instance, that of its seat. If it cannot be reached, its standby
// decides, and if that cannot be reached either or both are slow, this instance
// does, within its own share.

package accountant

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/petitioner"
	"lovagedeck/pkg/rationer"
	"lovagedeck/pkg/router"
	"lovagedeck/pkg/tabulator"
)

const (
	// callTimeout bounds a call. It covers a round trip between data centres and a short stall of the processor.
	callTimeout = 150 * time.Millisecond
	// patience is how long a request waits for an answer before this instance decides alone.
	patience   = 150 * time.Millisecond
	callRation = "Accountant.Ration"
	// retainFor is how long a responsible instance without contact to the control instances is asked on. Cuts of single machines last seconds.
	retainFor = time.Minute
)

const (
	// ByHolder means that a token held in advance was used, or that the tenant has no limit.
	ByHolder Decider = "held in advance"
	// ByOwner means that the responsible instance decided.
	ByOwner Decider = "responsible instance"
	// ByStandby means that the standby decided.
	ByStandby Decider = "standby"
	// ByShare means that this instance decided alone.
	ByShare Decider = "own share"
)

type (
	// Decider is who decided on a request.
	Decider string

	// Config has the dependencies of an Accountant.
	Config struct {
		// Instance is the name of this instance.
		Instance string
		Bounds   rationer.Bounds
		Linker   *linker.Linker
		Now      func() time.Duration
		// Random returns a number uniform in [0,1), and may be called from several goroutines.
		Random  func() float64
		Log     logr.Logger
		Service *Service
	}

	// Accountant asks whether requests of tenants are within their allowances.
	Accountant struct {
		config     Config
		petitioner *petitioner.Petitioner[*question]
		// seats is the number of seats, and hasLimits is set if a tenant has a limit.
		seats     atomic.Int64
		hasLimits atomic.Bool
		// mu guards holder and own, which decides alone.
		mu     sync.Mutex
		holder *rationer.Holder
		own    *rationer.Rationer
	}

	// Answer is the decision on one request.
	Answer struct {
		rationer.Grant
		By Decider
	}

	// question is one request that waits for an answer.
	question struct {
		demand  rationer.Demand
		askedAt time.Duration
		done    func(Answer)
		// mu guards isAnswered.
		mu         sync.Mutex
		isAnswered bool
		timer      *time.Timer
	}
)

// New returns an Accountant that knows no other instances and is responsible for all tenants itself.
func New(config Config) *Accountant {
	a := &Accountant{config: config, holder: rationer.NewHolder(), own: rationer.New(config.Bounds, config.Now())}
	a.seats.Store(minSeats)
	a.petitioner = petitioner.New(petitioner.Config[*question]{
		Instance: config.Instance, Name: "accountant", Linker: config.Linker, Now: config.Now, Log: config.Log,
		SubjectOf: func(q *question) petitioner.Subject { return seatOf(q.demand.Tenant, int(a.seats.Load())) },
		Decide:    a.decide, DecideAlone: a.decideAlone, Call: a.call, RetainFor: retainFor,
	})
	return a
}

// SetView applies the members of a new view.
func (a *Accountant) SetView(view *tabulator.View) {
	a.seats.Store(int64(seatCount(len(view.Members()))))
	a.petitioner.SetView(view)
	a.config.Service.setView(view)
	a.connect()
}

// SetTable applies the allowances of a routing document.
func (a *Accountant) SetTable(table *router.Table) {
	a.config.Service.setTable(table)
	a.hasLimits.Store(slices.ContainsFunc(table.Tenants(), func(tenant *router.Tenant) bool {
		return allowanceOf(tenant, table.Version()).IsLimited()
	}))
	a.connect()
}

// connect opens the connections to all seats if there are limits.
func (a *Accountant) connect() {
	if !a.hasLimits.Load() || a.petitioner.Members() > maxConnectedMembers {
		return
	}
	seats := make([]petitioner.Subject, a.seats.Load())
	for i := range seats {
		seats[i] = newSeat(i)
	}
	a.petitioner.Connect(seats)
}

// Close closes the connections.
func (a *Accountant) Close() { a.petitioner.Close() }

// Ask asks whether a request of a tenant may be sent, by the allowance of the routing document of the given version, and calls done
// once, at the latest after patience.
func (a *Accountant) Ask(tenant *router.Tenant, version uint64, done func(Answer)) {
	allowance := allowanceOf(tenant, version)
	if !allowance.IsLimited() {
		done(Answer{Grant: rationer.Grant{IsGranted: true, Allowance: allowance}, By: ByHolder})
		return
	}
	demand := rationer.Demand{Tenant: tenant.Name(), Allowance: allowance, Sample: a.config.Random()}
	a.mu.Lock()
	now := a.config.Now()
	isTaken, needsMore := a.holder.Take(&demand, now)
	a.mu.Unlock()
	q := &question{demand: demand, askedAt: now, done: done, isAnswered: isTaken}
	if isTaken {
		done(Answer{Grant: rationer.Grant{IsGranted: true, Allowance: allowance}, By: ByHolder})
		if needsMore {
			a.petitioner.Submit(q)
		}
		return
	}
	q.mu.Lock()
	q.timer = time.AfterFunc(patience, func() { a.decideAlone(q, a.petitioner.Members()) })
	q.mu.Unlock()
	a.petitioner.Submit(q)
}

// decide answers a question for which this instance is responsible, or its standby.
func (a *Accountant) decide(q *question, isStandby bool) {
	demand := q.demand
	demand.IsStandby, demand.Advance = isStandby, 0
	a.answer(q, Answer{Grant: a.config.Service.decide(demand), By: deciderOf(isStandby)})
}

// decideAlone answers a question within the share of this instance.
func (a *Accountant) decideAlone(q *question, members int) {
	if !q.claim() {
		return
	}
	demand := q.demand
	demand.Members, demand.Advance = max(1, members), 0
	a.mu.Lock()
	grant := a.own.Decide(demand, a.config.Now())
	a.mu.Unlock()
	q.done(Answer{Grant: grant, By: ByShare})
}

func (a *Accountant) call(conn *linker.Peer, questions []*question, isStandby bool) error {
	query := RationQuery{IsStandby: isStandby, Demands: make([]DemandFields, 0, len(questions))}
	for _, q := range questions {
		query.Demands = append(query.Demands, toDemandFields(q.demand))
	}
	var reply RationReply
	if err := conn.Call(callRation, query, &reply, callTimeout); err != nil {
		return err
	}
	if !reply.isValid(len(questions)) {
		return errors.New("the reply is invalid")
	}
	for i, q := range questions {
		a.answer(q, Answer{Grant: reply.Grants[i].toGrant(), By: deciderOf(isStandby)})
	}
	return nil
}

// answer reports a decision and keeps the tokens that it leaves for later requests: those in advance, and that of a request that has been
// answered meanwhile.
func (a *Accountant) answer(q *question, answer Answer) {
	spare := answer.Advance
	isLate := !q.claim()
	if isLate && answer.IsGranted && !q.demand.IsRefill {
		spare++
	}
	a.mu.Lock()
	a.holder.Put(q.demand.Tenant, answer.Allowance.Version, spare, q.askedAt, a.config.Now())
	a.mu.Unlock()
	if !isLate {
		q.done(answer)
	}
}

// claim reports whether the caller is the first to answer the question.
func (q *question) claim() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	isFirst := !q.isAnswered
	q.isAnswered = true
	if isFirst && q.timer != nil {
		q.timer.Stop()
	}
	return isFirst
}

func deciderOf(isStandby bool) Decider {
	if isStandby {
		return ByStandby
	}
	return ByOwner
}
