package journaler

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"lovagedeck/pkg/replicator"
)

func newFolder(t *testing.T) string {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "data")
	if _, err := Format(folder, "cluster", "control-1", true); err != nil {
		t.Fatal(err)
	}
	return folder
}

func open(t *testing.T, folder string, options ...Option) (*Journaler, replicator.PersistentState) {
	t.Helper()
	j, saved, err := Open(folder, "cluster", "control-1", options...)
	if err != nil {
		t.Fatal(err)
	}
	return j, saved
}

func entries(from, to, term uint64) []replicator.Entry {
	var list []replicator.Entry
	for i := from; i <= to; i++ {
		list = append(list, replicator.Entry{Index: i, Term: term, Data: []byte(fmt.Sprintf("entry %d", i))})
	}
	return list
}

func persist(t *testing.T, j *Journaler, writes ...replicator.Write) {
	t.Helper()
	if err := j.Persist(writes); err != nil {
		t.Fatal(err)
	}
}

func closeJournaler(t *testing.T, j *Journaler) {
	t.Helper()
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
}

func newestJournal(t *testing.T, folder string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, logPrefix+"*"))
	if err != nil || len(files) == 0 {
		t.Fatal("got no journal file, want at least one; error:", err)
	}
	return files[len(files)-1]
}

func TestRestartRestoresState(t *testing.T) {
	snapshot := replicator.Snapshot{Index: 2, Term: 1, Data: []byte("state")}
	tests := []struct {
		name   string
		writes []replicator.Write
		want   replicator.PersistentState
	}{
		{
			"vote and entries",
			[]replicator.Write{replicator.SaveVote{Term: 3, Vote: "b"}, replicator.SaveEntries{Entries: entries(1, 3, 3)}},
			replicator.PersistentState{Term: 3, Vote: "b", Entries: entries(1, 3, 3)},
		},
		{
			"entries that overwrite earlier entries",
			[]replicator.Write{replicator.SaveEntries{Entries: entries(1, 5, 1)}, replicator.SaveEntries{Entries: entries(3, 4, 2)}},
			replicator.PersistentState{Entries: append(entries(1, 2, 1), entries(3, 4, 2)...)},
		},
		{
			"snapshot between entries",
			[]replicator.Write{replicator.SaveEntries{Entries: entries(1, 4, 1)}, replicator.SaveSnapshot{Snapshot: snapshot}, replicator.SaveEntries{Entries: entries(5, 5, 1)}},
			replicator.PersistentState{Snapshot: snapshot, Entries: entries(3, 5, 1)},
		},
		{
			"snapshot with a conflicting term drops the entries",
			[]replicator.Write{replicator.SaveEntries{Entries: entries(1, 4, 7)}, replicator.SaveSnapshot{Snapshot: snapshot}},
			replicator.PersistentState{Snapshot: snapshot},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			folder := newFolder(t)
			j, _ := open(t, folder)
			persist(t, j, test.writes...)
			for range 2 {
				closeJournaler(t, j)
				var saved replicator.PersistentState
				j, saved = open(t, folder)
				if len(saved.Entries) == 0 {
					saved.Entries = nil
				}
				if !reflect.DeepEqual(saved, test.want) {
					t.Fatalf("restored %+v, want %+v", saved, test.want)
				}
			}
			closeJournaler(t, j)
		})
	}
}

// Without a folder sync while both journals exist, a power loss can keep the removal of the old journal but lose the rename
// of the new one.
func TestNewJournalIsSyncedBeforeOldIsRemoved(t *testing.T) {
	folder := newFolder(t)
	j, _ := open(t, folder)
	persist(t, j, replicator.SaveEntries{Entries: entries(1, 3, 1)})
	closeJournaler(t, j)
	var synced [][]string
	recordSync := func(folder string) error {
		paths, err := filepath.Glob(filepath.Join(folder, logPrefix+"*"))
		synced = append(synced, paths)
		return err
	}
	j, _, err := Open(folder, "cluster", "control-1", WithFolderSync(recordSync))
	if err != nil {
		t.Fatal(err)
	}
	closeJournaler(t, j)
	if len(synced) != 2 || len(synced[0]) != 2 || len(synced[1]) != 1 {
		t.Fatalf("files at the folder syncs: got %v, want both journals, then only the new one", synced)
	}
	if name := filepath.Base(synced[0][1]); strings.HasSuffix(name, ".new") || synced[1][0] != synced[0][1] {
		t.Errorf("new journal at the first folder sync: got name %q, want its final name", name)
	}
}

