// Each subject has one responsible instance by rendezvous hashing over the
// members of the newest view, and a standby. A demand goes to the first of the
// two that can be reached, or else to the share of this instance.
//
// A responsible instance that is no member any more may only have lost contact
// with the control instances, and others that did as well go on asking it. It
// stays responsible for a while, from when it has answered a call without
// demands: no demand waits for an instance that is lost.

package petitioner

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/tabulator"
)

const (
	// MaxDemands bounds the demands of one call.
	MaxDemands = 4096
	// unreachablePeriod is how long an instance is not called after a failed call.
	unreachablePeriod = time.Second
	// connectTimeout bounds the wait for a connection that is opened in advance.
	connectTimeout = time.Second
	// maxSubjects bounds the subjects whose responsible instances are retained.
	maxSubjects = 1024
)

type (
	// Subject is what a demand is about, in the data centre whose instances are preferred, or in none.
	Subject struct {
		Name       string
		DataCentre string
	}

	// Config has the dependencies of a Petitioner. Its functions are called without locks, from several goroutines.
	Config[D any] struct {
		// Instance is the name of this instance, and Name that of the user in log lines.
		Instance string
		Name     string
		Linker   *linker.Linker
		Now      func() time.Duration
		Log      logr.Logger
		// SubjectOf returns what a demand is about.
		SubjectOf func(D) Subject
		// Decide answers a demand for which this instance is responsible, or its standby.
		Decide func(demand D, isStandby bool)
		// DecideAlone answers a demand for which no responsible instance can be reached. Members is their number in the view.
		DecideAlone func(demand D, members int)
		// Call passes demands to an instance and answers them. If it returns an error, no demand has been answered. Without demands it only
		// finds out whether the instance answers.
		Call func(conn *linker.Peer, demands []D, isStandby bool) error
		// RetainFor is how long an instance that is no member any more stays responsible while it answers.
		RetainFor time.Duration
	}

	// Petitioner passes demands to the responsible instances.
	Petitioner[D any] struct {
		config Config[D]
		mu     sync.Mutex
		owners *assigner.Map
		size   int
		peers  map[string]*peer[D]
		// former holds the responsible instances that are no members any more, by the name of the subject.
		former map[string]formerOwner
		// subjects are those that were asked about, by name, while instances are retained.
		subjects map[string]Subject
	}

	// Responsible is an instance that answers demands about a subject. It is reachable unless the last call to it has failed.
	Responsible struct {
		Instance    string
		IsReachable bool
	}

	// formerOwner is an instance that stays responsible for a subject until a call to it fails.
	formerOwner struct {
		member tabulator.Member
		until  time.Duration
		// isConfirmed is set once the instance has answered since it is no member any more. Before, no demand is passed to it.
		isConfirmed bool
	}

	// peer is an instance that is responsible for subjects. While a call to it is in progress, demands gather in pending.
	peer[D any] struct {
		name      string
		conn      *linker.Peer
		pending   []pendingDemand[D]
		isCalling bool
		// unreachableUntil is when the peer is called again after a failed call, or 0.
		unreachableUntil time.Duration
	}

	pendingDemand[D any] struct {
		demand    D
		isStandby bool
	}
)

// New returns a Petitioner that knows no other instances and is responsible for all subjects itself.
func New[D any](config Config[D]) *Petitioner[D] {
	return &Petitioner[D]{config: config, peers: map[string]*peer[D]{}, former: map[string]formerOwner{}, subjects: map[string]Subject{}}
}

// SetView applies the members of a new view.
func (p *Petitioner[D]) SetView(view *tabulator.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := map[string]string{}
	for _, member := range view.Members() {
		addresses[member.Instance()] = member.PeerAddress()
	}
	p.retainOwners(view)
	for _, former := range p.former {
		addresses[former.member.Instance()] = former.member.PeerAddress()
	}
	p.size = len(view.Members())
	if p.owners == nil {
		p.owners = assigner.NewMap(view)
	} else {
		p.owners = p.owners.Next(view)
	}
	for name, known := range p.peers {
		if addresses[name] != known.conn.Address() {
			known.conn.Close()
			delete(p.peers, name)
		}
	}
}

