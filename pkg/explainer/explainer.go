// All log lines with the id of a request are collected and sorted by time. The
// latest line that reports its end gives the outcome, and the failed attempts
// give the cause:
//
//	request 9c41 at entry-2: ended with 502 after 12 ms: the leaf broke off; attempts that brought nothing: failed: i-1

package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	attemptEndedMessage   = "gatekeeper: attempt ended"
	anotherAttemptMessage = "gatekeeper: another attempt"
	refusedMessage        = "gatekeeper: refused"
	answeredMessage       = "gatekeeper: answered"
	forwardedMessage      = "gatekeeper: passed"
	callerLeftMessage     = "gatekeeper: the caller left"

	maxLineBytes = 1 << 20
)

type (
	// Entry is one log line about a request.
	Entry struct {
		at       time.Time
		instance string
		message  string
		fields   map[string]any
	}

	// RequestLog holds the log lines about one request.
	RequestLog struct {
		request string
		entries []Entry
	}
)

// At returns the time at which the line was logged.
func (e Entry) At() time.Time { return e.at }

// Instance returns the name of the instance that logged the line.
func (e Entry) Instance() string { return e.instance }

// Message returns the log message of the line.
func (e Entry) Message() string { return e.message }

// Entries returns the log lines about the request, oldest first.
func (l *RequestLog) Entries() []Entry { return l.entries }

// New returns an empty log of the request with this id.
func New(request string) *RequestLog { return &RequestLog{request: request} }

// Read adds the lines of one log about the request, ignoring any text before the JSON object of a line, and returns an
// error if the log cannot be read.
func (l *RequestLog) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	quotedID := []byte(`"` + l.request + `"`)
	for scanner.Scan() {
		line := scanner.Bytes()
		brace := bytes.IndexByte(line, '{')
		if brace < 0 || !bytes.Contains(line, quotedID) {
			continue
		}
		fields := map[string]any{}
		if err := json.Unmarshal(line[brace:], &fields); err != nil || fields["request"] != l.request {
			continue
		}
		entry := Entry{fields: fields}
		entry.message, _ = fields["msg"].(string)
		entry.instance, _ = fields["instance"].(string)
		if timestamp, ok := fields["ts"].(string); ok {
			entry.at, _ = time.Parse(time.RFC3339Nano, timestamp)
		}
		l.entries = append(l.entries, entry)
	}
	sort.SliceStable(l.entries, func(i, j int) bool { return l.entries[i].at.Before(l.entries[j].at) })
	return errors.Wrap(scanner.Err(), "read log")
}

// Summary returns one sentence that says how the request ended and why.
func (l *RequestLog) Summary() string {
	final, ok := l.finalEntry()
	if !ok {
		return fmt.Sprintf("request %s: the logs have %d lines about it, and none that ends it", l.request, len(l.entries))
	}
	prefix := fmt.Sprintf("request %s at %s: ", l.request, final.instance)
	switch final.message {
	case forwardedMessage:
		return prefix + l.describeForwarded(final)
	case answeredMessage:
		return prefix + l.describeAnswered(final)
	case callerLeftMessage:
		return prefix + "the caller left before there was an answer" + l.failedAttempts()
	}
	return prefix + l.describeRefused(final)
}

// Lines formats the log lines about the request as text, one line each.
func (l *RequestLog) Lines() []string {
	lines := make([]string, 0, len(l.entries))
	for _, entry := range l.entries {
		lines = append(lines, fmt.Sprintf("%s  %-12s  %s%s", entry.at.Format("15:04:05.000"), entry.instance, entry.message, entry.formatFields()))
	}
	return lines
}

// finalEntry returns the latest entry that reports the end of the request.
func (l *RequestLog) finalEntry() (Entry, bool) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		switch l.entries[i].message {
		case forwardedMessage, answeredMessage, refusedMessage, callerLeftMessage:
			return l.entries[i], true
		}
	}
	return Entry{}, false
}

func (l *RequestLog) describeForwarded(final Entry) string {
	text := fmt.Sprintf("the answer %v of leaf %s was passed on after %v ms, of which the leaf took %v ms and the wait for a connection %v ms",
		final.fields["status"], final.fieldText("leaf"), final.fields["took-ms"], final.fields["leaf-ms"], final.fields["queued-ms"])
	return text + l.failedAttempts()
}

