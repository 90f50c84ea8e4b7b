package gatherer

import (
	"encoding/binary"
	"slices"
)

const (
	// RecordBytes is the length of one record, in bytes.
	RecordBytes = 16
	// maxInitialCapacity bounds the records that are allocated in advance, because a route may ask for any number.
	maxInitialCapacity = 256
)

type (
	// Top collects the greatest records of all parts. Records are compared byte by byte.
	Top struct {
		limit   int
		records []record
	}

	record struct {
		high, low uint64
	}
)

// NewTop returns a collection of the limit greatest records.
func NewTop(limit int) *Top {
	return &Top{limit: limit, records: make([]record, 0, max(0, min(limit, maxInitialCapacity)))}
}

// Add takes the records of one part. It ignores an incomplete record at the end.
func (t *Top) Add(part []byte) {
	for len(part) >= RecordBytes {
		t.add(record{high: binary.BigEndian.Uint64(part), low: binary.BigEndian.Uint64(part[8:])})
		part = part[RecordBytes:]
	}
}

// Bytes returns the concatenated records, greatest first.
func (t *Top) Bytes() []byte {
	sorted := slices.Clone(t.records)
	slices.SortFunc(sorted, func(a, b record) int { return compare(b, a) })
	body := make([]byte, 0, len(sorted)*RecordBytes)
	for _, r := range sorted {
		body = binary.BigEndian.AppendUint64(body, r.high)
		body = binary.BigEndian.AppendUint64(body, r.low)
	}
	return body
}

// add maintains a min-heap, whose root is the smallest record of the collection.
func (t *Top) add(r record) {
	if len(t.records) < t.limit {
		t.records = append(t.records, r)
		t.siftUp(len(t.records) - 1)
		return
	}
	if t.limit > 0 && compare(r, t.records[0]) > 0 {
		t.records[0] = r
		t.siftDown(0)
	}
}

func (t *Top) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if compare(t.records[i], t.records[parent]) >= 0 {
			return
		}
		t.records[i], t.records[parent] = t.records[parent], t.records[i]
		i = parent
	}
}

func (t *Top) siftDown(i int) {
	for {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(t.records); child++ {
			if compare(t.records[child], t.records[smallest]) < 0 {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		t.records[i], t.records[smallest] = t.records[smallest], t.records[i]
		i = smallest
	}
}

func compare(a, b record) int {
	switch {
	case a.high != b.high:
		if a.high < b.high {
			return -1
		}
		return 1
	case a.low < b.low:
		return -1
	case a.low > b.low:
		return 1
	}
	return 0
}
