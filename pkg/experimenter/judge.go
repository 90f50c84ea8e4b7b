package experimenter

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"

	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/emulator"
)

const (
	// ViolationCrossed counts answers with parts of another query.
	ViolationCrossed = "crossed-answer"
	// ViolationSnapshot counts answers with parts of another version.
	ViolationSnapshot = "snapshot"
	// ViolationCoverage counts answers whose coverage is not true.
	ViolationCoverage = "coverage"
	// ViolationNotRun counts answers that say "not run" of a query that a leaf started.
	ViolationNotRun = "false-not-run"
)

type (
	// Observed is one answer as a caller saw it.
	Observed struct {
		ID       string
		Services []string
		Outcome  coordinator.Outcome
		Reason   string
		Version  uint64
		Answered int
		Total    int
		Missing  int
		Parts    []ObservedPart
		Effect   string
	}

	// ObservedPart is what one shard answered.
	ObservedPart struct {
		Service string
		Shard   int
		Hits    json.RawMessage
	}

	// Judge checks every answer against what the leafs did.
	Judge struct {
		fleet      *emulator.Fleet
		mu         sync.Mutex
		violations map[string]int
		examples   map[string]string
		refused    []string
	}
)

// NewJudge returns a judge that asks the fleet for the shard count of each service and version.
func NewJudge(fleet *emulator.Fleet) *Judge {
	return &Judge{fleet: fleet, violations: map[string]int{}, examples: map[string]string{}}
}

// Check judges one answer.
func (j *Judge) Check(o Observed) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if o.Outcome == coordinator.OutcomeRefused {
		j.refused = append(j.refused, o.ID)
		return
	}
	if o.Outcome != coordinator.OutcomeComplete && o.Outcome != coordinator.OutcomePartial {
		return
	}
	j.checkCoverage(o)
	seen := map[string]bool{}
	for _, part := range o.Parts {
		j.checkPart(o, part, seen)
	}
}

// Finish compares the refusals with what the leafs started and returns all violations, those of the fleet included.
func (j *Judge) Finish() (map[string]int, map[string]string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, id := range j.refused {
		if j.fleet.StartedQuery(id) {
			j.add(ViolationNotRun, id)
		}
	}
	for kind, count := range j.fleet.Breaches() {
		j.violations[string(kind)] += count
	}
	for kind, example := range j.fleet.Examples() {
		j.examples[string(kind)] = example
	}
	return j.violations, j.examples
}

func (j *Judge) checkCoverage(o Observed) {
	total := 0
	for _, service := range o.Services {
		total += j.fleet.ShardsOf(service, o.Version)
	}
	whole := o.Answered == o.Total
	switch {
	case o.Total != total, o.Answered != len(o.Parts), o.Answered+o.Missing != o.Total:
		j.add(ViolationCoverage, fmt.Sprintf("%s: %d/%d of %d", o.ID, o.Answered, o.Total, total))
	case whole != (o.Outcome == coordinator.OutcomeComplete):
		j.add(ViolationCoverage, o.ID)
	}
}

func (j *Judge) checkPart(o Observed, part ObservedPart, seen map[string]bool) {
	var hits []string
	if err := json.Unmarshal(part.Hits, &hits); err != nil || len(hits) != 1 {
		j.add(ViolationCoverage, o.ID+": unreadable part")
		return
	}
	name, query, _ := strings.Cut(hits[0], ":")
	shard, version, _ := strings.Cut(name, "@")
	expected := fmt.Sprintf("%s/%d", part.Service, part.Shard)
	switch {
	case query != o.ID || shard != expected:
		j.add(ViolationCrossed, fmt.Sprintf("%s has %s", o.ID, hits[0]))
	case version != fmt.Sprint(o.Version):
		j.add(ViolationSnapshot, fmt.Sprintf("%s at %d has %s", o.ID, o.Version, hits[0]))
	case seen[shard]:
		j.add(ViolationCoverage, o.ID+": part given twice")
	}
	seen[shard] = true
}

func (j *Judge) add(kind, example string) {
	j.violations[kind]++
	j.examples[kind] = example
}
