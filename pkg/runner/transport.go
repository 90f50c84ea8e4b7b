package runner

import (
	"sync"

	"github.com/pkg/errors"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/fellow"
	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/tabulator"
)

// fewestLinks is how many fellows must be known before their silence says something about this instance.
const fewestLinks = 3

// transport carries asks, cancellations and replies between instances. What
// is for this instance goes through a mailbox, so that neither side runs
// inside the lock of the other.
type transport struct {
	linker  *linker.Linker
	self    tabulator.MemberID
	address string
	local   *mailbox
	lost    fellow.UndeliveredFunc
	mu      sync.Mutex
	links   map[tabulator.MemberID]*fellow.Link
	closed  bool
}

func newTransport(l *linker.Linker, self tabulator.MemberID, address string) *transport {
	return &transport{linker: l, self: self, address: address, links: map[tabulator.MemberID]*fellow.Link{}}
}

// Ask sends a request to the owner of a leaf.
func (t *transport) Ask(owner tabulator.Member, ask fellow.Request) {
	if owner.ID() == t.self {
		t.local.ask(ask)
		return
	}
	t.toMember(owner).QueueRequest(ask)
}

// Cancel gives up a request.
func (t *transport) Cancel(owner tabulator.MemberID, id uint64) {
	if owner == t.self {
		t.local.cancel(id)
		return
	}
	t.mu.Lock()
	link := t.links[owner]
	t.mu.Unlock()
	if link != nil {
		link.QueueCancel(id)
	}
}

// Reply sends a reply to the instance that asked.
func (t *transport) Reply(to tabulator.MemberID, address string, reply fellow.Reply) {
	if to == t.self {
		t.local.reply(reply)
		return
	}
	t.link(to, address).QueueReply(reply)
}

// IsUnresponsive tells whether an instance has not taken what was last sent to it.
func (t *transport) IsUnresponsive(owner tabulator.MemberID) bool {
	t.mu.Lock()
	link := t.links[owner]
	t.mu.Unlock()
	return link != nil && link.IsUnresponsive()
}

// IsCutOff tells whether most of the fellows that this instance talks to are silent.
func (t *transport) IsCutOff() bool {
	t.mu.Lock()
	links := make([]*fellow.Link, 0, len(t.links))
	for _, link := range t.links {
		links = append(links, link)
	}
	t.mu.Unlock()
	silent := 0
	for _, link := range links {
		if link.IsUnresponsive() {
			silent++
		}
	}
	return len(links) >= fewestLinks && 2*silent > len(links)
}

// FetchHoldings asks an owner what its leafs hold.
func (t *transport) FetchHoldings(owner tabulator.Member, leafs []string) (map[string][]fellow.Holding, error) {
	if owner.ID() == t.self {
		return t.local.handler.Holdings(leafs), nil
	}
	var reply fellow.HoldingsReply
	err := t.toMember(owner).Call("Holdings", fellow.HoldingsQuery{Leafs: leafs}, &reply)
	return reply.Holdings, err
}

// AskRelease asks a former owner to give up a leaf.
func (t *transport) AskRelease(from tabulator.Member, epoch uint64, id assigner.LeafID) (fellow.ReleasedLeaf, bool) {
	query := fellow.ReleaseQuery{From: t.self, To: from.ID(), Epoch: epoch, Leafs: []string{string(id)}}
	var reply fellow.ReleaseReply
	if err := t.toMember(from).Call("Release", query, &reply); err != nil || len(reply.Leafs) == 0 {
		return fellow.ReleasedLeaf{}, false
	}
	return reply.Leafs[0], true
}

// RunTicket passes a request to the instance that granted its ticket.
func (t *transport) RunTicket(to tabulator.Member, ticket string, request []byte) ([]byte, error) {
	var reply fellow.TicketReply
	query := fellow.TicketQuery{To: to.ID(), Ticket: ticket, Request: request}
	if err := t.toMember(to).CallWithTimeout(ticketTimeout, "RunTicket", query, &reply); err != nil {
		return nil, errors.Wrap(err, "pass the ticket on")
	}
	return reply.Answer, nil
}

// retain closes the links to incarnations that are no longer members.
func (t *transport) retain(view *tabulator.View) {
	t.mu.Lock()
	var gone []*fellow.Link
	for id, link := range t.links {
		if member, ok := view.Member(id.Instance); !ok || member.ID() != id {
			gone = append(gone, link)
			delete(t.links, id)
		}
	}
	t.mu.Unlock()
	for _, link := range gone {
		go link.Close()
	}
}

func (t *transport) close() {
	t.mu.Lock()
	t.closed = true
	links := t.links
	t.links = map[tabulator.MemberID]*fellow.Link{}
	t.mu.Unlock()
	for _, link := range links {
		link.Close()
	}
}

func (t *transport) toMember(member tabulator.Member) *fellow.Link {
	return t.link(member.ID(), member.FellowAddress())
}

func (t *transport) link(to tabulator.MemberID, address string) *fellow.Link {
	t.mu.Lock()
	defer t.mu.Unlock()
	if link := t.links[to]; link != nil {
		return link
	}
	link := fellow.NewReplyLink(t.linker, t.self, t.address, to, address, t.lost)
	if t.closed {
		go link.Close()
		return link
	}
	t.links[to] = link
	return link
}
