// The wire form towards callers is HTTP with JSON bodies:
//
//	POST /query   {"caller":"desk-1","services":["customs-desk-01"],"text":"fig","deadline-ms":52,"idempotent":true}
//	POST /ticket  -> {"ticket":"entry-1.5f3a.12.61000"}
//	GET  /ready   200 while the instance takes queries, 503 otherwise
//	GET  /health  200 while the process runs

package caller

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/dispatcher"
)

const (
	maxServices = 4096
	maxText     = 64 << 10
	maxCaller   = 200
	maxBody     = 1 << 20
)

type (
	// Query is the body of a query.
	Query struct {
		Caller      string   `json:"caller"`
		Services    []string `json:"services"`
		Text        string   `json:"text"`
		DeadlineMs  *float64 `json:"deadline-ms,omitempty"`
		MinCoverage *float64 `json:"min-coverage,omitempty"`
		Idempotent  bool     `json:"idempotent"`
		Ticket      string   `json:"ticket,omitempty"`
	}

	// Missing is a shard without an answer.
	Missing struct {
		Service string `json:"service"`
		Shard   int    `json:"shard"`
		Reason  string `json:"reason"`
	}

	// Coverage is the answered share of the shards of one version.
	Coverage struct {
		Answered int       `json:"answered"`
		Total    int       `json:"total"`
		Missing  []Missing `json:"missing,omitempty"`
	}

	// Part is what one shard answered.
	Part struct {
		Service string          `json:"service"`
		Shard   int             `json:"shard"`
		Hits    json.RawMessage `json:"hits"`
	}

	// Answer is the body of an answer.
	Answer struct {
		ID           string   `json:"id"`
		Outcome      string   `json:"outcome"`
		Reason       string   `json:"reason,omitempty"`
		Index        string   `json:"index,omitempty"`
		Version      uint64   `json:"version,omitempty"`
		Coverage     Coverage `json:"coverage"`
		Parts        []Part   `json:"parts,omitempty"`
		TookMs       float64  `json:"took-ms"`
		RetryAfterMs int64    `json:"retry-after-ms,omitempty"`
	}
)

// Decode checks the body of a query; an error says what to correct.
func Decode(body []byte) (Query, error) {
	var query Query
	if err := json.Unmarshal(body, &query); err != nil {
		return query, errors.Wrap(err, "decode query")
	}
	switch {
	case len(query.Services) == 0:
		return query, errors.New("decode query: services names no service")
	case len(query.Services) > maxServices:
		return query, errors.Errorf("decode query: %d services, at most %d are allowed", len(query.Services), maxServices)
	case len(query.Text) > maxText:
		return query, errors.Errorf("decode query: text has %d bytes, at most %d are allowed", len(query.Text), maxText)
	case len(query.Caller) > maxCaller:
		return query, errors.Errorf("decode query: caller has %d bytes, at most %d are allowed", len(query.Caller), maxCaller)
	case query.DeadlineMs != nil && !(*query.DeadlineMs > 0):
		return query, errors.Errorf("decode query: deadline-ms is %g and has already passed", *query.DeadlineMs)
	case query.MinCoverage != nil && !(*query.MinCoverage >= 0 && *query.MinCoverage <= 1):
		return query, errors.Errorf("decode query: min-coverage is %g, expected 0 to 1", *query.MinCoverage)
	}
	return query, nil
}

func (q Query) request() dispatcher.Request {
	request := dispatcher.Request{
		Caller: q.Caller, Weight: 1, Services: dispatcher.SortServices(q.Services), Text: q.Text,
		MinCoverage: q.MinCoverage, Idempotent: q.Idempotent,
	}
	if q.DeadlineMs != nil {
		request.Deadline = time.Duration(*q.DeadlineMs * float64(time.Millisecond))
	}
	return request
}

func toAnswer(result dispatcher.Result) Answer {
	answer := Answer{
		ID: result.ID, Outcome: string(result.Answer.Outcome), Reason: result.Answer.Reason,
		Index: result.Answer.Version.Index, Version: result.Answer.Version.Number,
		Coverage:     Coverage{Answered: result.Answer.Answered, Total: result.Answer.Total},
		TookMs:       float64(result.Took) / float64(time.Millisecond),
		RetryAfterMs: result.RetryAfter.Milliseconds(),
	}
	for _, missing := range result.Answer.Missing {
		answer.Coverage.Missing = append(answer.Coverage.Missing, Missing{
			Service: missing.Shard.Service, Shard: missing.Shard.Number, Reason: missing.Reason,
		})
	}
	if !hasParts(result.Answer.Outcome) {
		return answer
	}
	for _, part := range result.Answer.Parts {
		answer.Parts = append(answer.Parts, Part{Service: part.Shard.Service, Shard: part.Shard.Number, Hits: part.Body})
	}
	return answer
}

// hasParts tells whether an answer of this outcome gives results; a failed one gives none.
func hasParts(outcome coordinator.Outcome) bool {
	return outcome == coordinator.OutcomeComplete || outcome == coordinator.OutcomePartial
}
