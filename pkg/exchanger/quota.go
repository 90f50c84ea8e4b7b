package exchanger

import (
	"sync/atomic"

	"github.com/pkg/errors"
)

var (
	// ErrResponseTooLarge is returned for a response body longer than the limit of its request.
	ErrResponseTooLarge = errors.New("the answer is longer than its limit")
	// ErrQuotaExceeded is returned if a response body exceeds the memory set aside for responses in progress.
	ErrQuotaExceeded = errors.New("response memory quota exceeded")
)

// Quota limits the bytes of response bodies held in memory. Bytes reserved from a quota are reserved from its parent as
// well: the quota of a query has that of the instance as its parent.
type Quota struct {
	parent   *Quota
	limit    int64
	reserved atomic.Int64
	onFull   func()
}

// NewQuota returns a quota of limit bytes. The parent may be nil.
func NewQuota(limit int64, parent *Quota) *Quota { return &Quota{parent: parent, limit: limit} }

// OnFull sets a function that is called when a reservation fails for lack of room in this quota. It must be set before the first one.
func (q *Quota) OnFull(onFull func()) { q.onFull = onFull }

// Reserve reserves count bytes and reports whether they are within the limits of the quota and its parents. A nil quota has
// no limit.
func (q *Quota) Reserve(count int64) bool {
	if q == nil {
		return true
	}
	isFull := q.reserved.Add(count) > q.limit
	if !isFull && q.parent.Reserve(count) {
		return true
	}
	q.reserved.Add(-count)
	if isFull && q.onFull != nil {
		q.onFull()
	}
	return false
}

// Release gives back count reserved bytes.
func (q *Quota) Release(count int64) {
	if q == nil {
		return
	}
	q.reserved.Add(-count)
	q.parent.Release(count)
}

// Reserved returns the number of reserved bytes.
func (q *Quota) Reserved() int64 { return q.reserved.Load() }
