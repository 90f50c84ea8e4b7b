package controller

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/timeliner"
)

const (
	// tickInterval is the resolution of election timeouts. Instances whose timeouts end in the same tick split the vote.
	tickInterval   = 10 * time.Millisecond
	reportInterval = 100 * time.Millisecond
	// initialReportInterval applies until this instance has a leaf roster, which arrives with the reply to a report. After a
	// loss of all instances, entry instances wait for the roster.
	initialReportInterval = 20 * time.Millisecond
	maxInputBatch         = 512
	answerTimeout         = 2 * time.Second
)

const (
	// EventFailed is the kind of the event for an instance that holds an entry or a snapshot that it cannot decode. It acknowledges nothing
	// more until it is started again.
	EventFailed = "control-failed"
	// EventStoreFailed is the kind of the event for an instance whose store has failed to write. It acknowledges nothing until
	// EventStoreReopened.
	EventStoreFailed = "control-store-failed"
	// EventStoreReopened is the kind of the event for an instance that continues from the state in its store after a failed write.
	EventStoreReopened = "control-store-reopened"
)

var errStopped = errors.New("the control instance has stopped")

type (
	// Store persists the writes of the replicator.
	Store interface {
		// Persist writes to disk. After an error it fails until Reopen succeeds.
		Persist(writes []replicator.Write) error
		// Reopen returns the state on disk and makes the store writable again. It returns an error if the disk does not accept writes.
		Reopen() (replicator.PersistentState, error)
	}

	// ServerConfig configures a Server.
	ServerConfig struct {
		// Instance is the name of the control instance, which is its address if Discovery is set.
		Instance string
		Node     replicator.NodeID
		// InitialVoters are the voters of a log without a saved configuration.
		InitialVoters []replicator.NodeID
		// Addresses maps the names of control instances to addresses. A name without an entry is used as the address if
		// Discovery is set.
		Addresses map[string]string
		Linker    *linker.Linker
		Store     Store
		// Saved is the replicator state read from disk.
		Saved replicator.PersistentState
		// Now returns the time of a monotonic clock.
		Now      func() time.Duration
		Random   *rand.Rand
		Timeline *timeliner.Timeline
		// RosterStore holds the leaf roster. It is nil if this instance does not distribute one.
		RosterStore *lister.RosterStore
		// Discovery describes how to find the other control instances. It is nil if the settings list the control instances.
		Discovery *Discovery
		// RenewalInterval is the time between renewals that entry instances are told to use. If 0, they use their default.
		RenewalInterval time.Duration
		// OnEvent receives events: role changes, membership changes and failure. It may be nil.
		OnEvent func(kind, peer, text string)
	}

	// Server is a control instance. Its state belongs to the loop goroutine. Other goroutines enqueue functions for the loop
	// and wait for the results. In each iteration the loop runs the queued functions, which step the replicator, persists all
	// writes at once, and only then sends messages, applies committed entries and answers.
	Server struct {
		config       ServerConfig
		core         *replicator.Core
		machine      *tabulator.Machine
		appliedIndex uint64
		inputs       chan func()
		stop         chan struct{}
		group        conc.WaitGroup
		outboxes     map[replicator.NodeID]*outbox
		peers        map[string]*peer
		pending      replicator.Output
		waiters      map[uint64]proposal
		confirms     confirmQueue
		sessions     *sessions
		rollouts     rolloutClock
		lastTag      uint64
		role         replicator.Role
		failed       error
		// reopening is the state of the store after a failed write, or nil.
		reopening  *reopening
		membership membership
		logSizedAt time.Duration
		// leaderTerm is the current term if this instance is the leader and has committed an entry in the term, else 0.
		leaderTerm atomic.Uint64
	}

	// proposal is a caller that waits until its log entry is applied.
	proposal struct {
		term uint64
		done chan ProposeReply
	}
)

