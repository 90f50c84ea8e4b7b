package configurer

import "fmt"

const (
	// minMemoryMiB is somewhat more than an instance without clients uses.
	minMemoryMiB = 48
	maxMemoryMiB = 1 << 20
	// minClientConnections leaves connections for each address and for other instances.
	minClientConnections = 32
	maxClientConnections = 1 << 20
	bytesPerMiB          = 1 << 20
)

// Limits bounds what an instance uses. Each value may be 0 for its default.
type Limits struct {
	// MemoryMiB is the memory use, in MiB, at which the process is killed, or 0 for no limit.
	MemoryMiB int64 `json:"memory-mib"`
	// ClientMemoryMiB is the memory, in MiB, that connections of clients and other instances and the messages in part on them may hold.
	ClientMemoryMiB int64 `json:"client-memory-mib"`
	// ClientConnections is the number of connections of clients and other instances.
	ClientConnections int `json:"client-connections"`
}

// MemoryBytes returns the memory limit of the process, in bytes, or 0 if there is none.
func (l Limits) MemoryBytes() int64 { return l.MemoryMiB * bytesPerMiB }

// ClientMemoryBytes returns the memory that clients may hold, in bytes, or 0 for the default.
func (l Limits) ClientMemoryBytes() int64 { return l.ClientMemoryMiB * bytesPerMiB }

func (c *checker) checkLimits(l Limits) {
	c.checkLimit("limits/memory-mib", l.MemoryMiB, minMemoryMiB, maxMemoryMiB)
	c.checkLimit("limits/client-memory-mib", l.ClientMemoryMiB, 1, maxMemoryMiB)
	c.checkLimit("limits/client-connections", int64(l.ClientConnections), minClientConnections, maxClientConnections)
	if l.MemoryMiB > 0 && l.ClientMemoryMiB > l.MemoryMiB {
		c.addError("limits/client-memory-mib", fmt.Sprintf("%d is more than memory-mib, which is %d", l.ClientMemoryMiB, l.MemoryMiB))
	}
}

// checkLimit checks that a value is 0, which selects the default, or within bounds.
func (c *checker) checkLimit(key string, value, lowest, highest int64) {
	if value != 0 && (value < lowest || value > highest) {
		c.addError(key, fmt.Sprintf("%d is neither 0 nor from %d to %d", value, lowest, highest))
	}
}
