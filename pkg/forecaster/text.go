package forecaster

import (
	"fmt"
	"strings"
	"time"
)

// Columns are the names of the cells of a candidate.
var Columns = []string{"service", "leaf", "data-centre", "version", "choice", "cost", "expected", "wait", "running", "others", "answered", "observed", "why"}

// Lines returns the explanation as text, without the candidates of the targets.
func (e Explanation) Lines() []string {
	route := e.Route
	repeats := "must not run twice"
	if route.IsIdempotent {
		repeats = "may run twice"
	}
	lines := []string{
		fmt.Sprintf("as seen by entry instance %s in data centre %s; nothing was sent", e.Instance, e.DataCentre),
		fmt.Sprintf("route %s: %s%s, objective %s, time limit %s, at most %d attempts, %s", route.Name, route.Host, route.Prefix, duration(route.ObjectiveMs),
			duration(route.TimeoutMs), route.MaxAttempts, repeats),
	}
	lines = append(lines, e.Tenant.lines(e.Instance)...)
	for _, fact := range e.Facts {
		lines = append(lines, fact.line())
	}
	for _, note := range e.Notes {
		lines = append(lines, "note: "+note)
	}
	if e.Refusal != "" {
		lines = append(lines, fmt.Sprintf("refused with status %d: %s", e.Status, e.Refusal))
	}
	if e.Query != nil {
		lines = append(lines, e.Query.lines(e.Instance)...)
	}
	return lines
}

func (f Fact) line() string {
	line := f.Name + ": " + f.Value
	if f.AgeMs >= 0 {
		line += " " + age(f.AgeMs)
	}
	return line
}

func (t Tenant) lines(self string) []string {
	switch {
	case t.Name == "":
		return []string{"tenant: none"}
	case t.PerSecond <= 0:
		return []string{fmt.Sprintf("tenant %s: no limit", t.Name)}
	}
	lines := []string{fmt.Sprintf("tenant %s: %g requests a second, burst %g; decided by %s", t.Name, t.PerSecond, t.Burst, describeInstances(t.Deciders, self))}
	switch {
	case t.IsLevelKnown:
		line := fmt.Sprintf("allowance: %.1f of at most %.1f tokens are left here", t.Level, t.Capacity)
		if t.Level < 1 && t.Held == 0 {
			line += "; a request now would be refused with status 429"
		}
		lines = append(lines, line)
	case t.Held > 0:
		lines = append(lines, fmt.Sprintf("allowance: %d tokens are held here in advance", t.Held))
	case len(t.Deciders) > 0 && t.Deciders[0].Name == self:
		lines = append(lines, "allowance: the tenant has asked for no token lately")
	case len(t.Deciders) > 0:
		lines = append(lines, fmt.Sprintf("allowance: what is left is known only to %s (--entry %s)", t.Deciders[0].Name, t.Deciders[0].Name))
	}
	return lines
}

func (q Query) lines(self string) []string {
	lines := []string{fmt.Sprintf("query over %d shards, of which an answer needs %d: %s", q.Shards, q.MinParts, q.Why)}
	if q.Chance < 1 {
		lines = append(lines, fmt.Sprintf("the leafs have room for %.0f%% of the queries; this one is admitted with a chance of %.0f%%, less if its tenant has used much of its allowance", 100*q.Room, 100*q.Chance))
	}
	for _, gatherer := range q.Gatherers {
		lines = append(lines, fmt.Sprintf("%d shards are gathered by %s in %s", gatherer.Shards, gatherer.Name, gatherer.DataCentre))
	}
	if q.OwnShards > 0 {
		lines = append(lines, fmt.Sprintf("%d shards are asked by %s itself", q.OwnShards, self))
	}
	for _, count := range q.OwnLeafs {
		lines = append(lines, fmt.Sprintf("  %d of them have their best leaf in %s", count.Shards, count.DataCentre))
	}
	if q.UnusableCount == 0 {
		return append(lines, fmt.Sprintf("%s sees a leaf that takes a request for each shard", self))
	}
	lines = append(lines, fmt.Sprintf("%d shards have no leaf that takes a request, as %s sees them:", q.UnusableCount, self))
	for _, shard := range q.Unusable {
		lines = append(lines, fmt.Sprintf("  %s: %s", shard.Service, shard.Reason))
	}
	if more := q.UnusableCount - len(q.Unusable); more > 0 {
		lines = append(lines, fmt.Sprintf("  and %d more", more))
	}
	if left := q.Shards - q.UnusableCount; left < q.MinParts {
		lines = append(lines, fmt.Sprintf("too few shards are left: %d of the %d that an answer needs", left, q.MinParts))
	}
	return lines
}

