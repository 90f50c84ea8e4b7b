// Load pattern: many clients, each within every limit, together hold more
// memory or descriptors than the process has: heads and bodies in part,
// answers that they do not read, connections without a request. Sound clients
// are among them and must be served on. A client that has sent least for the
// longest time is closed first. A request that may be at a leaf is never closed.

package evictor

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Receiving is a connection on which a part of a message has arrived, or nothing yet.
	Receiving Phase = iota
	// Answering is a connection whose other end takes an answer.
	Answering
	// Idle is a connection between two messages.
	Idle
	// Running is a connection with a request that may be at a leaf, or one of another instance. It is never closed.
	Running
)

const (
	// SlowMessage is the reason of a connection whose message, or whose first byte, has not arrived in time.
	SlowMessage Reason = "message in part"
	// UnreadAnswer is the reason of a connection whose other end does not read an answer.
	UnreadAnswer Reason = "answer unread"
	// LargeMessage is the reason of a connection with the largest message in part, or the oldest one of the same size, although it arrives at
	// ordinary speed.
	LargeMessage Reason = "large message in part"
	// LongIdle is the reason of a connection that was idle longest.
	LongIdle Reason = "idle"
)

const (
	// messagePatience is the time within which a message of ordinary size arrives: several round trips of 40 ms, and one lost packet.
	messagePatience = time.Second
	// headPatience is the time within which most heads arrive whole, and other instances prove what they are: a few round trips. New
	// connections cannot wait longer for room, since their callers give up after a second.
	headPatience = 200 * time.Millisecond
	// answerPatience is the time without progress after which an answer counts as unread. It outlasts three retransmissions.
	answerPatience = 3 * time.Second
	// idlePatience protects callers that send one request after the other.
	idlePatience = time.Second
)

type (
	// Phase is what happens on a connection.
	Phase int

	// Reason states why a connection is closed.
	Reason string

	// Client is one connection.
	Client struct {
		Phase Phase
		// IsInBody is set while the body of a request is received, which takes longer than a head.
		IsInBody bool
		// Since is the begin of the phase. For an answer, it is the time of the last progress.
		Since time.Duration
		// Received is the number of bytes of the message in part.
		Received int64
		// Held is the memory that the connection holds, in bytes.
		Held int64
	}

	// Need is what must become free.
	Need struct {
		// Bytes is the memory, and Connections the number of connections.
		Bytes       int64
		Connections int
		// SpareBytes and SpareConnections are freed beyond that, but not from idle connections, which may be those of sound clients.
		SpareBytes       int64
		SpareConnections int
		// IsUrgent is set if memory is held already, rather than asked for by a new connection that can wait.
		IsUrgent bool
		// RequestBytes is what a request that has arrived whole will hold, or 0. Larger heads in part make room for it, however young they are.
		RequestBytes int64
	}

	// Victim is a connection to close, by its index.
	Victim struct {
		Index  int
		Reason Reason
	}

	candidate struct {
		Victim
		class int
		// order sorts the candidates of a class, the smallest first.
		order float64
		since time.Duration
		held  int64
	}
)

// Reasons returns all reasons for which a connection is closed.
func Reasons() []Reason { return []Reason{SlowMessage, UnreadAnswer, LargeMessage, LongIdle} }

// Choose returns the connections to close, first those that sent least for longest, until the need is met or no connection may be closed.
func Choose(clients []Client, need Need, now time.Duration) []Victim {
	var candidates []candidate
	for i, c := range clients {
		if found, ok := classify(c, need, now); ok {
			found.Index, found.since, found.held = i, c.Since, c.Held
			candidates = append(candidates, found)
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.order, b.order), cmp.Compare(a.since, b.since))
	})
	var victims []Victim
	for _, c := range candidates {
		isMet := need.Bytes <= 0 && need.Connections <= 0
		if isMet && (c.Reason == LongIdle || need.Bytes+need.SpareBytes <= 0 && need.Connections+need.SpareConnections <= 0) {
			break
		}
		need.Bytes -= c.held
		need.Connections--
		victims = append(victims, c.Victim)
	}
	return victims
}

func classify(c Client, need Need, now time.Duration) (candidate, bool) {
	age := now - c.Since
	switch {
	case c.Phase == Receiving && age >= messagePatience:
		return candidate{Victim: Victim{Reason: SlowMessage}, class: 0, order: float64(c.Received+1) / age.Seconds()}, true
	case c.Phase == Answering && age >= answerPatience:
		return candidate{Victim: Victim{Reason: UnreadAnswer}, class: 1, order: -age.Seconds()}, true
	case c.Phase == Receiving && (need.IsUrgent || !c.IsInBody && (age >= headPatience || need.RequestBytes > 0 && c.Held > need.RequestBytes)):
		return candidate{Victim: Victim{Reason: LargeMessage}, class: 2, order: -float64(c.Held)}, true
	case c.Phase == Idle && age >= idlePatience:
		return candidate{Victim: Victim{Reason: LongIdle}, class: 3, order: -age.Seconds()}, true
	}
	return candidate{}, false
}
