package stage

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record writes what was sent, answered and run to the record of a case.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, started: time.Now()}, nil
}

// Log adds a line with the time since the start.
func (r *Record) Log(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// Print adds a line and also prints it.
func (r *Record) Print(format string, values ...any) {
	r.Log(format, values...)
	fmt.Printf(format+"\n", values...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
