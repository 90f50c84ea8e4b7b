package runner

import (
	"math"
	"runtime/debug"

	"lovagedeck/pkg/apportioner"
	"lovagedeck/pkg/configurer"
	"lovagedeck/pkg/custodian"
)

// LimitMemory makes the garbage collector run more often before the memory use reaches the limit of the settings, if there is one.
func LimitMemory(settings configurer.Settings) {
	if limit := settings.Limits.MemoryBytes(); limit > 0 {
		debug.SetMemoryLimit(apportioner.Heap(limit))
	}
}

// memoryLimitOf returns the memory limit of the process, in bytes: that of the settings, else the one that follows from the limit of the Go
// runtime, which the environment may have set. It is 0 if neither is known.
func memoryLimitOf(settings configurer.Settings, runtimeLimit int64) int64 {
	if limit := settings.Limits.MemoryBytes(); limit > 0 {
		return limit
	}
	if runtimeLimit <= 0 || runtimeLimit == math.MaxInt64 {
		return 0
	}
	return apportioner.LimitOfHeap(runtimeLimit)
}

// clientLimitsOf returns what clients may hold together. The memory limit, in bytes, and the number of descriptors are those of the process,
// or 0 if there are none.
func clientLimitsOf(settings configurer.Settings, memoryLimit int64, descriptors int) custodian.Limits {
	limits := custodian.Limits{MemoryBytes: settings.Limits.ClientMemoryBytes(), Connections: settings.Limits.ClientConnections}
	return limits.WithDefaults(memoryLimit, descriptors)
}