// Truncates the journal at every byte of its last record, with and without zeros after the end.
func TestTornLastRecordIsDropped(t *testing.T) {
	folder := newFolder(t)
	j, _ := open(t, folder)
	persist(t, j, replicator.SaveEntries{Entries: entries(1, 2, 1)})
	intactBytes := size(t, newestJournal(t, folder))
	persist(t, j, replicator.SaveEntries{Entries: entries(3, 3, 1)})
	closeJournaler(t, j)
	content := read(t, newestJournal(t, folder))
	for cut := intactBytes; cut < len(content); cut++ {
		for _, zeros := range []int{0, 64} {
			target := copyFolder(t, folder)
			write(t, newestJournal(t, target), append(append([]byte(nil), content[:cut]...), make([]byte, zeros)...))
			opened, saved := open(t, target)
			if len(saved.Entries) != 2 {
				t.Fatalf("truncated at byte %d, followed by %d zeros: got %d entries, want 2", cut, zeros, len(saved.Entries))
			}
			closeJournaler(t, opened)
		}
	}
}

// Flips one bit in each byte before the last record.
func TestDamagedRecordIsRefused(t *testing.T) {
	folder := newFolder(t)
	j, _ := open(t, folder)
	for i := uint64(1); i <= 3; i++ {
		persist(t, j, replicator.SaveEntries{Entries: entries(i, i, 1)})
	}
	lastRecordOffset := size(t, newestJournal(t, folder))
	persist(t, j, replicator.SaveEntries{Entries: entries(4, 4, 1)})
	closeJournaler(t, j)
	content := read(t, newestJournal(t, folder))
	for offset := range lastRecordOffset {
		target := copyFolder(t, folder)
		damaged := append([]byte(nil), content...)
		damaged[offset] ^= 0x40
		write(t, newestJournal(t, target), damaged)
		_, _, err := Open(target, "cluster", "control-1")
		var folderErr *FolderError
		if !errors.As(err, &folderErr) || folderErr.File() == "" || folderErr.Offset() > int64(offset) {
			t.Fatalf("bit flipped at byte %d: got error %v, want a FolderError with a file and an offset up to that byte", offset, err)
		}
	}
}

func TestDamagedSnapshotIsRefused(t *testing.T) {
	folder := newFolder(t)
	j, _ := open(t, folder)
	persist(t, j, replicator.SaveSnapshot{Snapshot: replicator.Snapshot{Index: 1, Term: 1, Data: []byte("state")}})
	closeJournaler(t, j)
	path := filepath.Join(folder, snapshotFile)
	content := read(t, path)
	content[3] ^= 1
	write(t, path, content)
	if _, _, err := Open(folder, "cluster", "control-1"); err == nil {
		t.Fatal("open with a damaged snapshot: got no error, want one")
	}
}

func TestFolderOwnershipIsChecked(t *testing.T) {
	folder := newFolder(t)
	j, _ := open(t, folder)
	tests := []struct {
		name     string
		cluster  string
		instance string
	}{{"in use", "cluster", "control-1"}, {"other cluster", "other", "control-1"}, {"other instance", "cluster", "control-2"}}
	for _, test := range tests {
		if _, _, err := Open(folder, test.cluster, test.instance); err == nil {
			t.Errorf("%s: open returned no error, want one", test.name)
		}
	}
	closeJournaler(t, j)
	if _, err := Format(folder, "cluster", "control-1", false); err == nil {
		t.Error("format of a non-empty folder: got no error, want one")
	}
	if _, _, err := Open(t.TempDir(), "cluster", "control-1"); err == nil {
		t.Error("open of an unformatted folder: got no error, want one")
	}
}

