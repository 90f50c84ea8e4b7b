package replicator

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

type (
	// registerInput is a change that rests on a version, or a read.
	registerInput struct {
		write bool
		base  int
		value string
	}

	// registerOutput is what the operator was told.
	registerOutput struct {
		accepted bool
		version  int
		value    string
		known    bool
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
		if !in.write {
			return !out.known || (out.version == s.version && out.value == s.value), s
		}
		next := register{version: s.version + 1, value: in.value}
		accepted := in.base == s.version
		if !out.known {
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

// TestHistoriesAreLinearizable replays what each node applied into the register and compares all answers.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(25) {
		c := newCluster(seed, 3)
		history := newRegisterHistory(c)
		for i := range 6000 {
			c.now += stepTime / 4
			c.thaw(1)
			history.step(i)
			if len(c.faults) > 0 {
				t.Fatalf("seed %d: %s", seed, c.faults[0])
			}
		}
		if !porcupine.CheckOperations(registerModel, history.operations()) {
			t.Fatalf("seed %d: the answers fit no order", seed)
		}
		if history.answered == 0 {
			t.Fatalf("seed %d: nothing was answered", seed)
		}
	}
}

type registerHistory struct {
	c        *cluster
	writes   map[uint64]*operation
	reads    map[uint64]*operation
	all      []*operation
	answered int
}

func newRegisterHistory(c *cluster) *registerHistory {
	return &registerHistory{c: c, writes: map[uint64]*operation{}, reads: map[uint64]*operation{}}
}

// step does one random step of the cluster, offers a change or a read now and then, and collects answers.
func (h *registerHistory) step(i int) {
	if len(h.all) < 24 && h.c.random.IntN(40) == 0 {
		h.offer(i)
	}
	h.c.randomStep(i)
	h.collect()
}

func (h *registerHistory) offer(i int) {
	for _, n := range h.c.up() {
		if !n.core.Leading() || n.frozen > 0 {
			continue
		}
		if h.c.random.IntN(2) == 0 {
			op := &operation{call: h.c.now}
			h.c.confirm(n)
			h.reads[h.c.nextRead] = op
			h.all = append(h.all, op)
			return
		}
		op := &operation{call: h.c.now, input: registerInput{write: true, base: h.replay(n.core.Status().Commit).version, value: fmt.Sprint(i)}}
		h.c.propose(n, fmt.Sprintf("put %d %s", op.input.base, op.input.value))
		h.writes[h.c.nextTag] = op
		h.all = append(h.all, op)
		return
	}
}

func (h *registerHistory) collect() {
	for tag, entry := range h.c.acked {
		op := h.writes[tag]
		if op == nil {
			continue
		}
		delete(h.writes, tag)
		before := h.replay(entry.Index - 1)
		op.output = registerOutput{known: true, accepted: before.version == op.input.base}
		op.end = h.c.now
		h.answered++
	}
	for id, op := range h.reads {
		if _, waiting := h.c.reads[id]; waiting {
			continue
		}
		delete(h.reads, id)
		if index, ok := h.c.confirmed[id]; ok {
			at := h.replay(index)
			op.output = registerOutput{known: true, version: at.version, value: at.value}
			op.end = h.c.now
			h.answered++
		}
	}
}

// replay returns the register after the committed entries up to index.
func (h *registerHistory) replay(index uint64) register {
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

// operations returns the history; what was never answered may have taken effect at any later time.
func (h *registerHistory) operations() []porcupine.Operation {
	operations := make([]porcupine.Operation, 0, len(h.all))
	for i, op := range h.all {
		end := op.end
		if !op.output.known {
			end = h.c.now + time.Hour
		}
		operations = append(operations, porcupine.Operation{
			ClientId: i, Input: op.input, Output: op.output, Call: int64(op.call), Return: int64(end),
		})
	}
	return operations
}
