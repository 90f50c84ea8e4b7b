// A ticket names the incarnation that granted it: "entry-3.5f3a.12.61000".
// Only that incarnation runs the request and remembers its outcome until the
// ticket expires. When the incarnation is gone nobody runs it again.

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
	// Lifetime is how long a ticket can be used.
	Lifetime   = 10 * time.Minute
	maxTickets = 100_000
	parts      = 4
)

const (
	// PhaseFirst means that the request is to be run now.
	PhaseFirst Phase = iota
	// PhaseRunning means that an earlier send of it is running.
	PhaseRunning
	// PhaseDone means that its outcome is known.
	PhaseDone
	// PhaseExpired means that the ticket can no longer be used.
	PhaseExpired
)

type (
	// Phase is where the request of a ticket stands.
	Phase int

	// Ticketer grants tickets and remembers outcomes; it belongs to one goroutine.
	Ticketer struct {
		self     tabulator.MemberID
		sequence uint64
		records  map[uint64]*record
		order    []uint64
	}

	record struct {
		expires time.Duration
		begun   bool
		done    bool
		outcome []byte
	}
)

// New returns a ticketer of one incarnation.
func New(self tabulator.MemberID) *Ticketer {
	return &Ticketer{self: self, records: map[uint64]*record{}}
}

// Grant returns a new ticket, or an error when too many are outstanding.
func (t *Ticketer) Grant(now time.Duration) (string, error) {
	t.drop(now)
	if len(t.records) >= maxTickets {
		return "", errors.Errorf("grant ticket: %d tickets are outstanding", len(t.records))
	}
	t.sequence++
	expires := now + Lifetime
	t.records[t.sequence] = &record{expires: expires}
	t.order = append(t.order, t.sequence)
	return fmt.Sprintf("%s.%x.%d.%d", t.self.Instance, t.self.Incarnation, t.sequence, expires.Milliseconds()), nil
}

// Begin returns where the request of a ticket stands, and its outcome when that is known.
func (t *Ticketer) Begin(ticket string, now time.Duration) (Phase, []byte, error) {
	owner, sequence, err := Parse(ticket)
	if err != nil {
		return PhaseExpired, nil, err
	}
	if owner != t.self {
		return PhaseExpired, nil, errors.Errorf("begin: ticket of %s, this is %s", owner, t.self)
	}
	r := t.records[sequence]
	if r == nil || now >= r.expires {
		return PhaseExpired, nil, nil
	}
	switch {
	case r.done:
		return PhaseDone, r.outcome, nil
	case r.begun:
		return PhaseRunning, nil, nil
	}
	r.begun = true
	return PhaseFirst, nil, nil
}

// Finish remembers the outcome of the request of a ticket.
func (t *Ticketer) Finish(ticket string, outcome []byte) {
	_, sequence, err := Parse(ticket)
	if err != nil {
		return
	}
	if r := t.records[sequence]; r != nil {
		r.done = true
		r.outcome = append([]byte(nil), outcome...)
	}
}

// Parse returns which incarnation granted a ticket and its sequence number.
func Parse(ticket string) (tabulator.MemberID, uint64, error) {
	fields := strings.Split(ticket, ".")
	if len(fields) != parts {
		return tabulator.MemberID{}, 0, errors.Errorf("parse ticket %q: it has %d parts, expected %d", ticket, len(fields), parts)
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

func (t *Ticketer) drop(now time.Duration) {
	for len(t.order) > 0 {
		r := t.records[t.order[0]]
		if now < r.expires {
			return
		}
		delete(t.records, t.order[0])
		t.order = t.order[1:]
	}
}
