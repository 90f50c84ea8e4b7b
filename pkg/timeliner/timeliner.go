package timeliner

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

const maxEvents = 4096

type (
	// Timestamp is a timestamp of the hybrid logical clock: the wall time in microseconds since the Unix epoch, and a counter
	// that orders timestamps within one microsecond.
	Timestamp struct {
		Micros  int64  `json:"micros"`
		Counter uint32 `json:"counter"`
	}

	// Event is an event that an instance recorded about a peer.
	Event struct {
		Timestamp Timestamp `json:"stamp"`
		Instance  string    `json:"instance"`
		Kind      string    `json:"kind"`
		Peer      string    `json:"peer"`
		Text      string    `json:"text"`
	}

	// Timeline holds the latest events of one instance, and is safe for concurrent use.
	Timeline struct {
		instance      string
		wallClock     func() time.Time
		mu            sync.Mutex
		lastTimestamp Timestamp
		events        []Event
		next          int
	}

	// Filter selects events by exact peer, by exact kind and by time; an empty field selects all.
	Filter struct {
		Peer  string
		Kind  string
		Since time.Time
	}
)

// New returns an empty timeline of the instance, which reads the wall time from wallClock.
func New(instance string, wallClock func() time.Time) *Timeline {
	return &Timeline{instance: instance, wallClock: wallClock}
}

// Add records an event with the current timestamp, and drops the oldest event if the timeline is full.
func (t *Timeline) Add(kind, peer, text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	event := Event{Timestamp: t.advance(), Instance: t.instance, Kind: kind, Peer: peer, Text: text}
	if len(t.events) < maxEvents {
		t.events = append(t.events, event)
		return
	}
	t.events[t.next] = event
	t.next = (t.next + 1) % maxEvents
}

// Now returns the current timestamp, to be sent with a message.
func (t *Timeline) Now() Timestamp {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.advance()
}

// Observe advances the clock to the timestamp of a received message, so that later events are ordered after it.
func (t *Timeline) Observe(timestamp Timestamp) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastTimestamp.Before(timestamp) {
		t.lastTimestamp = timestamp
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

// Sort sorts the events of any number of instances by timestamp.
func Sort(events []Event) {
	sort.SliceStable(events, func(i, j int) bool { return events[i].Timestamp.Before(events[j].Timestamp) })
}

// Before reports whether t is earlier than other.
func (t Timestamp) Before(other Timestamp) bool {
	if t.Micros != other.Micros {
		return t.Micros < other.Micros
	}
	return t.Counter < other.Counter
}

// Time returns the wall time of the timestamp.
func (t Timestamp) Time() time.Time { return time.UnixMicro(t.Micros) }

// String formats the event as one line of text.
func (e Event) String() string {
	return fmt.Sprintf("%s.%d %s %s %s %s", e.Timestamp.Time().UTC().Format("15:04:05.000000"), e.Timestamp.Counter, e.Instance, e.Kind, e.Peer, e.Text)
}

// advance returns a timestamp later than all before it, even if the wall clock is behind or moves backwards.
func (t *Timeline) advance() Timestamp {
	micros := t.wallClock().UnixMicro()
	if micros > t.lastTimestamp.Micros {
		t.lastTimestamp = Timestamp{Micros: micros}
	} else {
		t.lastTimestamp.Counter++
	}
	return t.lastTimestamp
}

func (f Filter) matches(event Event) bool {
	if f.Peer != "" && f.Peer != event.Peer {
		return false
	}
	if f.Kind != "" && f.Kind != event.Kind {
		return false
	}
	return event.Timestamp.Time().After(f.Since)
}
