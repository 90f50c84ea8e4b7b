// Load pattern: crowds of clients hold bodies, heads and connections at all
// addresses at once, while tables, connections to leafs and garbage need memory
// too. The uses together stay below the limit at which the process is killed.

package apportioner

const (
	// heapShare is the share of the memory limit that the Go runtime may use. The C library, kernel buffers and files in memory
	// need the rest.
	heapShare = 0.7
	// clientShare is the share that connections of clients and messages in part may use. Bodies, tables, connections to leafs and garbage
	// need the rest.
	clientShare = 0.25
	// bodyShare is the share that the bodies at one address may use. About as much again is garbage that the collector has not freed yet.
	bodyShare = 0.125
)

// Heap returns the memory that the Go runtime may use, in bytes, for a memory limit in bytes.
func Heap(limit int64) int64 { return int64(heapShare * float64(limit)) }

// LimitOfHeap returns the memory limit, in bytes, of which the Go runtime may use the given number of bytes.
func LimitOfHeap(heap int64) int64 { return int64(float64(heap) / heapShare) }

// Clients returns the memory that connections of clients and messages in part may use, in bytes, for a memory limit in bytes.
func Clients(limit int64) int64 { return int64(clientShare * float64(limit)) }

// Bodies returns the memory that the bodies at one address may use, in bytes, for a memory limit in bytes.
func Bodies(limit int64) int64 { return int64(bodyShare * float64(limit)) }
