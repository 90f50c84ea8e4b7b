package journaler

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/syndtr/goleveldb/leveldb/journal"
	"github.com/vmihailenco/msgpack/v5"

	"lovagedeck/pkg/replicator"
)

type (
	// File is a journal file open for writing.
	File interface {
		io.Writer
		Sync() error
		Close() error
	}

	// CreateFunc creates or truncates the file at path and opens it for writing.
	CreateFunc func(path string) (File, error)

	// Option configures a Journaler.
	Option func(*Journaler)

	// Journaler persists the writes of a replicator. It is not safe for concurrent use.
	Journaler struct {
		folder   string
		identity Identity
		lock     *os.File
		create   CreateFunc
		// syncDir syncs the directory entries of a folder to disk.
		syncDir    func(folder string) error
		file       File
		writer     *journal.Writer
		sequence   int
		persistErr error
		// toleratesTornWrites reports whether a journal is truncated at its first damaged record.
		toleratesTornWrites bool
	}
)

// WithCreate sets the function that creates journal files.
func WithCreate(create CreateFunc) Option {
	return func(j *Journaler) { j.create = create }
}

// WithFolderSync sets the function that syncs the directory entries of the data folder to disk.
func WithFolderSync(syncDir func(folder string) error) Option {
	return func(j *Journaler) { j.syncDir = syncDir }
}

// WithTornWrites truncates a journal at its first damaged record instead of returning an error. It is meant for disks that
// may, on a power loss, keep a later unsynced write and lose an earlier one. Synced records precede any such damage.
func WithTornWrites() Option {
	return func(j *Journaler) { j.toleratesTornWrites = true }
}

// Open locks the data folder of an instance and returns a Journaler with the persistent state read from the folder.
// It drops a torn last record. Other damage, a foreign identity or a folder in use is a *FolderError.
func Open(folder, cluster, instance string, options ...Option) (*Journaler, replicator.PersistentState, error) {
	identity, err := checkIdentity(folder, cluster, instance)
	if err != nil {
		return nil, replicator.PersistentState{}, err
	}
	j := &Journaler{folder: folder, identity: identity, create: createFile, syncDir: syncFolder}
	for _, option := range options {
		option(j)
	}
	if j.lock, err = lockFolder(folder); err != nil {
		return nil, replicator.PersistentState{}, err
	}
	saved, err := j.load()
	if err != nil {
		_ = j.lock.Close()
		return nil, saved, err
	}
	return j, saved, nil
}

// Identity returns the identity of the open data folder.
func (j *Journaler) Identity() Identity { return j.identity }

// Persist appends the writes to the journal and syncs it. A SaveSnapshot also replaces the snapshot file and the journal.
// After an error every later call returns the same error until Reopen succeeds.
func (j *Journaler) Persist(writes []replicator.Write) error {
	if j.persistErr != nil {
		return j.persistErr
	}
	if err := j.persist(writes); err != nil {
		j.persistErr = errors.Wrap(err, "persist: nothing is acknowledged until the data folder is opened again")
	}
	return j.persistErr
}

// Reopen reads the persistent state from the folder again after a failed Persist, and writes it to a new journal. The state may hold
// writes of the failed call. If the disk still does not accept writes, it returns an error and can be called again.
func (j *Journaler) Reopen() (replicator.PersistentState, error) {
	if j.persistErr == nil {
		return replicator.PersistentState{}, errors.New("reopen data folder: no write has failed")
	}
	saved, err := j.load()
	if err != nil {
		return replicator.PersistentState{}, errors.Wrap(err, "reopen data folder")
	}
	j.persistErr = nil
	return saved, nil
}

// Close closes the journal and unlocks the folder.
func (j *Journaler) Close() error {
	err := j.file.Close()
	if closeErr := j.lock.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "close data folder")
}

func (j *Journaler) persist(writes []replicator.Write) error {
	needsSync := false
	for i, write := range writes {
		snapshot, ok := write.(replicator.SaveSnapshot)
		if ok {
			return j.saveSnapshot(snapshot.Snapshot, writes[i+1:])
		}
		if err := j.appendRecord(write); err != nil {
			return err
		}
		needsSync = true
	}
	if !needsSync {
		return nil
	}
	return j.flushAndSync()
}

// saveSnapshot replaces the snapshot file, starts a journal with only the entries after the snapshot, and persists rest.
func (j *Journaler) saveSnapshot(snapshot replicator.Snapshot, rest []replicator.Write) error {
	if err := j.flushAndSync(); err != nil {
		return err
	}
	saved, _, err := j.readState()
	if err != nil {
		return err
	}
	data, err := encodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	if err := replaceFile(filepath.Join(j.folder, snapshotFile), data); err != nil {
		return err
	}
	if err := j.startJournal(stateAfterSnapshot(saved, snapshot)); err != nil {
		return err
	}
	return j.persist(rest)
}