// Lines returns how the leaf of the target is chosen as text, for the instance that explains.
func (t Target) Lines(self string) []string {
	heading := "service " + t.Service
	if t.Share < 1 {
		heading += fmt.Sprintf(", %.4g%% of the requests", 100*t.Share)
	}
	if t.Side != "" {
		heading += ", " + t.Side
	}
	lines := []string{fmt.Sprintf("%s: decided by %s: %s", heading, t.Decider, t.Why)}
	if len(t.Asked) > 0 {
		lines = append(lines, "  in the order of preference: "+describeInstances(t.Asked, self))
	}
	if t.Decider != self {
		lines = append(lines, fmt.Sprintf("  what %s knows of requests of other instances is known only there (--entry %s); below is what %s sees", t.Decider, t.Decider, self))
	}
	if t.SightAgeMs != UnknownAge {
		lines = append(lines, fmt.Sprintf("  another instance last asked %s for a leaf %s", self, age(t.SightAgeMs)))
	}
	switch {
	case t.CostMs > 0 && t.CostAgeMs != UnknownAge:
		lines = append(lines, fmt.Sprintf("  expected work %s, learned from %.1f requests, the last %s; usual time of an answer %s", duration(t.CostMs), t.CostRequests, age(t.CostAgeMs), duration(t.UsualMs)))
	case t.CostMs > 0:
		lines = append(lines, fmt.Sprintf("  expected work %s, assumed: no such request was answered yet", duration(t.CostMs)))
	default:
		lines = append(lines, fmt.Sprintf("  usual time of an answer %s", duration(t.UsualMs)))
	}
	if t.IsOverLimit {
		lines = append(lines, "  all leafs are at their concurrency limits, which are therefore ignored")
	}
	if !t.hasChoice() {
		lines = append(lines, "  no leaf takes a request")
	}
	return lines
}

func (t Target) hasChoice() bool { return len(t.Candidates) > 0 && t.Candidates[0].MayBeChosen }

// Cells returns the cells of a candidate, in the order of Columns.
func (t Target) Cells(c Candidate) []string {
	return []string{
		t.Service, c.Leaf, c.DataCentre, c.Version, t.choice(c), fmt.Sprintf("%.2f", c.Cost), duration(c.ExpectedMs), duration(c.WaitMs), fmt.Sprint(c.Running),
		fmt.Sprint(c.Others), age(c.AnswerAgeMs), age(c.ObservedAgeMs), t.reason(c),
	}
}

// choice says whether the leaf gets the request.
func (t Target) choice(c Candidate) string {
	switch {
	case c.Excluded != "":
		return "left out"
	case !c.MayBeChosen:
		return "not now"
	case len(t.Candidates) > 1 && t.Candidates[1].MayBeChosen:
		return "one of equals"
	}
	return "chosen"
}

// reason says why the leaf is left out, or what makes it dear.
func (t Target) reason(c Candidate) string {
	var reasons []string
	if c.Excluded != "" {
		reasons = append(reasons, c.Excluded)
	}
	if c.UnavailableMs > 0 {
		reasons = append(reasons, "for "+duration(c.UnavailableMs))
	}
	if c.RatePerSecond > 0 {
		reasons = append(reasons, fmt.Sprintf("rate limit %g/s stated %s", c.RatePerSecond, age(c.RateAgeMs)))
	}
	for _, penalty := range c.Penalties {
		reasons = append(reasons, penalty.text())
	}
	if !c.IsFitForAdvice && c.Excluded == "" {
		reasons = append(reasons, "not taken on advice")
	}
	return strings.Join(reasons, ", ")
}

func (p Penalty) text() string {
	text := fmt.Sprintf("%s +%.2f", p.Reason, p.Cost)
	if p.LeftMs > 0 {
		text += " for " + duration(p.LeftMs)
	}
	if p.AgeMs >= 0 {
		text += " seen " + age(p.AgeMs)
	}
	return text
}

func describeInstances(instances []Instance, self string) string {
	names := make([]string, 0, len(instances))
	for _, instance := range instances {
		name := instance.Name
		switch {
		case name == self:
			name += " (this instance)"
		case !instance.IsAvailable:
			name += " (cannot be asked now)"
		}
		names = append(names, name)
	}
	return strings.Join(names, ", then ")
}

func duration(milliseconds float64) string {
	return time.Duration(milliseconds * float64(time.Millisecond)).Round(100 * time.Microsecond).String()
}

func age(milliseconds float64) string {
	if milliseconds < 0 {
		return "never"
	}
	return duration(milliseconds) + " ago"
}
