package custodian

import (
	"syscall"

	"lovagedeck/pkg/apportioner"
)

const (
	// descriptorShare is the share of the descriptors that connections of clients may use. Leafs, other instances that this one calls, and files
	// need the rest.
	descriptorShare = 0.75
	// maxDescriptors is the limit from which the system counts as having none.
	maxDescriptors = 1 << 30
)

// WithDefaults returns the limits with shares of the memory limit of the process, in bytes, and of its descriptors in place of those that are
// 0. Each of the two may be 0 if it is not known.
func (l Limits) WithDefaults(memoryLimit int64, descriptors int) Limits {
	if l.MemoryBytes == 0 {
		l.MemoryBytes = apportioner.Clients(memoryLimit)
	}
	if l.Connections == 0 && descriptors > 0 {
		l.Connections = max(1, int(descriptorShare*float64(descriptors)))
	}
	return l
}

// Descriptors returns the number of descriptors that the system allows the process, or 0 if that is not known or has no bound.
func Descriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxDescriptors {
		return 0
	}
	return int(limit.Cur)
}
