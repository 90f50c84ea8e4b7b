// One call carries a batch of requests, cancellations and replies. Each batch
// names the incarnations of sender and receiver and has a sequence number that
// is never reused. A later incarnation of the receiver therefore rejects it,
// and a duplicate is detected.

package peer

import (
	"time"

	"lovagedeck/pkg/tabulator"
)

const (
	// KindSuccess is the reply to a request that a leaf answered.
	KindSuccess ReplyKind = iota + 1
	// KindNotRun is the reply to a request that no leaf started to execute.
	KindNotRun
	// KindUnknownOutcome is the reply to a request that a leaf may have executed.
	KindUnknownOutcome
)

const (
	// ReasonNotOwner means that the instance does not own the leaf.
	ReasonNotOwner = "not-owner"
	// ReasonMoved means that the leaf got another address while the request was queued.
	ReasonMoved = "leaf-moved"
	// ReasonFenced means that the new owner must not send to the leaf yet, because its previous owner may still do so.
	ReasonFenced = "fenced"
	// ReasonNoLease means that the lease of the owner has expired.
	ReasonNoLease = "no-lease"
	// ReasonNoOwner means that no instance owns the leaf.
	ReasonNoOwner = "no-owner"
	// ReasonOwnerUnreachable means that the owner could not be reached or rejected the batch.
	ReasonOwnerUnreachable = "owner-unreachable"
	// ReasonOwnerUnresponsive means that the owner did not acknowledge the request within the ack timeout.
	ReasonOwnerUnresponsive = "owner-silent"
	// ReasonConnect means that no connection to the leaf could be opened.
	ReasonConnect = "connect"
	// ReasonOutOfService means that the service, data centre or leaf is out of service.
	ReasonOutOfService = "taken-out"
	// ReasonUnknownLeaf means that the leaf is not on the list of leafs of the owner.
	ReasonUnknownLeaf = "unknown-leaf"
)

type (
	// ReplyKind is the outcome of a request.
	ReplyKind uint8

	// Request is a request to one leaf, sent to the owner of the leaf.
	Request struct {
		ID          uint64
		Query       string
		Leaf        string
		Service     string
		Shard       int
		Index       string
		Version     uint64
		RemainingUs int64
		// Effect is set if the request is not idempotent.
		Effect   bool
		Hedge    bool
		Caller   string
		Weight   float64
		Priority float64
		Text     string
	}

	// Holding is one shard of one index version that a leaf holds.
	Holding struct {
		Index   string
		Version uint64
		Shard   int
		Shards  int
	}

	// Condition is the load and admission state of a leaf as seen by its owner.
	Condition struct {
		Known   bool
		Limit   float64
		Slots   int
		Running int
		Queued  int
		Latency time.Duration
		// Threshold is the lowest priority that is admitted.
		Threshold float64
		// RateLimited is set while the leaf states a rate limit, and SlotWait is the time until it takes another request.
		RateLimited bool
		SlotWait    time.Duration
		// Resting is set while the leaf is in backoff, Cold while its concurrency limit is at the minimum.
		Resting bool
		Cold    bool
		// ClosedFor is the time since the concurrency limit was reset, ClosedReason why it was.
		ClosedFor    time.Duration
		ClosedReason string
	}

	// Reply is the outcome of a request, with timing and the state of the leaf.
	Reply struct {
		ID     uint64
		Leaf   string
		Kind   ReplyKind
		Reason string
		// Overload is set if the request was refused for lack of capacity, Faulty if the leaf failed.
		Overload bool
		Faulty   bool
		Index    string
		Version  uint64
		Shard    int
		Body     []byte
		// Queue, Connect and LeafTime are the times spent in the queue of the owner, opening a connection and at the leaf.
		Queue     time.Duration
		Connect   time.Duration
		LeafTime  time.Duration
		Condition Condition
		Holdings  []Holding
		// Epoch is the epoch of the owner's assignment of leafs.
		Epoch uint64
	}

	// Batch is the content of one call.
	Batch struct {
		From     tabulator.MemberID
		Address  string
		To       tabulator.MemberID
		Sequence uint64
		Asks     []Request
		Cancels  []uint64
		Replies  []Reply
	}

	// HoldingsQuery asks an owner which index versions and shards its leafs hold.
	HoldingsQuery struct {
		Leafs []string
	}

	// HoldingsReply has the holdings of each leaf that the owner knows, by leaf ID.
	HoldingsReply struct {
		Holdings map[string][]Holding
	}

	// ReleaseQuery asks the previous owner of leafs to give up their ownership.
	ReleaseQuery struct {
		From  tabulator.MemberID
		To    tabulator.MemberID
		Epoch uint64
		Leafs []string
	}

	// ReleasedLeaf is the state of one leaf that its previous owner hands over.
	ReleasedLeaf struct {
		Leaf string
		// Open is set if the previous owner was sending to the leaf.
		Open    bool
		Running int
		// RunningUntil is how much longer requests that were sent may run at the leaf.
		RunningUntil time.Duration
		Limit        float64
		Latency      time.Duration
	}

	// ReleaseReply has one entry for each leaf of the query.
	ReleaseReply struct {
		Leafs []ReleasedLeaf
	}

	// TicketQuery forwards a request to the instance that granted its ticket.
	TicketQuery struct {
		To      tabulator.MemberID
		Ticket  string
		Request []byte
	}

	// TicketReply is the result of the request, encoded by package caller.
	TicketReply struct {
		Answer []byte
	}
)