func TestRandomDiskNamesDiffer(t *testing.T) {
	used := map[replicator.NodeID]bool{}
	for range 3 {
		identity, err := Format(filepath.Join(t.TempDir(), "data"), "cluster", "control-1", false)
		if err != nil {
			t.Fatal(err)
		}
		if used[identity.Node()] || identity.Disk == BootstrapDisk {
			t.Fatalf("got node ID %s, want a new ID with a random disk name", identity.Node())
		}
		used[identity.Node()] = true
	}
}

// failingFile fails writes longer than maxWriteBytes, and syncs if failsSync is set, while isFailing is true.
type failingFile struct {
	File
	maxWriteBytes int
	failsSync     bool
	isFailing     *bool
}

func (f *failingFile) Write(p []byte) (int, error) {
	if *f.isFailing && len(p) > f.maxWriteBytes {
		return 0, errors.New("no space left on device")
	}
	return f.File.Write(p)
}

func (f *failingFile) Sync() error {
	if *f.isFailing && f.failsSync {
		return errors.New("input/output error")
	}
	return f.File.Sync()
}

func TestPersistFailsAfterFailedWrite(t *testing.T) {
	tests := []struct {
		name          string
		maxWriteBytes int
		failsSync     bool
	}{{"full disk", 0, false}, {"failed sync", 1 << 20, true}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			folder := newFolder(t)
			isFailing := false
			j, _ := open(t, folder, WithCreate(func(path string) (File, error) {
				file, err := createFile(path)
				return &failingFile{File: file, maxWriteBytes: test.maxWriteBytes, failsSync: test.failsSync, isFailing: &isFailing}, err
			}))
			persist(t, j, replicator.SaveEntries{Entries: entries(1, 1, 1)})
			isFailing = true
			if err := j.Persist([]replicator.Write{replicator.SaveEntries{Entries: entries(2, 2, 1)}}); err == nil {
				t.Fatal("persist with a failing file: got no error, want one")
			}
			isFailing = false
			if err := j.Persist([]replicator.Write{replicator.SaveEntries{Entries: entries(2, 2, 1)}}); err == nil {
				t.Fatal("persist after a failed write, without reopening: got no error, want one")
			}
			closeJournaler(t, j)
			j, saved := open(t, folder)
			if len(saved.Entries) < 1 {
				t.Fatal("restored entries: got 0, want at least the acknowledged one")
			}
			persist(t, j, replicator.SaveEntries{Entries: entries(2, 2, 1)})
			closeJournaler(t, j)
		})
	}
}

func BenchmarkRestart(b *testing.B) {
	for _, changes := range []uint64{1, 300, 3000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			folder := filepath.Join(b.TempDir(), "data")
			if _, err := Format(folder, "cluster", "control-1", true); err != nil {
				b.Fatal(err)
			}
			j, _, err := Open(folder, "cluster", "control-1")
			if err != nil {
				b.Fatal(err)
			}
			if err := j.Persist([]replicator.Write{replicator.SaveEntries{Entries: entries(1, changes, 1)}}); err != nil {
				b.Fatal(err)
			}
			_ = j.Close()
			for b.Loop() {
				j, _, err := Open(folder, "cluster", "control-1")
				if err != nil {
					b.Fatal(err)
				}
				_ = j.Close()
			}
		})
	}
}

func copyFolder(t *testing.T, folder string) string {
	t.Helper()
	target := t.TempDir()
	files, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		write(t, filepath.Join(target, file.Name()), read(t, filepath.Join(folder, file.Name())))
	}
	return target
}

func read(t *testing.T, path string) []byte {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func write(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, content, fileMode); err != nil {
		t.Fatal(err)
	}
}

func size(t *testing.T, path string) int { return len(read(t, path)) }