// NewServer returns a control instance that continues from config.Saved, or an error if the saved state is invalid. Run starts
// it.
func NewServer(config ServerConfig) (*Server, error) {
	server := &Server{
		config: config, inputs: make(chan func(), maxInputBatch), stop: make(chan struct{}), outboxes: map[replicator.NodeID]*outbox{},
		peers: map[string]*peer{}, waiters: map[uint64]proposal{}, rollouts: newRolloutClock(time.Now(), config.Now()),
	}
	if server.config.OnEvent == nil {
		server.config.OnEvent = func(string, string, string) {}
	}
	if err := server.continueFrom(config.Saved); err != nil {
		return nil, err
	}
	return server, nil
}

// continueFrom makes the saved state the state of the instance. Whatever it knew beyond that is dropped.
func (s *Server) continueFrom(saved replicator.PersistentState) error {
	if saved.Snapshot.Index == 0 && len(saved.Snapshot.Config.Voters) == 0 {
		saved.Snapshot.Config = replicator.Config{Voters: s.config.InitialVoters}
	}
	core, err := replicator.New(s.config.Node, saved, s.config.Now(), s.config.Random)
	if err != nil {
		return err
	}
	machine := tabulator.NewMachine()
	if len(saved.Snapshot.Data) > 0 {
		if machine, err = tabulator.Restore(saved.Snapshot.Data); err != nil {
			return err
		}
	}
	s.core, s.machine, s.appliedIndex, s.role, s.pending = core, machine, saved.Snapshot.Index, "", replicator.Output{}
	s.sessions, s.membership = newSessions(s.config.Instance, s.config.Now()), newMembership(s.config.Discovery)
	s.rollouts.observe(s.machine, s.config.Now())
	return nil
}

// Run starts the goroutines of the instance.
func (s *Server) Run() {
	s.group.Go(s.loop)
	s.group.Go(s.reportLoop)
	if s.config.Discovery != nil {
		s.group.Go(s.announceLoop)
	}
}

// Close stops the instance and waits for its goroutines.
func (s *Server) Close() {
	close(s.stop)
	s.group.Wait()
}

func (s *Server) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer func() {
		for _, o := range s.outboxes {
			o.close()
		}
		for _, p := range s.peers {
			p.close()
		}
	}()
	for {
		select {
		case <-s.stop:
			return
		case input := <-s.inputs:
			input()
		case <-ticker.C:
			s.reopenIfDue()
			s.step(replicator.Tick{})
			s.confirms.requestConfirm(s)
			s.sessions.removeExpiredIfDue(s)
			s.membership.changeIfDue(s)
		}
		s.runQueuedInputs()
		s.flushAll()
	}
}

// flushAll flushes repeatedly, because a flush may step the replicator and produce more output.
func (s *Server) flushAll() {
	s.flush()
	for s.failed == nil && s.hasPending() {
		s.flush()
	}
}

func (s *Server) hasPending() bool {
	p := &s.pending
	return len(p.Writes)+len(p.Messages)+len(p.Committed)+len(p.ReadIndexResults) > 0
}

func (s *Server) runQueuedInputs() {
	for range maxInputBatch {
		select {
		case input := <-s.inputs:
			input()
		default:
			return
		}
	}
}

// enqueue queues work for the loop goroutine without waiting for it to run. It returns errStopped after Close.
func (s *Server) enqueue(work func()) error {
	select {
	case s.inputs <- work:
		return nil
	case <-s.stop:
		return errStopped
	}
}

func (s *Server) step(input replicator.Input) {
	if s.failed != nil {
		return
	}
	out := s.core.Step(input, s.config.Now())
	s.pending.Writes = append(s.pending.Writes, out.Writes...)
	s.pending.Messages = append(s.pending.Messages, out.Messages...)
	s.pending.Committed = append(s.pending.Committed, out.Committed...)
	s.pending.ReadIndexResults = append(s.pending.ReadIndexResults, out.ReadIndexResults...)
	s.onProposed(out.ProposalResults)
	if out.Restore != nil {
		s.pending.Restore = out.Restore
		s.pending.Committed = nil
	}
}

