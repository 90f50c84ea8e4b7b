// One call carries a batch of asks, cancellations and replies. The batch
// names the incarnation of both ends and a sequence number that is never
// used again, so nothing reaches a later run of an instance by mistake.

package fellow

import (
	"time"

	"lovagedeck/pkg/tabulator"
)

const (
	// KindHit is a reply with the answer of a leaf.
	KindHit ReplyKind = iota + 1
	// KindNotRun is a reply for a request that no leaf started.
	KindNotRun
	// KindUnknown is a reply for a request that may have run.
	KindUnknown
)

const (
	// ReasonNotOwner says that the instance does not own the leaf.
	ReasonNotOwner = "not-owner"
	// ReasonFenced says that the owner may not send to the leaf yet.
	ReasonFenced = "fenced"
	// ReasonNoLease says that the lease of the owner has run out.
	ReasonNoLease = "no-lease"
	// ReasonNoOwner says that no instance owns the leaf.
	ReasonNoOwner = "no-owner"
	// ReasonUnreachable says that the owner could not be reached.
	ReasonUnreachable = "owner-unreachable"
	// ReasonSilent says that the owner did not take the request in the usual time.
	ReasonSilent = "owner-silent"
	// ReasonConnect says that no connection to the leaf could be opened.
	ReasonConnect = "connect"
	// ReasonTakenOut says that the row, data centre or leaf takes no new work.
	ReasonTakenOut = "taken-out"
	// ReasonUnknownLeaf says that the roster of the owner does not have the leaf.
	ReasonUnknownLeaf = "unknown-leaf"
)

type (
	// ReplyKind says how a request ended.
	ReplyKind uint8

	// Ask is a request for one leaf.
	Ask struct {
		ID          uint64
		Query       string
		Leaf        string
		Service     string
		Shard       int
		Index       string
		Version     uint64
		RemainingUs int64
		Effect      bool
		Hedge       bool
		Caller      string
		Weight      float64
		Priority    float64
		Text        string
	}

	// Holding is one shard of one version.
	Holding struct {
		Index   string
		Version uint64
		Shard   int
		Shards  int
	}

	// Condition is what the owner knows of a leaf.
	Condition struct {
		Known        bool
		Limit        float64
		Slots        int
		Running      int
		Queued       int
		Latency      time.Duration
		Threshold    float64
		Resting      bool
		Cold         bool
		ClosedFor    time.Duration
		ClosedReason string
	}

	// Reply is the end of a request.
	Reply struct {
		ID        uint64
		Leaf      string
		Kind      ReplyKind
		Reason    string
		Overload  bool
		Faulty    bool
		Index     string
		Version   uint64
		Shard     int
		Body      []byte
		Queue     time.Duration
		Connect   time.Duration
		LeafTime  time.Duration
		Condition Condition
		Holdings  []Holding
		Epoch     uint64
	}

	// Batch is what one call carries.
	Batch struct {
		From     tabulator.MemberID
		Address  string
		To       tabulator.MemberID
		Sequence uint64
		Asks     []Ask
		Cancels  []uint64
		Replies  []Reply
	}

	// HoldingsQuery asks an owner what its leafs hold.
	HoldingsQuery struct {
		Leafs []string
	}

	// HoldingsReply has, for each leaf that the owner knows, what it holds.
	HoldingsReply struct {
		Holdings map[string][]Holding
	}

	// ReleaseQuery asks a former owner to give up leafs.
	ReleaseQuery struct {
		From  tabulator.MemberID
		To    tabulator.MemberID
		Epoch uint64
		Leafs []string
	}

	// Released is what a former owner hands over with one leaf.
	Released struct {
		Leaf         string
		Open         bool
		Running      int
		RunningUntil time.Duration
		Limit        float64
		Latency      time.Duration
	}

	// ReleaseReply has one entry for each leaf.
	ReleaseReply struct {
		Leafs []Released
	}

	// TicketQuery passes a request to the instance that granted its ticket.
	TicketQuery struct {
		To      tabulator.MemberID
		Ticket  string
		Request []byte
	}

	// TicketReply is the outcome of a request with a ticket, encoded by the caller package.
	TicketReply struct {
		Answer []byte
	}
)
