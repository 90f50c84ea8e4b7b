// Lines pass through a bounded queue to one writer goroutine. The rate of lines
// with the same message is limited. Lines that exceed the rate or the queue are
// dropped, and their number is logged:
//
//	{"level":"info","ts":"...","msg":"recorder: lines left out","over-rate":12,"queue-full":0}

package recorder

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxQueuedLines is the capacity of the queue. At 300 bytes a line, a full queue takes about 1 MB.
	maxQueuedLines = 4096
	// maxLinesPerSecond is the rate limit for lines with the same message.
	maxLinesPerSecond = 200
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
)

// Recorder queues log lines and writes them from one goroutine.
type Recorder struct {
	out              io.Writer
	lines            chan []byte
	flushes          chan chan struct{}
	droppedQueueFull atomic.Int64
	droppedOverRate  atomic.Int64
}

// New returns a recorder whose goroutine writes to out until the process ends.
func New(out io.Writer) *Recorder {
	r := &Recorder{out: out, lines: make(chan []byte, maxQueuedLines), flushes: make(chan chan struct{})}
	go r.writeLoop()
	return r
}

// Write queues a copy of the line, or drops the line if the queue is full, and always returns a nil error.
func (r *Recorder) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.droppedQueueFull.Add(1)
	}
	return len(line), nil
}

// Sync waits until the queued lines are written, and gives up if that does not start within one second.
func (r *Recorder) Sync() error {
	done := make(chan struct{})
	select {
	case r.flushes <- done:
		<-done
	case <-time.After(reportInterval):
	}
	return nil
}

// Logger returns a logger that adds the name of the component to each line and writes V(1) lines only at level "debug".
func (r *Recorder) Logger(component, level string) logr.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	threshold := zapcore.InfoLevel
	if level == "debug" {
		threshold = zapcore.DebugLevel
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), r, threshold)
	core = stacklessCore{core}
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, maxLinesPerSecond, 0,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				r.droppedOverRate.Add(1)
			}
		}))
	logger := zapr.NewLogger(zap.New(sampled)).WithValues("part", component)
	go r.reportLoop(logger)
	return logger
}

func (r *Recorder) writeLoop() {
	for {
		select {
		case line := <-r.lines:
			_, _ = r.out.Write(line)
		case done := <-r.flushes:
			r.drain()
			close(done)
		}
	}
}

func (r *Recorder) drain() {
	for {
		select {
		case line := <-r.lines:
			_, _ = r.out.Write(line)
		default:
			return
		}
	}
}

func (r *Recorder) reportLoop(logger logr.Logger) {
	for range time.Tick(reportInterval) {
		overRate, queueFull := r.droppedOverRate.Swap(0), r.droppedQueueFull.Swap(0)
		if overRate+queueFull > 0 {
			logger.Info("recorder: lines left out", "over-rate", overRate, "queue-full", queueFull)
		}
	}
}

// stacklessCore writes errors as their message only, without the stack trace that pkg/errors attaches.
type stacklessCore struct {
	zapcore.Core
}

// With returns a core that adds the fields to each line.
func (c stacklessCore) With(fields []zapcore.Field) zapcore.Core {
	return stacklessCore{c.Core.With(withoutStacks(fields))}
}

// Check adds this core to checked if the level of the entry is enabled.
func (c stacklessCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write writes the entry and its fields without stack traces.
func (c stacklessCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	entry.Stack = ""
	return c.Core.Write(entry, withoutStacks(fields))
}

func withoutStacks(fields []zapcore.Field) []zapcore.Field {
	converted := make([]zapcore.Field, len(fields))
	for i, field := range fields {
		converted[i] = field
		if err, ok := field.Interface.(error); ok && field.Type == zapcore.ErrorType {
			converted[i] = zap.String(field.Key, err.Error())
		}
	}
	return converted
}
