package replicator

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// entryLog is the latest snapshot and the log entries after it.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry
	// config is the newest config in the log, from the entry or the snapshot at configIndex.
	config      Config
	configIndex uint64
}

func newEntryLog(saved PersistentState) (*entryLog, error) {
	log := &entryLog{snapshot: saved.Snapshot, config: saved.Snapshot.Config, configIndex: saved.Snapshot.Index}
	log.entries = append(log.entries, saved.Entries...)
	return log, log.loadConfig(log.entries)
}

func (l *entryLog) firstIndex() uint64 { return l.snapshot.Index + 1 }

func (l *entryLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, or false if the entry is neither in the log nor the last of the snapshot.
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

// truncateAndAppend drops the entries from the first new index on, then appends the new entries.
func (l *entryLog) truncateAndAppend(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	keepCount := first - l.firstIndex()
	l.entries = append(l.entries[:keepCount:keepCount], entries...)
	if l.configIndex >= first {
		l.config, l.configIndex = l.snapshot.Config, l.snapshot.Index
		_ = l.loadConfig(l.entries)
		return
	}
	_ = l.loadConfig(entries)
}

func (l *entryLog) compact(index uint64, data []byte) Snapshot {
	term, _ := l.term(index)
	snapshot := Snapshot{Index: index, Term: term, Config: l.configAsOf(index), Data: data}
	l.entries = append([]Entry(nil), l.entries[index-l.firstIndex()+1:]...)
	l.snapshot = snapshot
	return snapshot
}

func (l *entryLog) restore(snapshot Snapshot) {
	l.snapshot = snapshot
	l.entries = nil
	l.config = snapshot.Config
	l.configIndex = snapshot.Index
}

// loadConfig sets the config to the last one in entries, if there is any.
func (l *entryLog) loadConfig(entries []Entry) error {
	for _, entry := range entries {
		if entry.Kind != EntryConfig {
			continue
		}
		config, err := DecodeConfig(entry.Data)
		if err != nil {
			return err
		}
		l.config, l.configIndex = config, entry.Index
	}
	return nil
}

func (l *entryLog) configAsOf(index uint64) Config {
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

// EncodeConfig returns the encoding of a config in log entries.
func EncodeConfig(config Config) ([]byte, error) {
	data, err := msgpack.Marshal(config)
	return data, errors.Wrap(err, "encode config")
}

// DecodeConfig returns the config encoded in data, or an error if data is invalid.
func DecodeConfig(data []byte) (Config, error) {
	var config Config
	err := msgpack.Unmarshal(data, &config)
	return config, errors.Wrap(err, "decode config")
}
