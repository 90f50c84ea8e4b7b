package journaler

import (
	"os"
	"path/filepath"
	"testing"
)

// FuzzLog checks that readLog does not panic on arbitrary content and accepts an empty file when torn writes are tolerated.
func FuzzLog(f *testing.F) {
	f.Add([]byte{}, true)
	f.Add([]byte("no journal"), false)
	f.Add(make([]byte, 64), true)
	f.Fuzz(func(t *testing.T, data []byte, toleratesTornWrites bool) {
		path := filepath.Join(t.TempDir(), "log-00000001")
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := readLog(path, toleratesTornWrites); err != nil && toleratesTornWrites && len(data) == 0 {
			t.Errorf("reading an empty journal: got error %v, want none", err)
		}
	})
}
