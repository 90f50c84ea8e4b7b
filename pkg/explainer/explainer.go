// The course of a request is every log line that names it, in the order of
// time. The last line that ends it gives the outcome; the attempts before it
// give the cause:
//
//	request 9c41 at entry-2: refused with 503 after 12 ms: every leaf that was asked refused it without running it (i-1, i-2)

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
	attemptEnded   = "gatekeeper: attempt ended"
	anotherAttempt = "gatekeeper: another attempt"
	refusedLine    = "gatekeeper: refused"
	answeredLine   = "gatekeeper: answered"
	passedLine     = "gatekeeper: passed"
	callerLeftLine = "gatekeeper: the caller left"

	maxLine = 1 << 20
)

type (
	// Step is one log line about a request.
	Step struct {
		at       time.Time
		instance string
		message  string
		fields   map[string]any
	}

	// Course is all that the logs say of one request.
	Course struct {
		request string
		steps   []Step
	}
)

// At returns when the line was written.
func (s Step) At() time.Time { return s.at }

// Instance returns which instance wrote the line.
func (s Step) Instance() string { return s.instance }

// Message returns the message of the line.
func (s Step) Message() string { return s.message }

// Steps returns the lines, oldest first.
func (c *Course) Steps() []Step { return c.steps }

// New returns a course without lines.
func New(request string) *Course { return &Course{request: request} }

// Read adds the lines of one log that name the request; text before the first brace of a line is passed over.
func (c *Course) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	name := []byte(`"` + c.request + `"`)
	for scanner.Scan() {
		line := scanner.Bytes()
		brace := bytes.IndexByte(line, '{')
		if brace < 0 || !bytes.Contains(line, name) {
			continue
		}
		fields := map[string]any{}
		if err := json.Unmarshal(line[brace:], &fields); err != nil || fields["request"] != c.request {
			continue
		}
		step := Step{fields: fields}
		step.message, _ = fields["msg"].(string)
		step.instance, _ = fields["instance"].(string)
		if text, ok := fields["ts"].(string); ok {
			step.at, _ = time.Parse(time.RFC3339Nano, text)
		}
		c.steps = append(c.steps, step)
	}
	sort.SliceStable(c.steps, func(i, j int) bool { return c.steps[i].at.Before(c.steps[j].at) })
	return errors.Wrap(scanner.Err(), "read the log")
}

// Sentence says in one sentence how the request ended and why.
func (c *Course) Sentence() string {
	end, ok := c.end()
	if !ok {
		return fmt.Sprintf("request %s: the logs have %d lines about it, and none that ends it", c.request, len(c.steps))
	}
	head := fmt.Sprintf("request %s at %s: ", c.request, end.instance)
	switch end.message {
	case passedLine:
		return head + c.passed(end)
	case answeredLine:
		return head + c.answered(end)
	case callerLeftLine:
		return head + "the caller left before there was an answer" + c.because()
	}
	return head + c.refused(end)
}

// Lines returns the steps as lines of text.
func (c *Course) Lines() []string {
	lines := make([]string, 0, len(c.steps))
	for _, step := range c.steps {
		lines = append(lines, fmt.Sprintf("%s  %-12s  %s%s", step.at.Format("15:04:05.000"), step.instance, step.message, step.details()))
	}
	return lines
}

func (c *Course) end() (Step, bool) {
	for i := len(c.steps) - 1; i >= 0; i-- {
		switch c.steps[i].message {
		case passedLine, answeredLine, refusedLine, callerLeftLine:
			return c.steps[i], true
		}
	}
	return Step{}, false
}

func (c *Course) passed(end Step) string {
	text := fmt.Sprintf("the answer %v of leaf %s was passed on after %v ms, of which the leaf took %v ms and the wait for a connection %v ms",
		end.fields["status"], end.text("leaf"), end.fields["took-ms"], end.fields["leaf-ms"], end.fields["queued-ms"])
	return text + c.because()
}

func (c *Course) answered(end Step) string {
	missing := end.list("missing")
	text := fmt.Sprintf("answered after %v ms with %v parts", end.fields["took-ms"], end.fields["parts"])
	if len(missing) == 0 {
		return text + c.because()
	}
	return text + fmt.Sprintf("; left out, with the leafs that were asked: %s", strings.Join(missing, ", ")) + c.because()
}

func (c *Course) refused(end Step) string {
	text := fmt.Sprintf("ended with %v after %v ms: %s", end.fields["status"], end.fields["took-ms"], end.text("reason"))
	if missing := end.list("missing"); len(missing) > 0 {
		return text + shared(missing)
	}
	return text + c.because()
}

// shared names the cause that most of the missing shards share, with its leafs. A missing shard is written as
// "s2(i-1:silent, front-b-3: i-2:silent)", where another instance asked the second leaf.
func shared(missing []string) string {
	leafs, cause := map[string][]string{}, ""
	for _, shard := range missing {
		_, asked, _ := strings.Cut(strings.TrimSuffix(shard, ")"), "(")
		for _, one := range strings.Split(asked, ", ") {
			at := strings.LastIndexByte(one, ':')
			if at < 0 {
				leafs[one] = append(leafs[one], "")
				continue
			}
			leafs[one[at+1:]] = append(leafs[one[at+1:]], one[:at])
		}
	}
	for did := range leafs {
		if did != "" && (cause == "" || len(leafs[did]) > len(leafs[cause]) || len(leafs[did]) == len(leafs[cause]) && did < cause) {
			cause = did
		}
	}
	if cause == "" {
		return ""
	}
	return fmt.Sprintf("; most of the missing shards share this cause: %s: %s", cause, strings.Join(nonEmpty(leafs[cause]), ", "))
}

func nonEmpty(names []string) []string {
	return slices.DeleteFunc(names, func(name string) bool { return name == "" })
}

// list returns the words of a field that holds several.
func (s Step) list(key string) []string {
	values, _ := s.fields[key].([]any)
	words := make([]string, 0, len(values))
	for _, value := range values {
		words = append(words, fmt.Sprint(value))
	}
	return words
}

// because names the attempts that brought nothing, by outcome.
func (c *Course) because() string {
	leafs := map[string][]string{}
	var order []string
	for _, step := range c.steps {
		if step.message != attemptEnded {
			continue
		}
		outcome := step.text("outcome")
		if leafs[outcome] == nil {
			order = append(order, outcome)
		}
		leafs[outcome] = append(leafs[outcome], step.text("leaf"))
	}
	parts := make([]string, 0, len(order))
	for _, outcome := range order {
		parts = append(parts, fmt.Sprintf("%s: %s", outcome, strings.Join(leafs[outcome], ", ")))
	}
	if len(parts) == 0 {
		return ""
	}
	return "; attempts that brought nothing: " + strings.Join(parts, "; ")
}

func (s Step) text(key string) string { return fmt.Sprint(s.fields[key]) }

// details returns the fields of the line that are not shown elsewhere, by name.
func (s Step) details() string {
	names := make([]string, 0, len(s.fields))
	for name := range s.fields {
		switch name {
		case "level", "ts", "msg", "part", "instance", "request":
		default:
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var text strings.Builder
	for _, name := range names {
		_, _ = fmt.Fprintf(&text, "  %s=%v", name, s.fields[name])
	}
	return text.String()
}