// stateAfterSnapshot returns saved with the snapshot applied. It keeps the entries after the snapshot, unless they conflict
// with its term or do not start right after its index.
func stateAfterSnapshot(saved replicator.PersistentState, snapshot replicator.Snapshot) replicator.PersistentState {
	remaining := replicator.PersistentState{Term: saved.Term, Vote: saved.Vote, Snapshot: snapshot}
	for _, entry := range saved.Entries {
		if entry.Index == snapshot.Index && entry.Term != snapshot.Term {
			return remaining
		}
	}
	for _, entry := range saved.Entries {
		if entry.Index > snapshot.Index {
			remaining.Entries = append(remaining.Entries, entry)
		}
	}
	if len(remaining.Entries) > 0 && remaining.Entries[0].Index != snapshot.Index+1 {
		remaining.Entries = nil
	}
	return remaining
}

func (j *Journaler) appendRecord(write replicator.Write) error {
	data, err := encodeRecord(write)
	if err != nil {
		return err
	}
	w, err := j.writer.Next()
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

func (j *Journaler) flushAndSync() error {
	if err := j.writer.Flush(); err != nil {
		return err
	}
	return j.file.Sync()
}

// load reads the saved state and rewrites it to a new journal file.
func (j *Journaler) load() (replicator.PersistentState, error) {
	saved, sequence, err := j.readState()
	if err != nil {
		return saved, err
	}
	j.sequence = sequence
	return saved, j.startJournal(saved)
}

func (j *Journaler) readState() (replicator.PersistentState, int, error) {
	var saved replicator.PersistentState
	if err := j.readSnapshot(&saved); err != nil {
		return saved, 0, err
	}
	paths, sequence, err := j.journalFiles()
	if err != nil || len(paths) == 0 {
		return saved, sequence, err
	}
	state, err := readLog(paths[len(paths)-1], j.toleratesTornWrites)
	if err != nil {
		return saved, 0, err
	}
	snapshot := saved.Snapshot
	saved = stateAfterSnapshot(state, snapshot)
	return saved, sequence, nil
}

func (j *Journaler) readSnapshot(saved *replicator.PersistentState) error {
	path := filepath.Join(j.folder, snapshotFile)
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read snapshot")
	}
	saved.Snapshot, err = decodeSnapshot(data)
	if err != nil {
		return &FolderError{file: path, reason: err.Error(), advice: adviceReplace}
	}
	return nil
}

// journalFiles returns the paths of the journal files, oldest first, and the highest sequence number.
// The newest file holds all records after the snapshot.
func (j *Journaler) journalFiles() ([]string, int, error) {
	files, err := os.ReadDir(j.folder)
	if err != nil {
		return nil, 0, errors.Wrap(err, "list data folder")
	}
	var paths []string
	sequence := 0
	for _, file := range files {
		if !strings.HasPrefix(file.Name(), logPrefix) || strings.HasSuffix(file.Name(), newSuffix) {
			continue
		}
		var number int
		if _, err := fmt.Sscanf(file.Name(), logPrefix+"%d", &number); err != nil {
			continue
		}
		sequence = max(sequence, number)
		paths = append(paths, filepath.Join(j.folder, file.Name()))
	}
	sort.Strings(paths)
	return paths, sequence, nil
}

// startJournal writes the saved state to a new journal file and removes the older files.
func (j *Journaler) startJournal(saved replicator.PersistentState) error {
	oldPaths, _, err := j.journalFiles()
	if err != nil {
		return err
	}
	j.sequence++
	path := filepath.Join(j.folder, fmt.Sprintf("%s%08d", logPrefix, j.sequence))
	if err := j.writeJournal(path+newSuffix, saved); err != nil {
		// On a full disk, the room is needed for the next try.
		_ = os.Remove(path + newSuffix)
		return err
	}
	if err := os.Rename(path+newSuffix, path); err != nil {
		return err
	}
	// Without this sync, a power loss could keep the removals below but lose the rename.
	if err := j.syncDir(j.folder); err != nil {
		return err
	}
	for _, oldPath := range oldPaths {
		if err := os.Remove(oldPath); err != nil {
			return err
		}
	}
	return j.syncDir(j.folder)
}

// writeJournal creates a journal file with the saved state and makes it the current one.
func (j *Journaler) writeJournal(path string, saved replicator.PersistentState) error {
	file, err := j.create(path)
	if err != nil {
		return errors.Wrap(err, "create journal")
	}
	if j.file != nil {
		_ = j.file.Close()
	}
	j.file = file
	j.writer = journal.NewWriter(file)
	if err := j.appendRecord(replicator.SaveVote{Term: saved.Term, Vote: saved.Vote}); err != nil {
		return err
	}
	if err := j.appendRecord(replicator.SaveEntries{Entries: saved.Entries}); err != nil {
		return err
	}
	return j.flushAndSync()
}

func createFile(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
}

func decodeRecord(data []byte) (record, error) {
	var r record
	err := msgpack.Unmarshal(data, &r)
	return r, err
}
