package journaler

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lovagedeck/pkg/replicator"
)

// record is a journal record with exactly one field set.
type record struct {
	Vote    *replicator.SaveVote    `msgpack:"v,omitempty"`
	Entries *replicator.SaveEntries `msgpack:"e,omitempty"`
}

const checksumBytes = 8

func encodeRecord(write replicator.Write) ([]byte, error) {
	var r record
	switch w := write.(type) {
	case replicator.SaveVote:
		r.Vote = &w
	case replicator.SaveEntries:
		r.Entries = &w
	}
	data, err := msgpack.Marshal(r)
	return data, errors.Wrap(err, "encode record")
}

// applyTo applies the record to the state read from the journal so far.
func (r record) applyTo(state *replicator.PersistentState) error {
	if r.Vote != nil {
		state.Term, state.Vote = r.Vote.Term, r.Vote.Vote
	}
	if r.Entries == nil {
		return nil
	}
	for _, entry := range r.Entries.Entries {
		if err := appendEntry(state, entry); err != nil {
			return err
		}
	}
	return nil
}

// appendEntry adds an entry to the state and drops the entries from its index on. An entry that leaves a gap is an error.
func appendEntry(state *replicator.PersistentState, entry replicator.Entry) error {
	if len(state.Entries) == 0 {
		state.Entries = append(state.Entries, entry)
		return nil
	}
	first := state.Entries[0].Index
	if entry.Index < first {
		state.Entries = append(state.Entries[:0], entry)
		return nil
	}
	position := entry.Index - first
	if position > uint64(len(state.Entries)) {
		return errors.Errorf("entry %d follows entry %d", entry.Index, first+uint64(len(state.Entries))-1)
	}
	state.Entries = append(state.Entries[:position], entry)
	return nil
}

func encodeSnapshot(snapshot replicator.Snapshot) ([]byte, error) {
	data, err := msgpack.Marshal(snapshot)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	return binary.LittleEndian.AppendUint64(data, xxhash.Sum64(data)), nil
}

func decodeSnapshot(data []byte) (replicator.Snapshot, error) {
	var snapshot replicator.Snapshot
	if len(data) < checksumBytes {
		return snapshot, errors.New("the snapshot is too short")
	}
	body := data[:len(data)-checksumBytes]
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(data[len(body):]) {
		return snapshot, errors.New("the checksum of the snapshot is wrong")
	}
	return snapshot, errors.Wrap(msgpack.Unmarshal(body, &snapshot), "decode snapshot")
}
