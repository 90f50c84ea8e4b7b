// The wire form towards a leaf is HTTP with JSON bodies:
//
//	POST /search  {"id":"9f-1","service":"customs-desk-01","shard":0,"index":"agency","version":41,"remaining-us":48000,"query":"fig"}
//	200           {"id":"9f-1","shard":0,"index":"agency","version":41,"hits":["a"],"start":"7","holdings":[...]}
//	409 or 503    {"id":"9f-1","reason":"version-gone","started":false}
//	POST /cancel  {"id":"9f-1"}
//	GET /holdings {"start":"7","holdings":[{"index":"agency","version":41,"shard":0,"shards":2}]}

package leaf

import "encoding/json"

const (
	// PathSearch is the path of a request for one shard.
	PathSearch = "/search"
	// PathCancel is the path of a cancellation.
	PathCancel = "/cancel"
	// PathHoldings is the path of the versions that a leaf holds.
	PathHoldings = "/holdings"
	// HeaderFrom names the data centre of the asking instance.
	HeaderFrom = "X-From-Data-Centre"
	// ReasonVersionGone is the reason of a leaf that does not hold the version.
	ReasonVersionGone = "version-gone"
	// ReasonShed is the reason of a leaf that sheds load.
	ReasonShed = "shed"
	// ReasonLeaving is the reason of a leaf that is shutting down.
	ReasonLeaving = "leaving"
)

type (
	// Request asks for one shard of one version.
	Request struct {
		ID          string `json:"id"`
		Query       string `json:"query-id"`
		Service     string `json:"service"`
		Shard       int    `json:"shard"`
		Index       string `json:"index"`
		Version     uint64 `json:"version"`
		RemainingUs int64  `json:"remaining-us"`
		Effect      bool   `json:"effect,omitempty"`
		Text        string `json:"text"`
	}

	// Holding is one shard of one version.
	Holding struct {
		Index   string `json:"index"`
		Version uint64 `json:"version"`
		Shard   int    `json:"shard"`
		Shards  int    `json:"shards"`
	}

	// Response is the answer of a leaf or its refusal.
	Response struct {
		ID       string          `json:"id"`
		Shard    int             `json:"shard"`
		Index    string          `json:"index"`
		Version  uint64          `json:"version"`
		Hits     json.RawMessage `json:"hits,omitempty"`
		Start    string          `json:"start"`
		Holdings []Holding       `json:"holdings,omitempty"`
		Reason   string          `json:"reason,omitempty"`
		Started  bool            `json:"started,omitempty"`
	}
)