// retainOwners keeps the responsible instances that the new view has lost, if they answered last, and drops those that are back. Those of
// them that are other instances are called, to confirm that they still answer.
func (p *Petitioner[D]) retainOwners(view *tabulator.View) {
	now := p.config.Now()
	for name, former := range p.former {
		if _, isBack := view.Member(former.member.Instance()); isBack || now >= former.until {
			delete(p.former, name)
		}
	}
	if p.owners == nil || p.config.RetainFor <= 0 {
		return
	}
	unconfirmed := map[string]*peer[D]{}
	for name, subject := range p.subjects {
		owner, ok := p.owners.Owner(assigner.NewLeaf(assigner.LeafID(name), subject.DataCentre))
		if _, isMember := view.Member(owner.Instance()); !ok || isMember {
			continue
		}
		if _, isRetained := p.former[name]; isRetained {
			continue
		}
		until, known := now+p.config.RetainFor, p.peers[owner.Instance()]
		switch {
		case owner.Instance() == p.config.Instance:
			p.former[name] = formerOwner{member: owner, until: until, isConfirmed: true}
		case known != nil && known.unreachableUntil == 0:
			p.former[name] = formerOwner{member: owner, until: until}
			unconfirmed[known.name] = known
		}
	}
	for _, known := range unconfirmed {
		go p.confirm(known)
	}
}

// confirm calls a responsible instance that is no member any more, which stays responsible if it answers.
func (p *Petitioner[D]) confirm(target *peer[D]) {
	if err := p.config.Call(target.conn, nil, false); err != nil {
		p.onFailure(target, err)
		return
	}
	p.onReply(target)
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, former := range p.former {
		if former.member.Instance() == target.name {
			former.isConfirmed = true
			p.former[name] = former
			p.config.Log.Info(p.config.Name+": instance stays responsible without membership", "peer", target.name, "subject", name, "for-ms", (former.until - p.config.Now()).Milliseconds())
		}
	}
}

// Connect opens the connections to the instances that are responsible for the subjects, so that no demand waits for that.
func (p *Petitioner[D]) Connect(subjects []Subject) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	for _, subject := range subjects {
		if target, _, isFound := p.targetFor(subject, now); isFound && target != nil && target.conn.CurrentClient() == nil {
			go func() {
				if _, err := target.conn.Client(connectTimeout); err != nil {
					p.config.Log.Info(p.config.Name+": not connected", "peer", target.name, "cause", err.Error())
				}
			}()
		}
	}
}

// Connections returns the number of open connections.
func (p *Petitioner[D]) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, known := range p.peers {
		if known.conn.CurrentClient() != nil {
			count++
		}
	}
	return count
}

// Members returns the number of members in the view.
func (p *Petitioner[D]) Members() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.size
}

// Close closes the connections.
func (p *Petitioner[D]) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.peers {
		known.conn.Close()
	}
}

// Submit passes a demand to the responsible instance, to its standby, or to the share of this instance.
func (p *Petitioner[D]) Submit(demand D) {
	p.mu.Lock()
	target, isStandby, isFound := p.targetFor(p.config.SubjectOf(demand), p.config.Now())
	members := p.size
	if isFound && target != nil {
		target.pending = append(target.pending, pendingDemand[D]{demand: demand, isStandby: isStandby})
		if !target.isCalling {
			target.isCalling = true
			go p.callLoop(target)
		}
	}
	p.mu.Unlock()
	switch {
	case !isFound:
		p.config.DecideAlone(demand, members)
	case target == nil:
		p.config.Decide(demand, isStandby)
	}
}

