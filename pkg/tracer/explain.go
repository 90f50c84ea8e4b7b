// An explanation names the longest step of the request that ended last:
//
//	shard customs-desk-07/1 waited 38.0 ms in the queue of leaf customs-desk-07-ub-a-1: limit 1 of 2 slots since it restarted 1.2 s before

package tracer

import (
	"fmt"
	"strings"
	"time"
)

const stepQueue, stepConnect, stepLeaf, stepTransit = "queue", "connect", "leaf", "travel"

// Explain returns one sentence that says what delayed the query.
func Explain(trace Trace) string {
	span, ok := latestSpan(trace)
	if !ok {
		return fmt.Sprintf("no request was sent: %s", firstNonEmpty(trace.Reason, trace.Outcome))
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

// Tree formats a trace as lines of text: one for the query, and two indented ones per span, the span that ended last first.
func Tree(trace Trace) []string {
	lines := []string{fmt.Sprintf("query %s at %s: %s, %d/%d shards, %s",
		trace.ID, trace.Instance, trace.Outcome, trace.AnsweredShards, trace.TotalShards, formatMillis(trace.Took))}
	for _, span := range latestFirst(trace.Spans) {
		lines = append(lines, fmt.Sprintf("  %-6s shard %s/%d  leaf %s in %s, owner %s: %s from %s (%s)",
			span.Kind, span.Service, span.Shard, span.Leaf, span.DataCentre, span.Owner,
			formatMillis(span.Duration), formatMillis(span.Start), span.Result))
		lines = append(lines, fmt.Sprintf("           queue %s, connect %s, leaf %s, travel %s",
			formatMillis(span.Queue), formatMillis(span.Connect), formatMillis(span.LeafTime), formatMillis(span.Transit())))
	}
	return lines
}

func explainSpan(span Span) string {
	shard := fmt.Sprintf("shard %s/%d", span.Service, span.Shard)
	step, duration := longestStep(span)
	switch {
	case span.Result == "cancelled" || strings.HasPrefix(span.Result, "unknown"):
		return fmt.Sprintf("%s had no answer from leaf %s in %s after %s (%s)", shard, span.Leaf, span.DataCentre, formatMillis(span.Duration), span.Result)
	case strings.HasPrefix(span.Result, "not-run"):
		return fmt.Sprintf("%s was not run at leaf %s (%s)", shard, span.Leaf, span.Result)
	case step == stepQueue:
		return fmt.Sprintf("%s waited %s in the queue of leaf %s: %s", shard, formatMillis(duration), span.Leaf, explainLimit(span))
	case step == stepConnect:
		return fmt.Sprintf("%s waited %s for a new connection to leaf %s", shard, formatMillis(duration), span.Leaf)
	case step == stepLeaf:
		return fmt.Sprintf("%s ran for %s at leaf %s in %s", shard, formatMillis(duration), span.Leaf, span.DataCentre)
	}
	return fmt.Sprintf("%s spent %s between instances on the way to owner %s", shard, formatMillis(duration), span.Owner)
}

func explainLimit(span Span) string {
	if span.Limit >= span.Slots {
		return fmt.Sprintf("all %d slots were busy", span.Slots)
	}
	return fmt.Sprintf("limit %d of %d slots since %s %s before", span.Limit, span.Slots, limitResetCause(span.LimitResetReason), formatSeconds(span.LimitResetAge))
}

// limitResetCause returns a clause that says why the concurrency limit of the leaf was reset to its minimum.
func limitResetCause(reason string) string {
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
	step, duration := stepTransit, span.Transit()
	for _, candidate := range []struct {
		step string
		took time.Duration
	}{{stepQueue, span.Queue}, {stepConnect, span.Connect}, {stepLeaf, span.LeafTime}} {
		if candidate.took > duration {
			step, duration = candidate.step, candidate.took
		}
	}
	return step, duration
}

// latestSpan returns the span that ended last. If a shard was answered, its other spans are ignored, for example a request
// that was cancelled after its hedge was answered.
func latestSpan(trace Trace) (Span, bool) {
	answeredShards := map[string]bool{}
	for _, span := range trace.Spans {
		if span.Result == "answered" {
			answeredShards[span.shardName()] = true
		}
	}
	var latest Span
	found := false
	for _, span := range trace.Spans {
		if span.Result != "answered" && answeredShards[span.shardName()] {
			continue
		}
		if !found || span.End() > latest.End() {
			latest, found = span, true
		}
	}
	return latest, found
}

// earlierAttempts returns the number of requests for the shard of the span that started earlier and were not answered.
func earlierAttempts(trace Trace, span Span) int {
	count := 0
	for _, other := range trace.Spans {
		if other.shardName() == span.shardName() && other.Start < span.Start && other.Result != "answered" {
			count++
		}
	}
	return count
}

func latestFirst(spans []Span) []Span {
	sorted := append([]Span(nil), spans...)
	sortLatestFirst(sorted)
	return sorted
}

func (s Span) shardName() string { return fmt.Sprintf("%s/%d", s.Service, s.Shard) }

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}

func formatSeconds(d time.Duration) string {
	return fmt.Sprintf("%.1f s", d.Seconds())
}

func firstNonEmpty(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}
