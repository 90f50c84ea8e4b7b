package placer

import "github.com/pkg/errors"

const (
	// ModeAuto compares leafs by outstanding work where the deployment calls for it.
	ModeAuto Mode = iota
	// ModeOn compares leafs by outstanding work everywhere.
	ModeOn
	// ModeOff compares leafs by the number of requests in progress.
	ModeOff
)

// maxSharedSlots is the number of slots of a leaf up to which one request that this instance does not see takes a considerable
// part of it, a quarter or more.
const maxSharedSlots = 4

// Mode says where leafs are compared by their outstanding work.
type Mode int

// ParseMode returns the mode of a setting: auto, on, off, or empty for auto.
func ParseMode(text string) (Mode, error) {
	switch text {
	case "", "auto":
		return ModeAuto, nil
	case "on":
		return ModeOn, nil
	case "off":
		return ModeOff, nil
	}
	return ModeAuto, errors.Errorf("placement-by-work is %q, want auto, on or off", text)
}

// IsForPlain reports whether plain requests to a service are placed by work: its leafs have few slots, and its data centre has more
// instances than these leafs have slots there, so that each instance sees next to nothing of what the others send.
func (m Mode) IsForPlain(slotsPerLeaf, localSlots, localInstances int) bool {
	switch m {
	case ModeOn:
		return true
	case ModeOff:
		return false
	}
	return slotsPerLeaf > 0 && slotsPerLeaf <= maxSharedSlots && localSlots < localInstances
}

// IsForShards reports whether requests to a shard are placed by work. With ModeAuto they are not: its gatherer sees all requests of its
// data centre, and comparing leafs by work there brought callers nothing in the runs of docs/MEASUREMENTS.md.
func (m Mode) IsForShards() bool { return m == ModeOn }
