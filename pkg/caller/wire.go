// The API for queries is HTTP with JSON bodies:
//
//	POST /query   {"caller":"desk-1","services":["customs-desk-01"],"text":"fig","deadline-ms":52,"idempotent":true}
//	POST /ticket  -> {"ticket":"entry-1.5f3a.12.61000"}
//	GET  /ready   200 while the instance accepts queries, 503 otherwise
//	GET  /health  200 while the process is running

package caller

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/dispatcher"
)

const (
	maxServices    = 4096
	maxTextBytes   = 64 << 10
	maxCallerBytes = 200
	maxBodyBytes   = 1 << 20
)

type (
	// Query is the request body of POST /query.
	Query struct {
		Caller      string   `json:"caller"`
		Services    []string `json:"services"`
		Text        string   `json:"text"`
		DeadlineMs  *float64 `json:"deadline-ms,omitempty"`
		MinCoverage *float64 `json:"min-coverage,omitempty"`
		Idempotent  bool     `json:"idempotent"`
		Ticket      string   `json:"ticket,omitempty"`
	}

	// MissingShard is a shard whose result is missing from an answer.
	MissingShard struct {
		Service string `json:"service"`
		Shard   int    `json:"shard"`
		Reason  string `json:"reason"`
	}

	// Coverage reports how many of the shards of one index version answered.
	Coverage struct {
		Answered int            `json:"answered"`
		Total    int            `json:"total"`
		Missing  []MissingShard `json:"missing,omitempty"`
	}

	// ShardResult is the result of one shard.
	ShardResult struct {
		Service string          `json:"service"`
		Shard   int             `json:"shard"`
		Hits    json.RawMessage `json:"hits"`
	}

	// Answer is the response body of POST /query.
	Answer struct {
		ID           string        `json:"id"`
		Outcome      string        `json:"outcome"`
		Reason       string        `json:"reason,omitempty"`
		Index        string        `json:"index,omitempty"`
		Version      uint64        `json:"version,omitempty"`
		Coverage     Coverage      `json:"coverage"`
		Parts        []ShardResult `json:"parts,omitempty"`
		TookMs       float64       `json:"took-ms"`
		RetryAfterMs int64         `json:"retry-after-ms,omitempty"`
	}
)

// Decode decodes and validates the body of a query and returns an error that names the value to correct.
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
	case len(query.Text) > maxTextBytes:
		return query, errors.Errorf("decode query: text has %d bytes, at most %d are allowed", len(query.Text), maxTextBytes)
	case len(query.Caller) > maxCallerBytes:
		return query, errors.Errorf("decode query: caller has %d bytes, at most %d are allowed", len(query.Caller), maxCallerBytes)
	case query.DeadlineMs != nil && !(*query.DeadlineMs > 0):
		return query, errors.Errorf("decode query: deadline-ms is %g and has already passed", *query.DeadlineMs)
	case query.MinCoverage != nil && !(*query.MinCoverage >= 0 && *query.MinCoverage <= 1):
		return query, errors.Errorf("decode query: min-coverage is %g, expected 0 to 1", *query.MinCoverage)
	}
	return query, nil
}

func (q Query) toRequest() dispatcher.Request {
	request := dispatcher.Request{
		Caller: q.Caller, Weight: 1, Services: dispatcher.SortServices(q.Services), Text: q.Text,
		MinCoverage: q.MinCoverage, Idempotent: q.Idempotent,
	}
	if q.DeadlineMs != nil {
		request.Deadline = time.Duration(*q.DeadlineMs * float64(time.Millisecond))
	}
	return request
}

func newAnswer(result dispatcher.Result) Answer {
	answer := Answer{
		ID: result.ID, Outcome: string(result.Answer.Outcome), Reason: result.Answer.Reason,
		Index: result.Answer.Version.Index, Version: result.Answer.Version.Number,
		Coverage:     Coverage{Answered: result.Answer.Answered, Total: result.Answer.Total},
		TookMs:       float64(result.Took) / float64(time.Millisecond),
		RetryAfterMs: result.RetryAfter.Milliseconds(),
	}
	for _, missing := range result.Answer.Missing {
		answer.Coverage.Missing = append(answer.Coverage.Missing, MissingShard{
			Service: missing.Shard.Service, Shard: missing.Shard.Number, Reason: missing.Reason,
		})
	}
	if !includesParts(result.Answer.Outcome) {
		return answer
	}
	for _, part := range result.Answer.Parts {
		answer.Parts = append(answer.Parts, ShardResult{Service: part.Shard.Service, Shard: part.Shard.Number, Hits: part.Body})
	}
	return answer
}

// includesParts reports whether an answer with this outcome includes the results of shards. An answer that failed or was
// refused includes none.
func includesParts(outcome coordinator.Outcome) bool {
	return outcome == coordinator.OutcomeComplete || outcome == coordinator.OutcomePartial
}
