// An explanation names the request that ended last and its longest step:
//
//	shard customs-desk-07/1 waited 38.0 ms in the queue of leaf customs-desk-07-ub-a-1: limit 1 of 2 slots since it restarted 1.2 s before

package tracer

import (
	"fmt"
	"strings"
	"time"
)

const stepQueue, stepConnect, stepLeaf, stepTravel = "queue", "connect", "leaf", "travel"

// Explain returns one sentence on what held the query up.
func Explain(trace Trace) string {
	span, ok := lastSpan(trace)
	if !ok {
		return fmt.Sprintf("no request was sent: %s", orElse(trace.Reason, trace.Outcome))
	}
	sentence := explainSpan(span)
	if trace.Outcome != "complete" && trace.Reason != "" {
		sentence += fmt.Sprintf("; the query ended as %s: %s", trace.Outcome, trace.Reason)
	}
	if earlier := earlierAttempts(trace, span); earlier > 0 {
		sentence += fmt.Sprintf("; %d earlier requests for this shard had ended without an answer", earlier)
	}
	return sentence
}

// Tree returns the spans as indented lines, the slowest shard first.
func Tree(trace Trace) []string {
	lines := []string{fmt.Sprintf("query %s at %s: %s, %d/%d shards, %s",
		trace.ID, trace.Instance, trace.Outcome, trace.Answered, trace.Total, millis(trace.Took))}
	for _, span := range bySlowness(trace.Spans) {
		lines = append(lines, fmt.Sprintf("  %-6s shard %s/%d  leaf %s in %s, owner %s: %s from %s (%s)",
			span.Kind, span.Service, span.Shard, span.Leaf, span.DataCentre, span.Owner,
			millis(span.Total), millis(span.Start), span.Result))
		lines = append(lines, fmt.Sprintf("           queue %s, connect %s, leaf %s, travel %s",
			millis(span.Queue), millis(span.Connect), millis(span.LeafTime), millis(span.Travel())))
	}
	return lines
}

func explainSpan(span Span) string {
	shard := fmt.Sprintf("shard %s/%d", span.Service, span.Shard)
	step, took := longestStep(span)
	switch {
	case span.Result == "cancelled" || strings.HasPrefix(span.Result, "unknown"):
		return fmt.Sprintf("%s had no answer from leaf %s in %s after %s (%s)", shard, span.Leaf, span.DataCentre, millis(span.Total), span.Result)
	case strings.HasPrefix(span.Result, "not-run"):
		return fmt.Sprintf("%s was not run at leaf %s (%s)", shard, span.Leaf, span.Result)
	case step == stepQueue:
		return fmt.Sprintf("%s waited %s in the queue of leaf %s: %s", shard, millis(took), span.Leaf, limitReason(span))
	case step == stepConnect:
		return fmt.Sprintf("%s waited %s for a new connection to leaf %s", shard, millis(took), span.Leaf)
	case step == stepLeaf:
		return fmt.Sprintf("%s ran for %s at leaf %s in %s", shard, millis(took), span.Leaf, span.DataCentre)
	}
	return fmt.Sprintf("%s spent %s between instances on the way to owner %s", shard, millis(took), span.Owner)
}

func limitReason(span Span) string {
	if span.Limit >= span.Slots {
		return fmt.Sprintf("all %d slots were busy", span.Slots)
	}
	return fmt.Sprintf("limit %d of %d slots since %s %s before", span.Limit, span.Slots, closedBy(span.ClosedReason), seconds(span.ClosedFor))
}

func closedBy(reason string) string {
	switch reason {
	case "restarted":
		return "it restarted"
	case "new owner":
		return "its owner changed"
	case "":
		return "it closed"
	}
	return reason
}

func longestStep(span Span) (string, time.Duration) {
	step, took := stepTravel, span.Travel()
	for _, other := range []struct {
		step string
		took time.Duration
	}{{stepQueue, span.Queue}, {stepConnect, span.Connect}, {stepLeaf, span.LeafTime}} {
		if other.took > took {
			step, took = other.step, other.took
		}
	}
	return step, took
}

// lastSpan returns the span that ended last; one that was cancelled for an answer of its shard does not count.
func lastSpan(trace Trace) (Span, bool) {
	answered := map[string]bool{}
	for _, span := range trace.Spans {
		if span.Result == "answered" {
			answered[span.key()] = true
		}
	}
	var last Span
	found := false
	for _, span := range trace.Spans {
		if span.Result != "answered" && answered[span.key()] {
			continue
		}
		if !found || span.End() > last.End() {
			last, found = span, true
		}
	}
	return last, found
}

func earlierAttempts(trace Trace, span Span) int {
	count := 0
	for _, other := range trace.Spans {
		if other.key() == span.key() && other.Start < span.Start && other.Result != "answered" {
			count++
		}
	}
	return count
}

func bySlowness(spans []Span) []Span {
	sorted := append([]Span(nil), spans...)
	sortSpans(sorted)
	return sorted
}

func (s Span) key() string { return fmt.Sprintf("%s/%d", s.Service, s.Shard) }

func millis(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}

func seconds(d time.Duration) string {
	return fmt.Sprintf("%.1f s", d.Seconds())
}

func orElse(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}
