// Linearizable reads use the read-index protocol of Raft. A read index is a commit
// index that the leader confirmed after the request arrived. The leader sends one
// round of heartbeats for all queued requests and answers them once a majority has
// replied to that round. A leader that has lost its majority without noticing
// therefore answers no request.

package replicator

import "time"

const readIndexTimeout = 400 * time.Millisecond

type (
	// readRequest is a read-index request of this node, or of a follower that sent it to this leader.
	readRequest struct {
		id       uint64
		from     NodeID
		deadline time.Duration
	}

	// readRounds assigns read-index requests to rounds of heartbeats. On a follower, queued holds the requests that were sent to
	// the leader, and inFlight is empty.
	readRounds struct {
		// lastRound is the number of the latest broadcast of this leader.
		lastRound     uint64
		queued        []readRequest
		inFlight      []readRequest
		inFlightRound uint64
	}
)

func (c *Core) requestReadIndex(id uint64) {
	request := readRequest{id: id, from: c.id, deadline: c.now + readIndexTimeout}
	if c.role == RoleLeader {
		c.readRounds.queued = append(c.readRounds.queued, request)
		c.startRoundIfIdle()
		return
	}
	if c.leader == "" {
		c.output.ReadIndexResults = append(c.output.ReadIndexResults, ReadIndexResult{ID: id})
		return
	}
	c.readRounds.queued = append(c.readRounds.queued, request)
	c.send(Message{Kind: MessageReadIndex, To: c.leader, ConfirmID: id})
}

func (c *Core) onReadIndex(m Message) {
	if c.role != RoleLeader || c.progress[m.From] == nil {
		c.send(Message{Kind: MessageReadIndexReply, To: m.From, ConfirmID: m.ConfirmID, Rejected: true})
		return
	}
	c.readRounds.queued = append(c.readRounds.queued, readRequest{id: m.ConfirmID, from: m.From, deadline: c.now + readIndexTimeout})
	c.startRoundIfIdle()
}

func (c *Core) onReadIndexReply(m Message) {
	for i, request := range c.readRounds.queued {
		if request.from == c.id && request.id == m.ConfirmID {
			c.readRounds.queued = append(c.readRounds.queued[:i], c.readRounds.queued[i+1:]...)
			c.output.ReadIndexResults = append(c.output.ReadIndexResults, ReadIndexResult{ID: m.ConfirmID, Index: m.Index, OK: !m.Rejected})
			return
		}
	}
}

// startRoundIfIdle starts a round of heartbeats unless requests are in flight, in which case their completion starts the next
// round. A leader that has not yet committed an entry of its term starts no extra round, and the requests join its next broadcast.
func (c *Core) startRoundIfIdle() {
	if len(c.readRounds.inFlight) == 0 && c.IsEstablishedLeader() {
		c.broadcast()
	}
}

// start begins a new round. It moves the queued requests into this round unless an earlier round still has requests in flight.
func (r *readRounds) start() {
	r.lastRound++
	if len(r.inFlight) == 0 {
		r.inFlight = r.queued
		r.queued = nil
		r.inFlightRound = r.lastRound
	}
}

// completeInFlight answers the requests in flight once a majority has replied to their round or a later one.
func (r *readRounds) completeInFlight(c *Core) {
	if c.role != RoleLeader || len(r.inFlight) == 0 || !c.IsEstablishedLeader() || !c.hasRoundQuorum(r.inFlightRound) {
		return
	}
	inFlight := r.inFlight
	r.inFlight = nil
	for _, request := range inFlight {
		c.answerReadIndex(request, true)
	}
	if len(r.queued) > 0 {
		c.broadcast()
	}
}

func (c *Core) hasRoundQuorum(round uint64) bool {
	acked := 0
	for _, id := range c.log.config.Voters {
		if id == c.id || c.progress[id].ackedRound >= round {
			acked++
		}
	}
	return acked >= c.log.config.quorum()
}

func (c *Core) answerReadIndex(request readRequest, ok bool) {
	if request.from == c.id {
		c.output.ReadIndexResults = append(c.output.ReadIndexResults, ReadIndexResult{ID: request.id, Index: c.commit, OK: ok})
		return
	}
	c.send(Message{Kind: MessageReadIndexReply, To: request.from, ConfirmID: request.id, Index: c.commit, Rejected: !ok})
}

func (r *readRounds) failAll(c *Core) {
	for _, request := range append(r.inFlight, r.queued...) {
		c.answerReadIndex(request, false)
	}
	r.inFlight, r.queued = nil, nil
}

// expireQueued fails the requests of a non-leader that the leader did not answer in time.
func (r *readRounds) expireQueued(c *Core) {
	var kept []readRequest
	for _, request := range r.queued {
		if c.now < request.deadline {
			kept = append(kept, request)
			continue
		}
		c.answerReadIndex(request, false)
	}
	r.queued = kept
}
