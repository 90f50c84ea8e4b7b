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
	// ViolationOtherQuery counts parts that belong to another query or shard.
	ViolationOtherQuery = "crossed-answer"
	// ViolationOtherVersion counts parts from a different index version than their answer.
	ViolationOtherVersion = "snapshot"
	// ViolationCoverage counts answers whose reported coverage or outcome does not match their parts or the shard count of
	// their services, and parts that are unreadable or repeated.
	ViolationCoverage = "coverage"
	// ViolationFalseNotRun counts queries that were refused as not run although a leaf started them.
	ViolationFalseNotRun = "false-not-run"
)

type (
	// ObservedAnswer is the answer to one query as a caller received it.
	ObservedAnswer struct {
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

	// ObservedPart is the part of an answer that comes from one shard.
	ObservedPart struct {
		Service string
		Shard   int
		Hits    json.RawMessage
	}

	// Checker checks answers against the requests that the emulated leafs ran and counts violations.
	Checker struct {
		fleet      *emulator.Fleet
		mu         sync.Mutex
		violations map[string]int
		examples   map[string]string
		refusedIDs []string
	}
)

// NewChecker returns a checker that compares answers with the records of the fleet.
func NewChecker(fleet *emulator.Fleet) *Checker {
	return &Checker{fleet: fleet, violations: map[string]int{}, examples: map[string]string{}}
}

// Check checks one answer; refusals are checked later by Finish.
func (c *Checker) Check(answer ObservedAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer.Outcome == coordinator.OutcomeRefused {
		c.refusedIDs = append(c.refusedIDs, answer.ID)
		return
	}
	if answer.Outcome != coordinator.OutcomeComplete && answer.Outcome != coordinator.OutcomePartial {
		return
	}
	c.checkCoverage(answer)
	seenShards := map[string]bool{}
	for _, part := range answer.Parts {
		c.checkPart(answer, part, seenShards)
	}
}

// Finish checks the refusals against the queries that the leafs started, and returns the count and the latest example of
// each kind of violation, including those that the fleet counted.
func (c *Checker) Finish() (map[string]int, map[string]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.refusedIDs {
		if c.fleet.HasStartedQuery(id) {
			c.addViolation(ViolationFalseNotRun, id)
		}
	}
	for kind, count := range c.fleet.Violations() {
		c.violations[string(kind)] += count
	}
	for kind, example := range c.fleet.Examples() {
		c.examples[string(kind)] = example
	}
	return c.violations, c.examples
}

func (c *Checker) checkCoverage(answer ObservedAnswer) {
	total := 0
	for _, service := range answer.Services {
		total += c.fleet.ShardCount(service, answer.Version)
	}
	isComplete := answer.Answered == answer.Total
	switch {
	case answer.Total != total, answer.Answered != len(answer.Parts), answer.Answered+answer.Missing != answer.Total:
		c.addViolation(ViolationCoverage, fmt.Sprintf("%s: %d/%d of %d", answer.ID, answer.Answered, answer.Total, total))
	case isComplete != (answer.Outcome == coordinator.OutcomeComplete):
		c.addViolation(ViolationCoverage, answer.ID)
	}
}

func (c *Checker) checkPart(answer ObservedAnswer, part ObservedPart, seenShards map[string]bool) {
	var hits []string
	if err := json.Unmarshal(part.Hits, &hits); err != nil || len(hits) != 1 {
		c.addViolation(ViolationCoverage, answer.ID+": unreadable part")
		return
	}
	origin, query, _ := strings.Cut(hits[0], ":")
	shard, version, _ := strings.Cut(origin, "@")
	expected := fmt.Sprintf("%s/%d", part.Service, part.Shard)
	switch {
	case query != answer.ID || shard != expected:
		c.addViolation(ViolationOtherQuery, fmt.Sprintf("%s has %s", answer.ID, hits[0]))
	case version != fmt.Sprint(answer.Version):
		c.addViolation(ViolationOtherVersion, fmt.Sprintf("%s at %d has %s", answer.ID, answer.Version, hits[0]))
	case seenShards[shard]:
		c.addViolation(ViolationCoverage, answer.ID+": part given twice")
	}
	seenShards[shard] = true
}

func (c *Checker) addViolation(kind, example string) {
	c.violations[kind]++
	c.examples[kind] = example
}
