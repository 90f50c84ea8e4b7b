// Server runs one control instance. All of its state belongs to the loop
// goroutine; calls hand it functions and wait for their result. The loop
// takes what waits, steps the replicator, persists once, and only then sends,
// applies and answers.

package controller

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/timeliner"
)

const (
	tickInterval    = 20 * time.Millisecond
	reportInterval  = 100 * time.Millisecond
	maxInputsAtOnce = 512
	snapshotEvery   = 1000
	answerTimeout   = 2 * time.Second
)

var errStopped = errors.New("the control instance has stopped")

type (
	// Store persists the writes of the replicator.
	Store interface {
		Persist(writes []replicator.Write) error
	}

	// ServerConfig is what a Server needs of its instance.
	ServerConfig struct {
		Instance  string
		Node      replicator.NodeID
		Founders  []replicator.NodeID
		Addresses map[string]string
		Linker    *linker.Linker
		Store     Store
		Saved     replicator.Saved
		Now       func() time.Duration
		Random    *rand.Rand
		Timeline  *timeliner.Timeline
	}

	// Server is one control instance.
	Server struct {
		config   ServerConfig
		core     *replicator.Core
		machine  *tabulator.Machine
		applied  uint64
		inputs   chan func()
		stop     chan struct{}
		group    conc.WaitGroup
		outboxes map[replicator.NodeID]*outbox
		reports  map[string]*peer
		pending  replicator.Output
		waiters  map[uint64]proposal
		confirms confirmQueue
		sessions *sessions
		lastTag  uint64
		role     replicator.Role
		failed   error
	}

	// proposal waits for the entry of a command to be applied.
	proposal struct {
		term uint64
		done chan ProposeReply
	}
)

// NewServer returns a control instance that continues from config.Saved; Run starts it.
func NewServer(config ServerConfig) (*Server, error) {
	saved := config.Saved
	if saved.Snapshot.Index == 0 && len(saved.Snapshot.Config.Voters) == 0 {
		saved.Snapshot.Config = replicator.Config{Voters: config.Founders}
	}
	core, err := replicator.New(config.Node, saved, config.Now(), config.Random)
	if err != nil {
		return nil, err
	}
	server := &Server{
		config: config, core: core, machine: tabulator.NewMachine(), applied: saved.Snapshot.Index,
		inputs: make(chan func(), maxInputsAtOnce), stop: make(chan struct{}), outboxes: map[replicator.NodeID]*outbox{},
		reports: map[string]*peer{}, waiters: map[uint64]proposal{},
		sessions: newSessions(config.Instance, config.Now()),
	}
	if len(saved.Snapshot.Data) > 0 {
		if server.machine, err = tabulator.Restore(saved.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	return server, nil
}

// Run starts the instance.
func (s *Server) Run() {
	s.group.Go(s.loop)
	s.group.Go(s.reportLoop)
}

// Close stops the instance.
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
		for _, p := range s.reports {
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
			s.step(replicator.Tick{})
			s.sessions.tickIfDue(s)
		}
		s.drainInputs()
		s.flushAll()
	}
}

// flushAll flushes until the steps that a flush causes are flushed as well.
func (s *Server) flushAll() {
	s.flush()
	for s.failed == nil && s.hasPending() {
		s.flush()
	}
}

func (s *Server) hasPending() bool {
	p := &s.pending
	return len(p.Writes)+len(p.Messages)+len(p.Committed)+len(p.Confirmed) > 0
}

func (s *Server) drainInputs() {
	for range maxInputsAtOnce {
		select {
		case input := <-s.inputs:
			input()
		default:
			return
		}
	}
}

// do runs work in the loop goroutine.
func (s *Server) do(work func()) error {
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
	s.pending.Confirmed = append(s.pending.Confirmed, out.Confirmed...)
	s.onProposed(out.Proposed)
	if out.Restore != nil {
		s.pending.Restore = out.Restore
		s.pending.Committed = nil
	}
}

// flush persists before anything else leaves the instance.
func (s *Server) flush() {
	pending := s.pending
	s.pending = replicator.Output{}
	if s.failed != nil {
		return
	}
	if len(pending.Writes) > 0 {
		if err := s.config.Store.Persist(pending.Writes); err != nil {
			s.fail(err)
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
	for _, confirmed := range pending.Confirmed {
		s.confirms.onConfirmed(s, confirmed)
	}
	s.confirms.onApplied(s.applied)
	s.noteRole()
	s.compact()
}

// fail stops all acknowledgement after a write that did not reach the disk.
func (s *Server) fail(err error) {
	s.failed = err
	s.config.Timeline.Add("control-failed", s.config.Instance, err.Error())
	for index, waiter := range s.waiters {
		waiter.done <- ProposeReply{Unknown: true}
		delete(s.waiters, index)
	}
	s.confirms.failAll()
}

func (s *Server) send(message replicator.Message) {
	box := s.outboxes[message.To]
	if box == nil {
		address, ok := s.config.Addresses[instanceOf(message.To)]
		if !ok {
			return
		}
		box = newOutbox(newPeer(s.config.Linker, address), s.config.Timeline.Now, &s.group)
		s.outboxes[message.To] = box
	}
	box.add(message)
}

func (s *Server) restore(snapshot replicator.Snapshot) {
	machine, err := tabulator.Restore(snapshot.Data)
	if err != nil {
		s.fail(err)
		return
	}
	s.machine = machine
	s.applied = snapshot.Index
	s.config.Timeline.Add("snapshot-installed", s.config.Instance, "the table was taken over from the leader")
}

func (s *Server) apply(entry replicator.Entry) {
	s.applied = entry.Index
	var result tabulator.Result
	if entry.Kind == replicator.EntryCommand {
		command, err := tabulator.Decode(entry.Data)
		if err != nil {
			s.fail(err)
			return
		}
		before := s.machine.TableRevision()
		result = s.machine.Apply(command)
		if s.machine.TableRevision() != before {
			s.sessions.onTableChange(result.Revision, s.config.Now())
		}
	}
	waiter, ok := s.waiters[entry.Index]
	if !ok {
		return
	}
	delete(s.waiters, entry.Index)
	if waiter.term != entry.Term {
		waiter.done <- ProposeReply{Unknown: true}
		return
	}
	waiter.done <- ProposeReply{Result: result}
}

func (s *Server) compact() {
	if s.core.LogLength() < snapshotEvery || s.failed != nil {
		return
	}
	data, err := s.machine.Snapshot()
	if err != nil {
		return
	}
	s.step(replicator.Compact{Index: s.applied, Data: data})
}

func (s *Server) noteRole() {
	role := s.core.Status().Role
	if role == s.role {
		return
	}
	s.role = role
	s.sessions.onRole(role == replicator.RoleLeader, s.config.Now())
	s.config.Timeline.Add("control-role", s.config.Instance, string(role))
}

func (s *Server) peerOf(instance string) (*peer, bool) {
	if p, ok := s.reports[instance]; ok {
		return p, true
	}
	address, ok := s.config.Addresses[instance]
	if !ok {
		return nil, false
	}
	p := newPeer(s.config.Linker, address)
	s.reports[instance] = p
	return p, true
}

func instanceOf(node replicator.NodeID) string {
	name, _, _ := strings.Cut(string(node), "/")
	return name
}