// targetFor returns the peer that is responsible for a subject, or nil if this instance is. It returns false if neither the
// responsible instance nor its standby can be reached.
func (p *Petitioner[D]) targetFor(subject Subject, now time.Duration) (target *peer[D], isStandby, isFound bool) {
	if p.owners == nil || p.size == 0 {
		return nil, false, true
	}
	if p.config.RetainFor > 0 && len(p.subjects) < maxSubjects {
		p.subjects[subject.Name] = subject
	}
	if former, ok := p.former[subject.Name]; ok && former.isConfirmed && now < former.until {
		if target, isFound = p.reachablePeer(former.member, now); isFound {
			return target, false, true
		}
	}
	leaf := assigner.NewLeaf(assigner.LeafID(subject.Name), subject.DataCentre)
	owner, ok := p.owners.Owner(leaf)
	if !ok {
		return nil, false, false
	}
	if target, isFound = p.reachablePeer(owner, now); isFound {
		return target, false, true
	}
	standby, ok := p.owners.PreviousOwner(leaf, owner.ID())
	if !ok {
		return nil, false, false
	}
	target, isFound = p.reachablePeer(standby, now)
	return target, true, isFound
}

// Responsibility says who answers the demands about a subject. The instances are named in the order in which they are asked.
func (p *Petitioner[D]) Responsibility(subject Subject) []Responsible {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	var responsible []Responsible
	if former, ok := p.former[subject.Name]; ok && now < former.until {
		responsible = append(responsible, p.responsible(former.member, now))
	}
	if p.owners == nil || p.size == 0 {
		return append(responsible, Responsible{Instance: p.config.Instance, IsReachable: true})
	}
	leaf := assigner.NewLeaf(assigner.LeafID(subject.Name), subject.DataCentre)
	owner, ok := p.owners.Owner(leaf)
	if !ok {
		return responsible
	}
	responsible = append(responsible, p.responsible(owner, now))
	if standby, ok := p.owners.PreviousOwner(leaf, owner.ID()); ok {
		responsible = append(responsible, p.responsible(standby, now))
	}
	return responsible
}

func (p *Petitioner[D]) responsible(member tabulator.Member, now time.Duration) Responsible {
	known := p.peers[member.Instance()]
	return Responsible{Instance: member.Instance(), IsReachable: known == nil || now >= known.unreachableUntil}
}

// reachablePeer returns the peer of a member, or nil for this instance, and false if the last call to it has failed.
func (p *Petitioner[D]) reachablePeer(member tabulator.Member, now time.Duration) (*peer[D], bool) {
	name := member.Instance()
	if name == p.config.Instance {
		return nil, true
	}
	known := p.peers[name]
	if known == nil {
		known = &peer[D]{name: name, conn: p.config.Linker.NewPeer(member.PeerAddress())}
		p.peers[name] = known
	}
	return known, now >= known.unreachableUntil
}

// callLoop calls the peer until no demands are pending.
func (p *Petitioner[D]) callLoop(target *peer[D]) {
	for {
		p.mu.Lock()
		count := min(MaxDemands, len(target.pending))
		batch := target.pending[:count:count]
		target.pending = target.pending[count:]
		target.isCalling = count > 0
		p.mu.Unlock()
		if count == 0 {
			return
		}
		p.call(target, batch)
	}
}

// call passes demands to a peer. Demands for the peer as responsible instance and as standby go in separate calls. If a call fails, its
// demands go to the next instance.
func (p *Petitioner[D]) call(target *peer[D], batch []pendingDemand[D]) {
	for _, isStandby := range []bool{false, true} {
		var demands []D
		for _, pending := range batch {
			if pending.isStandby == isStandby {
				demands = append(demands, pending.demand)
			}
		}
		if len(demands) == 0 {
			continue
		}
		if err := p.config.Call(target.conn, demands, isStandby); err != nil {
			p.onFailure(target, err)
			for _, demand := range demands {
				p.Submit(demand)
			}
			continue
		}
		p.onReply(target)
	}
}

func (p *Petitioner[D]) onReply(target *peer[D]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if target.unreachableUntil > 0 {
		target.unreachableUntil = 0
		p.config.Log.Info(p.config.Name+": instance used again", "peer", target.name)
	}
}

// onFailure leaves a peer out for a while.
func (p *Petitioner[D]) onFailure(target *peer[D], err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if target.unreachableUntil == 0 {
		p.config.Log.Info(p.config.Name+": instance left out", "peer", target.name, "cause", err.Error())
	}
	target.unreachableUntil = p.config.Now() + unreachablePeriod
	for name, former := range p.former {
		if former.member.Instance() == target.name {
			delete(p.former, name)
		}
	}
}
