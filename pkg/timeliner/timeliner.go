package timeliner

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

const keptEvents = 4096

type (
	// Stamp is a time of the hybrid logical clock: wall time in microseconds and a counter.
	Stamp struct {
		Micros  int64  `json:"micros"`
		Counter uint32 `json:"counter"`
	}

	// Event is something that happened at one instance.
	Event struct {
		Stamp    Stamp  `json:"stamp"`
		Instance string `json:"instance"`
		Kind     string `json:"kind"`
		Peer     string `json:"peer"`
		Text     string `json:"text"`
	}

	// Timeline keeps the latest events of one instance.
	Timeline struct {
		instance string
		wall     func() time.Time
		mu       sync.Mutex
		last     Stamp
		events   []Event
		next     int
	}

	// Filter selects events; an empty field selects all.
	Filter struct {
		Peer  string
		Kind  string
		Since time.Time
	}
)

// New returns an empty time line of the instance.
func New(instance string, wall func() time.Time) *Timeline {
	return &Timeline{instance: instance, wall: wall}
}

// Add records an event now.
func (t *Timeline) Add(kind, peer, text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	event := Event{Stamp: t.advance(), Instance: t.instance, Kind: kind, Peer: peer, Text: text}
	if len(t.events) < keptEvents {
		t.events = append(t.events, event)
		return
	}
	t.events[t.next] = event
	t.next = (t.next + 1) % keptEvents
}

// Now returns a stamp to send along with a message.
func (t *Timeline) Now() Stamp {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.advance()
}

// Observe takes the stamp of a received message, so that later events sort after it.
func (t *Timeline) Observe(stamp Stamp) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last.Before(stamp) {
		t.last = stamp
	}
}

// Events returns the events that the filter selects, oldest first.
func (t *Timeline) Events(filter Filter) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var selected []Event
	for _, event := range t.events {
		if filter.matches(event) {
			selected = append(selected, event)
		}
	}
	Sort(selected)
	return selected
}

// Sort orders events of any instances.
func Sort(events []Event) {
	sort.SliceStable(events, func(i, j int) bool { return events[i].Stamp.Before(events[j].Stamp) })
}

// Before tells whether s comes before other.
func (s Stamp) Before(other Stamp) bool {
	if s.Micros != other.Micros {
		return s.Micros < other.Micros
	}
	return s.Counter < other.Counter
}

// Time returns the wall time of the stamp.
func (s Stamp) Time() time.Time { return time.UnixMicro(s.Micros) }

// String returns the event as one line.
func (e Event) String() string {
	return fmt.Sprintf("%s.%d %s %s %s %s", e.Stamp.Time().UTC().Format("15:04:05.000000"), e.Stamp.Counter, e.Instance, e.Kind, e.Peer, e.Text)
}

func (t *Timeline) advance() Stamp {
	micros := t.wall().UnixMicro()
	if micros > t.last.Micros {
		t.last = Stamp{Micros: micros}
	} else {
		t.last.Counter++
	}
	return t.last
}

func (f Filter) matches(event Event) bool {
	if f.Peer != "" && f.Peer != event.Peer {
		return false
	}
	if f.Kind != "" && f.Kind != event.Kind {
		return false
	}
	return event.Stamp.Time().After(f.Since)
}
