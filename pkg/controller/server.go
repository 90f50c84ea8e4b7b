// Server runs one control instance. All of its state belongs to the loop
// goroutine; calls hand it functions and wait for their result. The loop
// takes what waits, steps the replicator, persists once, and only then sends,
// applies and answers.

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
	// tickInterval is how finely elections are timed; several instances in one tick split the vote.
	tickInterval   = 10 * time.Millisecond
	reportInterval = 100 * time.Millisecond
	// firstReport is the pause between reports until this instance has a list of leafs: after a loss of all instances entry
	// instances wait for it.
	firstReport     = 20 * time.Millisecond
	maxInputsAtOnce = 512
	snapshotEvery   = 1000
	// snapshotBytes bounds the commands kept since the snapshot; a tenth of the smallest disk known, 128 MB, holds three of them.
	snapshotBytes = 4 << 20
	bytesInterval = time.Second
	answerTimeout = 2 * time.Second
)

// NoteFailed is the kind of the note that the instance stopped acknowledging, since a write did not reach the disk.
const NoteFailed = "control-failed"

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
		// Board holds the list of leafs; nil where the instance has none to hand on.
		Board *lister.RosterStore
		// Founding tells how control instances find each other; nil where the settings list them.
		Founding *Founding
		// Renewal is the pause between renewals that entry instances are told to keep; 0 leaves it to them.
		Renewal time.Duration
		// Note takes each change of what the instance believes, as kind, peer and text; nil drops it.
		Note func(kind, peer, text string)
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
		recruits recruits
		sizedAt  time.Duration
		// standing is the term in which this instance leads, 0 where it does not.
		standing atomic.Uint64
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
		sessions: newSessions(config.Instance, config.Now()), recruits: newRecruits(config.Founding),
	}
	if server.config.Note == nil {
		server.config.Note = func(string, string, string) {}
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
	if s.config.Founding != nil {
		s.group.Go(s.announceLoop)
	}
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
			s.confirms.ask(s)
			s.sessions.tickIfDue(s)
			s.recruits.tickIfDue(s)
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
	s.standing.Store(0)
	s.config.Note(NoteFailed, s.config.Instance, err.Error())
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
	if s.failed != nil || !s.snapshotDue() {
		return
	}
	data, err := s.machine.Snapshot()
	if err != nil {
		return
	}
	s.step(replicator.Compact{Index: s.applied, Data: data})
}

// snapshotDue looks at the bytes of the log only now and then, since that walks the log.
func (s *Server) snapshotDue() bool {
	if s.core.LogLength() >= snapshotEvery {
		return true
	}
	now := s.config.Now()
	if now-s.sizedAt < bytesInterval {
		return false
	}
	s.sizedAt = now
	return s.core.LogBytes() >= snapshotBytes
}

// Standing returns the term in which this instance leads, and whether it does.
func (s *Server) Standing() (term uint64, leads bool) {
	term = s.standing.Load()
	return term, term != 0
}

// Document returns the routing document; fresh is false where no majority confirmed that it is the newest.
func (s *Server) Document() (document tabulator.Document, fresh bool) {
	err := s.read(func(ok bool) {
		fresh = ok
		document = s.machine.Document()
	})
	return document, fresh && err == nil
}

// Propose puts a command into the log, through the leader, and waits until it is applied.
func (s *Server) Propose(command tabulator.Command) ProposeReply { return s.propose(command) }

func (s *Server) noteRole() {
	s.standing.Store(0)
	if s.core.Leading() {
		s.standing.Store(s.core.Term())
	}
	role := s.core.Role()
	if role == s.role {
		return
	}
	s.role = role
	s.sessions.onRole(role == replicator.RoleLeader, s.config.Now())
	s.config.Timeline.Add("control-role", s.config.Instance, string(role))
	s.config.Note("control-role", s.config.Instance, fmt.Sprintf("%s in term %d", role, s.core.Term()))
}

func (s *Server) peerOf(instance string) (*peer, bool) {
	if p, ok := s.reports[instance]; ok {
		return p, true
	}
	address, ok := s.addressOf(instance)
	if !ok {
		return nil, false
	}
	p := newPeer(s.config.Linker, address)
	s.reports[instance] = p
	return p, true
}

// addressOf returns the address of a control instance; where none is listed, instances are named by their address.
func (s *Server) addressOf(instance string) (string, bool) {
	if address, ok := s.config.Addresses[instance]; ok {
		return address, true
	}
	return instance, s.config.Founding != nil && instance != ""
}

func instanceOf(node replicator.NodeID) string {
	name, _, _ := strings.Cut(string(node), "/")
	return name
}
