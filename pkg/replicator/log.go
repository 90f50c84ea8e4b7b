package replicator

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// entryLog is the part of the log after the snapshot.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry
	config   Config
	configAt uint64
}

func newEntryLog(saved Saved) (*entryLog, error) {
	log := &entryLog{snapshot: saved.Snapshot, config: saved.Snapshot.Config, configAt: saved.Snapshot.Index}
	log.entries = append(log.entries, saved.Entries...)
	return log, log.findConfig(log.entries)
}

func (l *entryLog) firstIndex() uint64 { return l.snapshot.Index + 1 }

func (l *entryLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of an entry, and false where the log does not have it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.firstIndex() || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.firstIndex()].Term, true
}

func (l *entryLog) slice(from, to uint64) []Entry {
	if from < l.firstIndex() || from > to {
		return nil
	}
	return append([]Entry(nil), l.entries[from-l.firstIndex():to-l.firstIndex()+1]...)
}

// add appends entries and drops what stood from their first index on.
func (l *entryLog) add(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	keep := first - l.firstIndex()
	l.entries = append(l.entries[:keep:keep], entries...)
	if l.configAt >= first {
		l.config, l.configAt = l.snapshot.Config, l.snapshot.Index
		_ = l.findConfig(l.entries)
		return
	}
	_ = l.findConfig(entries)
}

func (l *entryLog) compact(index uint64, data []byte) Snapshot {
	term, _ := l.term(index)
	snapshot := Snapshot{Index: index, Term: term, Config: l.configUpTo(index), Data: data}
	l.entries = append([]Entry(nil), l.entries[index-l.firstIndex()+1:]...)
	l.snapshot = snapshot
	return snapshot
}

func (l *entryLog) restore(snapshot Snapshot) {
	l.snapshot = snapshot
	l.entries = nil
	l.config = snapshot.Config
	l.configAt = snapshot.Index
}

// findConfig takes the last config among the entries.
func (l *entryLog) findConfig(entries []Entry) error {
	for _, entry := range entries {
		if entry.Kind != EntryConfig {
			continue
		}
		config, err := DecodeConfig(entry.Data)
		if err != nil {
			return err
		}
		l.config, l.configAt = config, entry.Index
	}
	return nil
}

func (l *entryLog) configUpTo(index uint64) Config {
	config := l.snapshot.Config
	for _, entry := range l.entries {
		if entry.Kind != EntryConfig || entry.Index > index {
			continue
		}
		if decoded, err := DecodeConfig(entry.Data); err == nil {
			config = decoded
		}
	}
	return config
}

// EncodeConfig returns the log form of a config.
func EncodeConfig(config Config) ([]byte, error) {
	data, err := msgpack.Marshal(config)
	return data, errors.Wrap(err, "encode config")
}

// DecodeConfig returns the config held by data, or an error when data is not one.
func DecodeConfig(data []byte) (Config, error) {
	var config Config
	err := msgpack.Unmarshal(data, &config)
	return config, errors.Wrap(err, "decode config")
}
