// Records have 16 bytes and are compared byte by byte, the greatest first. A
// rest shorter than a record at the end of a part is none.

package gatherer

import (
	"encoding/binary"
	"slices"
)

const (
	// RecordBytes is the length of one record.
	RecordBytes = 16
	// firstRecords bounds the room that is made before any record came: a route may ask for any number.
	firstRecords = 256
)

type (
	// Top keeps the greatest records that were added.
	Top struct {
		limit   int
		records []record
	}

	record struct {
		high, low uint64
	}
)

// NewTop returns a collection of at most limit records.
func NewTop(limit int) *Top {
	return &Top{limit: limit, records: make([]record, 0, max(0, min(limit, firstRecords)))}
}

// Add takes the records of one part.
func (t *Top) Add(part []byte) {
	for len(part) >= RecordBytes {
		t.add(record{high: binary.BigEndian.Uint64(part), low: binary.BigEndian.Uint64(part[8:])})
		part = part[RecordBytes:]
	}
}

// Bytes returns the records, greatest first.
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

// add keeps a heap whose root is the smallest record kept.
func (t *Top) add(r record) {
	if len(t.records) < t.limit {
		t.records = append(t.records, r)
		t.up(len(t.records) - 1)
		return
	}
	if t.limit > 0 && compare(r, t.records[0]) > 0 {
		t.records[0] = r
		t.down(0)
	}
}

func (t *Top) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if compare(t.records[i], t.records[parent]) >= 0 {
			return
		}
		t.records[i], t.records[parent] = t.records[parent], t.records[i]
		i = parent
	}
}

func (t *Top) down(i int) {
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
