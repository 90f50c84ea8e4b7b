// A confirmation gives an index that was committed after the request for it
// arrived. The leader sends one round of heartbeats for all requests that
// wait and answers them when a majority replied to that very round. A leader
// that has silently lost its majority therefore confirms nothing.

package replicator

import "time"

const confirmTimeout = 400 * time.Millisecond

type (
	confirmation struct {
		id    uint64
		from  NodeID
		until time.Duration
	}

	rounds struct {
		current uint64
		waiting []confirmation
		begun   []confirmation
		index   uint64
	}
)

func (c *Core) confirm(id uint64) {
	request := confirmation{id: id, from: c.id, until: c.now + confirmTimeout}
	if c.role == RoleLeader {
		c.rounds.waiting = append(c.rounds.waiting, request)
		c.beginRound()
		return
	}
	if c.leader == "" {
		c.out.Confirmed = append(c.out.Confirmed, Confirmed{ID: id})
		return
	}
	c.rounds.waiting = append(c.rounds.waiting, request)
	c.send(Message{Kind: MessageConfirm, To: c.leader, ConfirmID: id})
}

func (c *Core) onConfirm(m Message) {
	if c.role != RoleLeader || c.progress[m.From] == nil {
		c.send(Message{Kind: MessageConfirmReply, To: m.From, ConfirmID: m.ConfirmID, Rejected: true})
		return
	}
	c.rounds.waiting = append(c.rounds.waiting, confirmation{id: m.ConfirmID, from: m.From, until: c.now + confirmTimeout})
	c.beginRound()
}

func (c *Core) onConfirmReply(m Message) {
	for i, request := range c.rounds.waiting {
		if request.from == c.id && request.id == m.ConfirmID {
			c.rounds.waiting = append(c.rounds.waiting[:i], c.rounds.waiting[i+1:]...)
			c.out.Confirmed = append(c.out.Confirmed, Confirmed{ID: m.ConfirmID, Index: m.Index, OK: !m.Rejected})
			return
		}
	}
}

// beginRound starts a round unless one is under way, whose end starts the next.
func (c *Core) beginRound() {
	if len(c.rounds.begun) == 0 && c.Leading() {
		c.broadcast()
	}
}

// start moves the waiting requests into a new round; requests of the round under way stay with it.
func (r *rounds) start() {
	r.current++
	if len(r.begun) == 0 {
		r.begun = r.waiting
		r.waiting = nil
		r.index = r.current
	}
}

// conclude answers the round under way once a majority replied to it.
func (r *rounds) conclude(c *Core) {
	if c.role != RoleLeader || len(r.begun) == 0 || !c.Leading() || !c.roundReached(r.index) {
		return
	}
	begun := r.begun
	r.begun = nil
	for _, request := range begun {
		c.answerConfirm(request, true)
	}
	if len(r.waiting) > 0 {
		c.broadcast()
	}
}

func (c *Core) roundReached(round uint64) bool {
	reached := 0
	for _, id := range c.log.config.Voters {
		if id == c.id || c.progress[id].round >= round {
			reached++
		}
	}
	return reached >= c.log.config.majority()
}

func (c *Core) answerConfirm(request confirmation, ok bool) {
	if request.from == c.id {
		c.out.Confirmed = append(c.out.Confirmed, Confirmed{ID: request.id, Index: c.commit, OK: ok})
		return
	}
	c.send(Message{Kind: MessageConfirmReply, To: request.from, ConfirmID: request.id, Index: c.commit, Rejected: !ok})
}

func (r *rounds) failAll(c *Core) {
	for _, request := range append(r.begun, r.waiting...) {
		c.answerConfirm(request, false)
	}
	r.begun, r.waiting = nil, nil
}

// expire fails the requests of a follower whose leader does not answer.
func (r *rounds) expire(c *Core) {
	var kept []confirmation
	for _, request := range r.waiting {
		if c.now < request.until {
			kept = append(kept, request)
			continue
		}
		c.answerConfirm(request, false)
	}
	r.waiting = kept
}
