package runner

import (
	"sync"

	"github.com/pkg/errors"

	"lovagedeck/pkg/assigner"
	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/peer"
	"lovagedeck/pkg/tabulator"
)

// minLinksForCutOff is the number of links below which unresponsive peers are no evidence that this instance is cut off.
const minLinksForCutOff = 3

// transport carries requests, cancellations and replies between instances.
// Messages to the instance itself go through a mailbox. A direct call would
// run the dispatcher under the lock of the owner, or the reverse.
type transport struct {
	linker        *linker.Linker
	self          tabulator.MemberID
	selfAddress   string
	mailbox       *mailbox
	onUndelivered peer.UndeliveredFunc
	mu            sync.Mutex
	links         map[tabulator.MemberID]*peer.Link
	isClosed      bool
}

func newTransport(peerLinker *linker.Linker, self tabulator.MemberID, selfAddress string) *transport {
	return &transport{linker: peerLinker, self: self, selfAddress: selfAddress, links: map[tabulator.MemberID]*peer.Link{}}
}

// SendRequest queues a request to the owner of a leaf.
func (t *transport) SendRequest(owner tabulator.Member, request peer.Request) {
	if owner.ID() == t.self {
		t.mailbox.queueRequest(request)
		return
	}
	t.linkToMember(owner).QueueRequest(request)
}

// Cancel queues the cancellation of a request.
func (t *transport) Cancel(owner tabulator.MemberID, id uint64) {
	if owner == t.self {
		t.mailbox.queueCancel(id)
		return
	}
	t.mu.Lock()
	link := t.links[owner]
	t.mu.Unlock()
	if link != nil {
		link.QueueCancel(id)
	}
}

// SendReply queues a reply to the instance that sent the request.
func (t *transport) SendReply(to tabulator.MemberID, address string, reply peer.Reply) {
	if to == t.self {
		t.mailbox.queueReply(reply)
		return
	}
	t.linkTo(to, address).QueueReply(reply)
}

// IsUnresponsive reports whether an instance has not acknowledged the last batch that was sent to it.
func (t *transport) IsUnresponsive(owner tabulator.MemberID) bool {
	t.mu.Lock()
	link := t.links[owner]
	t.mu.Unlock()
	return link != nil && link.IsUnresponsive()
}

// IsCutOff reports whether more than half of the linked peers are unresponsive, so that the fault is probably in the
// connection of this instance.
func (t *transport) IsCutOff() bool {
	t.mu.Lock()
	links := make([]*peer.Link, 0, len(t.links))
	for _, link := range t.links {
		links = append(links, link)
	}
	t.mu.Unlock()
	unresponsive := 0
	for _, link := range links {
		if link.IsUnresponsive() {
			unresponsive++
		}
	}
	return len(links) >= minLinksForCutOff && 2*unresponsive > len(links)
}

// FetchHoldings returns the index versions and shards that the given leafs of an owner hold, by leaf.
func (t *transport) FetchHoldings(owner tabulator.Member, leafs []string) (map[string][]peer.Holding, error) {
	if owner.ID() == t.self {
		return t.mailbox.handler.Holdings(leafs), nil
	}
	var reply peer.HoldingsReply
	if err := t.linkToMember(owner).Call("Holdings", peer.HoldingsQuery{Leafs: leafs}, &reply); err != nil {
		// The reply to a call that timed out may still be written.
		return nil, err
	}
	return reply.Holdings, nil
}

// RequestRelease requests a leaf from its previous owner; it returns false if the owner did not answer or released nothing.
func (t *transport) RequestRelease(from tabulator.Member, epoch uint64, id assigner.LeafID) (peer.ReleasedLeaf, bool) {
	query := peer.ReleaseQuery{From: t.self, To: from.ID(), Epoch: epoch, Leafs: []string{string(id)}}
	var reply peer.ReleaseReply
	if err := t.linkToMember(from).Call("Release", query, &reply); err != nil || len(reply.Leafs) == 0 {
		return peer.ReleasedLeaf{}, false
	}
	return reply.Leafs[0], true
}

// ForwardTicket forwards a request to the instance that granted its ticket and returns the answer.
func (t *transport) ForwardTicket(to tabulator.Member, ticket string, request []byte) ([]byte, error) {
	var reply peer.TicketReply
	query := peer.TicketQuery{To: to.ID(), Ticket: ticket, Request: request}
	if err := t.linkToMember(to).CallWithTimeout(ticketTimeout, "RunTicket", query, &reply); err != nil {
		return nil, errors.Wrap(err, "pass the ticket on")
	}
	return reply.Answer, nil
}

// closeStaleLinks closes the links to incarnations that are no longer members of the cluster.
func (t *transport) closeStaleLinks(view *tabulator.View) {
	t.mu.Lock()
	var stale []*peer.Link
	for id, link := range t.links {
		if member, ok := view.Member(id.Instance); !ok || member.ID() != id {
			stale = append(stale, link)
			delete(t.links, id)
		}
	}
	t.mu.Unlock()
	for _, link := range stale {
		go link.Close()
	}
}

func (t *transport) close() {
	t.mu.Lock()
	t.isClosed = true
	links := t.links
	t.links = map[tabulator.MemberID]*peer.Link{}
	t.mu.Unlock()
	for _, link := range links {
		link.Close()
	}
}

func (t *transport) linkToMember(member tabulator.Member) *peer.Link {
	return t.linkTo(member.ID(), member.PeerAddress())
}

func (t *transport) linkTo(to tabulator.MemberID, address string) *peer.Link {
	t.mu.Lock()
	defer t.mu.Unlock()
	if link := t.links[to]; link != nil {
		return link
	}
	link := peer.NewReplyLink(t.linker, t.self, t.selfAddress, to, address, t.onUndelivered)
	if t.isClosed {
		go link.Close()
		return link
	}
	t.links[to] = link
	return link
}
