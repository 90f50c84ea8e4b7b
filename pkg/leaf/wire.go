// The protocol between instances and leafs is HTTP with JSON bodies:
//
//	POST /search  {"id":"9f-1","service":"customs-desk-01","shard":0,"index":"agency","version":41,"remaining-us":48000,"text":"fig"}
//	200           {"id":"9f-1","shard":0,"index":"agency","version":41,"hits":["a"],"start":"7","holdings":[...]}
//	                              with "rate-limit":12.5 while the leaf takes only so many requests a second
//	409 or 503    {"id":"9f-1","reason":"version-gone","started":false}
//	POST /cancel  {"id":"9f-1"}
//	GET /holdings {"start":"7","holdings":[{"index":"agency","version":41,"shard":0,"shards":2}]}

package leaf

import (
	"encoding/json"

	"github.com/pkg/errors"
)

const (
	// PathSearch is the path of search requests for one shard.
	PathSearch = "/search"
	// PathCancel is the path of cancellations.
	PathCancel = "/cancel"
	// PathHoldings is the path that lists the index versions and shards of a leaf.
	PathHoldings = "/holdings"
	// HeaderDataCentre is the header with the data centre of the sending instance.
	HeaderDataCentre = "X-From-Data-Centre"
	// ReasonVersionGone means that the leaf does not hold the requested index version.
	ReasonVersionGone = "version-gone"
	// ReasonShed means that the leaf is overloaded and sheds load.
	ReasonShed = "shed"
	// ReasonLeaving means that the leaf is shutting down.
	ReasonLeaving = "leaving"
)

type (
	// Request is a search request for one shard of one index version.
	Request struct {
		ID              string `json:"id"`
		QueryID         string `json:"query-id"`
		Service         string `json:"service"`
		Shard           int    `json:"shard"`
		Index           string `json:"index"`
		Version         uint64 `json:"version"`
		RemainingUs     int64  `json:"remaining-us"`
		IsNonIdempotent bool   `json:"effect,omitempty"`
		Text            string `json:"text"`
	}

	// Holding is one shard of one index version that a leaf holds.
	Holding struct {
		Index   string `json:"index"`
		Version uint64 `json:"version"`
		Shard   int    `json:"shard"`
		Shards  int    `json:"shards"`
	}

	// Response is the search result of a leaf, or the reason why there is none.
	Response struct {
		ID       string          `json:"id"`
		Shard    int             `json:"shard"`
		Index    string          `json:"index"`
		Version  uint64          `json:"version"`
		Hits     json.RawMessage `json:"hits,omitempty"`
		RunID    string          `json:"start"`
		Holdings []Holding       `json:"holdings,omitempty"`
		Reason   string          `json:"reason,omitempty"`
		// Started states whether the leaf started to execute the request. It is nil if the response does not say.
		Started *bool `json:"started,omitempty"`
		// RateLimit is the number of requests a second that the leaf takes while it is overloaded, or empty. It is decoded by
		// StatedRate, so that an invalid one does not make the response unusable.
		RateLimit json.RawMessage `json:"rate-limit,omitempty"`
	}
)

// StatedRate returns the rate limit that the leaf states, in requests a second. It returns false if there is none, and an error
// if it is invalid.
func (r Response) StatedRate() (perSecond float64, isStated bool, err error) {
	if len(r.RateLimit) == 0 {
		return 0, false, nil
	}
	if err := json.Unmarshal(r.RateLimit, &perSecond); err != nil {
		return 0, false, errors.Wrap(err, "decode the rate limit")
	}
	if perSecond < 0 {
		return 0, false, errors.Errorf("decode the rate limit: got %g requests a second", perSecond)
	}
	return perSecond, true, nil
}
