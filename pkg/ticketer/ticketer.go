// A ticket has the form "entry-3.5f3a.12.61000": the instance and incarnation
// that granted it, a sequence number, and the expiry in milliseconds on the clock
// of that incarnation. Only that incarnation runs the request and stores its
// outcome, until the ticket expires. If the incarnation has ended, no other
// instance runs the request.

package ticketer

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/tabulator"
)

const (
	// Lifetime is the time from the grant of a ticket to its expiry.
	Lifetime        = 10 * time.Minute
	maxTickets      = 100_000
	ticketPartCount = 4
)

const (
	// PhaseNew means that the request has not been started and that the caller of Begin must run it.
	PhaseNew Phase = iota
	// PhaseRunning means that the request was started by an earlier call and has not finished.
	PhaseRunning
	// PhaseDone means that the request has finished and its outcome is stored.
	PhaseDone
	// PhaseExpired means that the ticket is invalid, unknown or expired.
	PhaseExpired
)

type (
	// Phase is the progress of the request of a ticket.
	Phase int

	// Ticketer grants tickets and stores outcomes; it is not safe for concurrent use.
	Ticketer struct {
		self     tabulator.MemberID
		sequence uint64
		records  map[uint64]*record
		// grantOrder lists the sequence numbers of the records, oldest first.
		grantOrder []uint64
	}

	record struct {
		expiresAt time.Duration
		isStarted bool
		isDone    bool
		outcome   []byte
	}
)

// New returns a ticketer that grants tickets in the name of the incarnation self.
func New(self tabulator.MemberID) *Ticketer {
	return &Ticketer{self: self, records: map[uint64]*record{}}
}

// Grant returns a new ticket that expires after Lifetime, or an error if too many tickets are unexpired.
func (t *Ticketer) Grant(now time.Duration) (string, error) {
	t.removeExpired(now)
	if len(t.records) >= maxTickets {
		return "", errors.Errorf("grant ticket: %d tickets are outstanding", len(t.records))
	}
	t.sequence++
	expiresAt := now + Lifetime
	t.records[t.sequence] = &record{expiresAt: expiresAt}
	t.grantOrder = append(t.grantOrder, t.sequence)
	return fmt.Sprintf("%s.%x.%d.%d", t.self.Instance, t.self.Incarnation, t.sequence, expiresAt.Milliseconds()), nil
}

// Begin returns the phase of the request of a ticket, and its outcome if the phase is PhaseDone. The first call for a ticket
// returns PhaseNew and marks the request as started. Begin returns an error if the ticket is malformed or was granted by
// another incarnation.
func (t *Ticketer) Begin(ticket string, now time.Duration) (Phase, []byte, error) {
	grantor, sequence, err := Parse(ticket)
	if err != nil {
		return PhaseExpired, nil, err
	}
	if grantor != t.self {
		return PhaseExpired, nil, errors.Errorf("begin: ticket of %s, this is %s", grantor, t.self)
	}
	r := t.records[sequence]
	if r == nil || now >= r.expiresAt {
		return PhaseExpired, nil, nil
	}
	switch {
	case r.isDone:
		return PhaseDone, r.outcome, nil
	case r.isStarted:
		return PhaseRunning, nil, nil
	}
	r.isStarted = true
	return PhaseNew, nil, nil
}

// Finish stores the outcome of the request of a ticket; it ignores malformed and unknown tickets.
func (t *Ticketer) Finish(ticket string, outcome []byte) {
	_, sequence, err := Parse(ticket)
	if err != nil {
		return
	}
	if r := t.records[sequence]; r != nil {
		r.isDone = true
		r.outcome = append([]byte(nil), outcome...)
	}
}

// Parse returns the incarnation that granted a ticket and the sequence number of the ticket, or an error if it is malformed.
func Parse(ticket string) (tabulator.MemberID, uint64, error) {
	fields := strings.Split(ticket, ".")
	if len(fields) != ticketPartCount {
		return tabulator.MemberID{}, 0, errors.Errorf("parse ticket %q: it has %d parts, expected %d", ticket, len(fields), ticketPartCount)
	}
	incarnation, err := strconv.ParseUint(fields[1], 16, 64)
	if err != nil {
		return tabulator.MemberID{}, 0, errors.Wrapf(err, "parse ticket %q", ticket)
	}
	sequence, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil {
		return tabulator.MemberID{}, 0, errors.Wrapf(err, "parse ticket %q", ticket)
	}
	return tabulator.MemberID{Instance: fields[0], Incarnation: incarnation}, sequence, nil
}

func (t *Ticketer) removeExpired(now time.Duration) {
	for len(t.grantOrder) > 0 {
		r := t.records[t.grantOrder[0]]
		if now < r.expiresAt {
			return
		}
		delete(t.records, t.grantOrder[0])
		t.grantOrder = t.grantOrder[1:]
	}
}
