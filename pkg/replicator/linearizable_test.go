package replicator

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

type (
	// registerInput is a read, or a conditional write that succeeds only at baseVersion.
	registerInput struct {
		isWrite     bool
		baseVersion int
		value       string
	}

	// registerOutput is the answer to an operation. It is unset unless isKnown is true.
	registerOutput struct {
		accepted bool
		version  int
		value    string
		isKnown  bool
	}

	register struct {
		version int
		value   string
	}

	operation struct {
		input  registerInput
		output registerOutput
		call   time.Duration
		end    time.Duration
	}
)

var registerModel = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(register), input.(registerInput), output.(registerOutput)
		if !in.isWrite {
			return !out.isKnown || (out.version == s.version && out.value == s.value), s
		}
		next := register{version: s.version + 1, value: in.value}
		accepted := in.baseVersion == s.version
		if !out.isKnown {
			if accepted {
				return true, next
			}
			return true, s
		}
		if out.accepted != accepted {
			return false, s
		}
		if accepted {
			return true, next
		}
		return true, s
	},
}

// Runs reads and conditional writes on a register under random failures and checks the answers for linearizability.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(25) {
		c := newCluster(seed, 3)
		history := newRegisterHistory(c)
		for i := range 6000 {
			c.now += stepTime / 4
			c.resumePaused(1)
			history.step(i)
			if len(c.violations) > 0 {
				t.Fatalf("seed %d: %s", seed, c.violations[0])
			}
		}
		if !porcupine.CheckOperations(registerModel, history.operations()) {
			t.Fatalf("seed %d: history of answers is not linearizable", seed)
		}
		if history.answeredCount == 0 {
			t.Fatalf("seed %d: got no answers, want at least one", seed)
		}
	}
}

type registerHistory struct {
	c             *cluster
	writes        map[uint64]*operation
	reads         map[uint64]*operation
	issued        []*operation
	answeredCount int
}

func newRegisterHistory(c *cluster) *registerHistory {
	return &registerHistory{c: c, writes: map[uint64]*operation{}, reads: map[uint64]*operation{}}
}

// step sometimes starts an operation, runs one random step of the cluster and collects the answers.
func (h *registerHistory) step(i int) {
	if len(h.issued) < 24 && h.c.random.IntN(40) == 0 {
		h.startOperation(i)
	}
	h.c.randomStep(i)
	h.collectAnswers()
}

func (h *registerHistory) startOperation(i int) {
	for _, n := range h.c.runningNodes() {
		if !n.core.IsEstablishedLeader() || n.pausedSteps > 0 {
			continue
		}
		if h.c.random.IntN(2) == 0 {
			op := &operation{call: h.c.now}
			h.c.requestRead(n)
			h.reads[h.c.lastReadID] = op
			h.issued = append(h.issued, op)
			return
		}
		op := &operation{call: h.c.now, input: registerInput{isWrite: true, baseVersion: h.registerAt(n.core.Status().Commit).version, value: fmt.Sprint(i)}}
		h.c.propose(n, fmt.Sprintf("put %d %s", op.input.baseVersion, op.input.value))
		h.writes[h.c.lastTag] = op
		h.issued = append(h.issued, op)
		return
	}
}

func (h *registerHistory) collectAnswers() {
	for tag, entry := range h.c.acked {
		op := h.writes[tag]
		if op == nil {
			continue
		}
		delete(h.writes, tag)
		before := h.registerAt(entry.Index - 1)
		op.output = registerOutput{isKnown: true, accepted: before.version == op.input.baseVersion}
		op.end = h.c.now
		h.answeredCount++
	}
	for id, op := range h.reads {
		if _, waiting := h.c.pendingReads[id]; waiting {
			continue
		}
		delete(h.reads, id)
		if index, ok := h.c.readIndexes[id]; ok {
			at := h.registerAt(index)
			op.output = registerOutput{isKnown: true, version: at.version, value: at.value}
			op.end = h.c.now
			h.answeredCount++
		}
	}
}

// registerAt returns the register after the committed entries up to index.
func (h *registerHistory) registerAt(index uint64) register {
	var r register
	for i := uint64(1); i <= index; i++ {
		var base int
		var value string
		if n, _ := fmt.Sscanf(string(h.c.committed[i].Data), "put %d %s", &base, &value); n == 2 && base == r.version {
			r = register{version: r.version + 1, value: value}
		}
	}
	return r
}

// operations returns the history. An operation without an answer may take effect at any later time, so it ends after the history.
func (h *registerHistory) operations() []porcupine.Operation {
	operations := make([]porcupine.Operation, 0, len(h.issued))
	for i, op := range h.issued {
		end := op.end
		if !op.output.isKnown {
			end = h.c.now + time.Hour
		}
		operations = append(operations, porcupine.Operation{
			ClientId: i, Input: op.input, Output: op.output, Call: int64(op.call), Return: int64(end),
		})
	}
	return operations
}
