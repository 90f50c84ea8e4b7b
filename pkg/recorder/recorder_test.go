package recorder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// blockedWriter blocks each write until unblock is closed.
type blockedWriter struct {
	unblock chan bool
	mu      sync.Mutex
	written bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

func (b *blockedWriter) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.String()
}

func TestLoggerDoesNotBlock(t *testing.T) {
	out := &blockedWriter{unblock: make(chan bool)}
	logger := New(out).Logger("entry", "info")
	done := make(chan bool)
	go func() {
		for i := range 4 * maxQueuedLines {
			logger.Info(fmt.Sprint("line ", i))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("logging is still blocked after 5 s, want it not to wait for a blocked output")
	}
	close(out.unblock)
	for range 100 {
		if strings.Contains(out.text(), "lines left out") {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Errorf("got no report of dropped lines, want one after more than %d lines", maxQueuedLines)
}

func TestLoggerLimitsRateOfMessage(t *testing.T) {
	var out syncBuffer
	r := New(&out)
	logger := r.Logger("entry", "info")
	for range 10 * maxLinesPerSecond {
		logger.Info("same message")
	}
	_ = r.Sync()
	if got := strings.Count(out.String(), "same message"); got < maxLinesPerSecond || got > 2*maxLinesPerSecond {
		t.Errorf("got %d lines with the same message, want %d to %d", got, maxLinesPerSecond, 2*maxLinesPerSecond)
	}
}

func TestLoggerWritesErrorWithoutStack(t *testing.T) {
	var out syncBuffer
	r := New(&out)
	r.Logger("entry", "info").Error(errors.Wrap(io.EOF, "read roster"), "read failed", "peer", "x")
	_ = r.Sync()
	var line map[string]any
	if err := json.Unmarshal([]byte(out.String()), &line); err != nil {
		t.Fatalf("%v: %s", err, out.String())
	}
	if line["error"] != "read roster: EOF" || line["errorVerbose"] != nil || line["stacktrace"] != nil || line["part"] != "entry" {
		t.Errorf("got line %v, want the error as one string and no stack trace", line)
	}
}

type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
