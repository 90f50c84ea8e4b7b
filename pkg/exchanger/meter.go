package exchanger

import (
	"sync/atomic"

	"github.com/pkg/errors"
)

var (
	// ErrTooLong says that an answer is longer than its request allows.
	ErrTooLong = errors.New("the answer is longer than its limit")
	// ErrNoRoom says that the answers under way fill the memory that is set aside for them.
	ErrNoRoom = errors.New("no memory is left for answers")
)

// Meter bounds the bytes of answers that are held at one time. What counts for a meter counts for its parent as well: the
// parts of one query, and all answers of the instance.
type Meter struct {
	parent *Meter
	limit  int64
	held   atomic.Int64
}

// NewMeter returns a meter for at most limit bytes; parent may be nil.
func NewMeter(limit int64, parent *Meter) *Meter { return &Meter{parent: parent, limit: limit} }

// Take counts bytes, or returns false where they do not fit.
func (m *Meter) Take(bytes int64) bool {
	if m == nil {
		return true
	}
	if m.held.Add(bytes) > m.limit || !m.parent.Take(bytes) {
		m.held.Add(-bytes)
		return false
	}
	return true
}

// Return gives back bytes that were taken.
func (m *Meter) Return(bytes int64) {
	if m == nil {
		return
	}
	m.held.Add(-bytes)
	m.parent.Return(bytes)
}

// Held returns how many bytes are held.
func (m *Meter) Held() int64 { return m.held.Load() }
