package journaler

import (
	"os"
	"path/filepath"
	"testing"
)

// Whatever a log file holds, reading it ends with records or an error that names the place.
func FuzzLog(f *testing.F) {
	f.Add([]byte{}, true)
	f.Add([]byte("no journal"), false)
	f.Add(make([]byte, 64), true)
	f.Fuzz(func(t *testing.T, data []byte, tornWrites bool) {
		path := filepath.Join(t.TempDir(), "log-00000001")
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := readLog(path, tornWrites); err != nil && tornWrites && len(data) == 0 {
			t.Errorf("an empty log: %v", err)
		}
	})
}