func (l *RequestLog) describeAnswered(final Entry) string {
	missing := final.fieldList("missing")
	text := fmt.Sprintf("answered after %v ms with %v parts", final.fields["took-ms"], final.fields["parts"])
	if len(missing) == 0 {
		return text + l.failedAttempts()
	}
	return text + fmt.Sprintf("; left out, with the leafs that were asked: %s", strings.Join(missing, ", ")) + l.failedAttempts()
}

func (l *RequestLog) describeRefused(final Entry) string {
	text := fmt.Sprintf("ended with %v after %v ms: %s", final.fields["status"], final.fields["took-ms"], final.fieldText("reason"))
	if _, isDenied := final.fields["no-further-attempt"]; isDenied {
		text += "; no further attempt was made: " + final.fieldText("no-further-attempt")
	}
	if missing := final.fieldList("missing"); len(missing) > 0 {
		return text + commonCause(missing)
	}
	return text + l.failedAttempts()
}

// commonCause returns a clause with the most frequent cause of the failed attempts for the missing shards and the leafs that
// it affected. A missing shard is logged as "s2(i-1:silent, front-b-3: i-2:silent)" if another instance sent the second
// request.
func commonCause(missing []string) string {
	leafsByCause, mostCommon := map[string][]string{}, ""
	for _, shard := range missing {
		_, attempts, _ := strings.Cut(strings.TrimSuffix(shard, ")"), "(")
		for _, attempt := range strings.Split(attempts, ", ") {
			separator := strings.LastIndexByte(attempt, ':')
			if separator < 0 {
				leafsByCause[attempt] = append(leafsByCause[attempt], "")
				continue
			}
			leafsByCause[attempt[separator+1:]] = append(leafsByCause[attempt[separator+1:]], attempt[:separator])
		}
	}
	for cause := range leafsByCause {
		if cause != "" && (mostCommon == "" || len(leafsByCause[cause]) > len(leafsByCause[mostCommon]) || len(leafsByCause[cause]) == len(leafsByCause[mostCommon]) && cause < mostCommon) {
			mostCommon = cause
		}
	}
	if mostCommon == "" {
		return ""
	}
	return fmt.Sprintf("; most of the missing shards share this cause: %s: %s", mostCommon, strings.Join(nonEmpty(leafsByCause[mostCommon]), ", "))
}

func nonEmpty(names []string) []string {
	return slices.DeleteFunc(names, func(name string) bool { return name == "" })
}

// fieldList returns the elements of a field that holds a list.
func (e Entry) fieldList(key string) []string {
	values, _ := e.fields[key].([]any)
	texts := make([]string, 0, len(values))
	for _, value := range values {
		texts = append(texts, fmt.Sprint(value))
	}
	return texts
}

// failedAttempts returns a clause that lists the leafs of the failed attempts, grouped by outcome.
func (l *RequestLog) failedAttempts() string {
	leafsByOutcome := map[string][]string{}
	var outcomes []string
	for _, entry := range l.entries {
		if entry.message != attemptEndedMessage {
			continue
		}
		outcome := entry.fieldText("outcome")
		if leafsByOutcome[outcome] == nil {
			outcomes = append(outcomes, outcome)
		}
		leafsByOutcome[outcome] = append(leafsByOutcome[outcome], entry.fieldText("leaf"))
	}
	parts := make([]string, 0, len(outcomes))
	for _, outcome := range outcomes {
		parts = append(parts, fmt.Sprintf("%s: %s", outcome, strings.Join(leafsByOutcome[outcome], ", ")))
	}
	if len(parts) == 0 {
		return ""
	}
	return "; attempts that brought nothing: " + strings.Join(parts, "; ")
}

func (e Entry) fieldText(key string) string { return fmt.Sprint(e.fields[key]) }

// formatFields formats the fields that the other columns do not show, sorted by name.
func (e Entry) formatFields() string {
	names := make([]string, 0, len(e.fields))
	for name := range e.fields {
		switch name {
		case "level", "ts", "msg", "part", "instance", "request":
		default:
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var text strings.Builder
	for _, name := range names {
		_, _ = fmt.Fprintf(&text, "  %s=%v", name, e.fields[name])
	}
	return text.String()
}
