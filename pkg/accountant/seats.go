package accountant

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"lovagedeck/pkg/petitioner"
)

const (
	// minSeats is the least number of seats. Each seat is one instance that is responsible for a part of the tenants.
	minSeats = 16
	// seatStep is the factor between two numbers of seats. A change moves nearly all tenants, and instances that have lost contact to the
	// control instances do not take part in it, so that the loss of a third of the instances should rarely change the number.
	seatStep = 4
	// maxConnectedMembers is the number of members up to which each instance keeps connections to all seats. An instance on a seat
	// then has as many connections from others.
	maxConnectedMembers = 512
)

// seatCount returns the number of seats, a power of four of at least the square root of the members. Few instances are asked often, so
// that connections to them are open, and seats move only if their number changes.
func seatCount(members int) int {
	seats := minSeats
	for float64(seats) < math.Sqrt(float64(members)) {
		seats *= seatStep
	}
	return seats
}

// seatOf returns the seat of a tenant.
func seatOf(tenant string, seats int) petitioner.Subject {
	return newSeat(int(xxhash.Sum64String(tenant) % uint64(seats)))
}

func newSeat(number int) petitioner.Subject {
	return petitioner.Subject{Name: fmt.Sprintf("seat-%d", number)}
}
