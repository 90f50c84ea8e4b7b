package tracer

import "time"

type (
	// Span is one request of a query to a leaf.
	Span struct {
		Kind       string `json:"kind"`
		Service    string `json:"service"`
		Shard      int    `json:"shard"`
		Leaf       string `json:"leaf"`
		DataCentre string `json:"data-centre"`
		// Owner is the instance that owns the leaf and sends requests to it.
		Owner string `json:"owner"`
		// Start is the time from the start of the query until the request was sent to the owner.
		Start    time.Duration `json:"start"`
		Duration time.Duration `json:"total"`
		// Queue is the time that the request waited in the queue of the leaf at the owner.
		Queue time.Duration `json:"queue"`
		// Connect is the time to open a connection to the leaf.
		Connect time.Duration `json:"connect"`
		// LeafTime is the time from the request to the response of the leaf.
		LeafTime time.Duration `json:"leaf-time"`
		// Limit is the concurrency limit of the leaf, which is at most Slots.
		Limit int `json:"limit"`
		Slots int `json:"slots"`
		// LimitResetAge is the time since the limit was reset to its minimum.
		LimitResetAge time.Duration `json:"closed-for"`
		// LimitResetReason is why the limit was reset.
		LimitResetReason string `json:"closed-reason"`
		Result           string `json:"result"`
	}

	// Trace records one query and all its requests to leafs.
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
		// AnsweredShards is the number of shards that answered, out of TotalShards.
		AnsweredShards int `json:"answered"`
		TotalShards    int `json:"total"`
		// Restarts is how often the query was restarted with a newer index version because its version was no longer available.
		Restarts int    `json:"restarts"`
		Spans    []Span `json:"spans"`
	}
)

// End returns the time from the start of the query until the span ended.
func (s Span) End() time.Duration { return s.Start + s.Duration }

// Transit returns the time that the request and its reply spent between instances and in hand-over, which is the part of
// the span outside queue, connection and leaf.
func (s Span) Transit() time.Duration {
	return max(0, s.Duration-s.Queue-s.Connect-s.LeafTime)
}