// flush persists the pending writes before it sends messages, applies entries or answers reads.
func (s *Server) flush() {
	pending := s.pending
	s.pending = replicator.Output{}
	if s.failed != nil {
		return
	}
	if len(pending.Writes) > 0 {
		if err := s.config.Store.Persist(pending.Writes); err != nil {
			s.reopening = &reopening{nextAt: s.config.Now() + reopenInterval, leader: s.core.Leader(), term: s.core.Term()}
			s.fail(EventStoreFailed, err)
			return
		}
	}
	for _, message := range pending.Messages {
		s.send(message)
	}
	if pending.Restore != nil {
		s.restore(*pending.Restore)
	}
	for _, entry := range pending.Committed {
		s.apply(entry)
	}
	for _, confirmed := range pending.ReadIndexResults {
		s.confirms.onConfirmed(s, confirmed)
	}
	s.confirms.onApplied(s.appliedIndex)
	s.updateRole()
	s.compact()
}

// fail stops the instance from acknowledging anything, after a failed write or an entry or snapshot that cannot be decoded.
func (s *Server) fail(event string, err error) {
	s.failed = err
	s.config.Timeline.Add(event, s.config.Instance, err.Error())
	s.leaderTerm.Store(0)
	s.config.OnEvent(event, s.config.Instance, err.Error())
	for index, waiter := range s.waiters {
		waiter.done <- ProposeReply{Unknown: true}
		delete(s.waiters, index)
	}
	s.confirms.failAll()
}

func (s *Server) send(message replicator.Message) {
	box := s.outboxes[message.To]
	if box == nil {
		address, ok := s.addressOf(instanceOf(message.To))
		if !ok {
			return
		}
		box = newOutbox(newPeer(s.config.Linker, address), s.config.Timeline.Now, &s.group)
		s.outboxes[message.To] = box
	}
	box.add(message)
}

// LeaderTerm returns the current term and true if this instance is the leader and has committed an entry in the term. Otherwise
// it returns 0 and false.
func (s *Server) LeaderTerm() (term uint64, isLeader bool) {
	term = s.leaderTerm.Load()
	return term, term != 0
}

// Document returns the routing document. isFresh is false if no majority confirmed that it is the newest.
func (s *Server) Document() (document tabulator.Document, isFresh bool) {
	return freshRead(s, func() tabulator.Document { return s.machine.Document() })
}

// DataCentre returns the state of a data centre. isFresh is false if no majority confirmed that it is the newest.
func (s *Server) DataCentre(name string) (dataCentre tabulator.DataCentre, isFresh bool) {
	return freshRead(s, func() tabulator.DataCentre { return s.machine.DataCentre(name) })
}

// freshRead returns what read returns in the loop, and whether a majority confirmed that it is the newest.
func freshRead[T any](s *Server, read func() T) (T, bool) {
	type result struct {
		value   T
		isFresh bool
	}
	got, err := linearizableRead(s, func(ok bool) result { return result{value: read(), isFresh: ok} })
	return got.value, got.isFresh && err == nil
}

// Propose proposes a command, through the leader, and waits until it is applied.
func (s *Server) Propose(command tabulator.Command) ProposeReply { return s.propose(command) }

func (s *Server) updateRole() {
	s.leaderTerm.Store(0)
	if s.core.IsEstablishedLeader() {
		s.leaderTerm.Store(s.core.Term())
	}
	role := s.core.Role()
	if role == s.role {
		return
	}
	s.role = role
	s.sessions.onRole(role == replicator.RoleLeader, s.config.Now())
	s.config.Timeline.Add("control-role", s.config.Instance, string(role))
	s.config.OnEvent("control-role", s.config.Instance, fmt.Sprintf("%s in term %d", role, s.core.Term()))
}

func (s *Server) peerFor(instance string) (*peer, bool) {
	if p, ok := s.peers[instance]; ok {
		return p, true
	}
	address, ok := s.addressOf(instance)
	if !ok {
		return nil, false
	}
	p := newPeer(s.config.Linker, address)
	s.peers[instance] = p
	return p, true
}

// addressOf returns the address of a control instance. Instances found by discovery are named by their address.
func (s *Server) addressOf(instance string) (string, bool) {
	if address, ok := s.config.Addresses[instance]; ok {
		return address, true
	}
	return instance, s.config.Discovery != nil && instance != ""
}

func instanceOf(node replicator.NodeID) string {
	name, _, _ := strings.Cut(string(node), "/")
	return name
}
