package tracer

import "time"

type (
	// Span is one request to a leaf in the course of a query.
	Span struct {
		Kind         string        `json:"kind"`
		Service      string        `json:"service"`
		Shard        int           `json:"shard"`
		Leaf         string        `json:"leaf"`
		DataCentre   string        `json:"data-centre"`
		Owner        string        `json:"owner"`
		Start        time.Duration `json:"start"`
		Total        time.Duration `json:"total"`
		Queue        time.Duration `json:"queue"`
		Connect      time.Duration `json:"connect"`
		LeafTime     time.Duration `json:"leaf-time"`
		Limit        int           `json:"limit"`
		Slots        int           `json:"slots"`
		ClosedFor    time.Duration `json:"closed-for"`
		ClosedReason string        `json:"closed-reason"`
		Result       string        `json:"result"`
	}

	// Trace is the course of one query.
	Trace struct {
		ID       string        `json:"id"`
		Instance string        `json:"instance"`
		Caller   string        `json:"caller"`
		Services []string      `json:"services"`
		Index    string        `json:"index"`
		Version  uint64        `json:"version"`
		Started  time.Time     `json:"started"`
		Took     time.Duration `json:"took"`
		Outcome  string        `json:"outcome"`
		Reason   string        `json:"reason,omitempty"`
		Answered int           `json:"answered"`
		Total    int           `json:"total"`
		Restarts int           `json:"restarts"`
		Spans    []Span        `json:"spans"`
	}
)

// End returns when the span ended, from the start of the query.
func (s Span) End() time.Duration { return s.Start + s.Total }

// Travel returns the time between the instances and in hand-over, beside queue, connection and leaf.
func (s Span) Travel() time.Duration {
	return max(0, s.Total-s.Queue-s.Connect-s.LeafTime)
}
