// A question goes from the operator to a control instance as JSON, and from
// there to an entry instance over net/rpc:
//
//	{"host":"h.example","path":"/p/x","body-bytes":2000}
//
// The key of a tenant never leaves the operator's machine: its digest does,
// which every entry instance holds anyway. Times are in milliseconds. An age
// below 0 means that nothing is known.

package forecaster

import (
	"math"
	"strings"
	"time"
	"unicode"
)

const (
	// ProblemNone means that there is an explanation.
	ProblemNone Problem = ""
	// ProblemInvalid means that the question cannot be answered by any instance.
	ProblemInvalid Problem = "invalid"
	// ProblemNoRoute means that no route matches the host and path.
	ProblemNoRoute Problem = "no-route"
	// ProblemNoShard means that the route has no such shard.
	ProblemNoShard Problem = "no-shard"
	// ProblemNotReady means that the instance does not know its routes or leafs yet.
	ProblemNotReady Problem = "not-ready"
)

const (
	// UnknownAge is the age of what is not known.
	UnknownAge = -1
	// maxTextBytes bounds each text of a question.
	maxTextBytes = 8 << 10
	// digestBytes is the size of the digest of a key.
	digestBytes = 32
)

type (
	// Problem is why there is no explanation.
	Problem string

	// Question describes a request.
	Question struct {
		// Entry is the entry instance that explains, or empty for the first one by name.
		Entry string `json:"entry,omitempty"`
		Host  string `json:"host"`
		Path  string `json:"path"`
		// BodyBytes is the size of the body.
		BodyBytes int `json:"body-bytes,omitempty"`
		// KeyDigest is the digest of the tenant's key, or empty without a key.
		KeyDigest []byte `json:"key-digest,omitempty"`
		// Shard is the service of one shard to be explained in full, or empty.
		Shard string `json:"shard,omitempty"`
	}

	// Reply is the answer of an entry instance. Message says what to do about a problem.
	Reply struct {
		Problem     Problem
		Message     string
		Explanation Explanation
	}

	// Explanation says where a request would go and why.
	Explanation struct {
		Instance   string `json:"instance"`
		DataCentre string `json:"data-centre"`
		// Facts are what the explanation rests on as a whole.
		Facts []Fact `json:"facts"`
		Route Route  `json:"route"`
		// Tenant is empty if the request needs no key and bears none that is known.
		Tenant Tenant `json:"tenant"`
		// Refusal is why the request would be refused before it is sent anywhere, or empty, and Status the response.
		Refusal string `json:"refusal,omitempty"`
		Status  int    `json:"status,omitempty"`
		// Notes are conditions of this instance that change the way of requests.
		Notes []string `json:"notes,omitempty"`
		// Targets are where the requests of the route go by its split and by roll-outs, or the shard that was asked for.
		Targets []Target `json:"targets,omitempty"`
		// Query is nil for a plain route.
		Query *Query `json:"query,omitempty"`
	}

	// Fact is something that the explanation rests on, with its age.
	Fact struct {
		Name  string  `json:"name"`
		Value string  `json:"value"`
		AgeMs float64 `json:"age-ms"`
	}

	// Route is the route of the request.
	Route struct {
		Name         string  `json:"name"`
		Host         string  `json:"host"`
		Prefix       string  `json:"prefix"`
		IsIdempotent bool    `json:"idempotent"`
		ObjectiveMs  float64 `json:"objective-ms"`
		TimeoutMs    float64 `json:"timeout-ms"`
		MaxAttempts  int     `json:"max-attempts"`
	}

	// Tenant is the holder of the key. A rate of 0 means no limit.
	Tenant struct {
		Name      string  `json:"name"`
		PerSecond float64 `json:"per-second"`
		Burst     float64 `json:"burst"`
		// Deciders are the instances that decide on the allowance, in the order in which they are asked.
		Deciders []Instance `json:"deciders,omitempty"`
		// Held is the number of tokens that the explaining instance holds in advance.
		Held int `json:"held"`
		// Level is the number of tokens of the tenant at the explaining instance, and Capacity the most that it can have. IsLevelKnown is
		// set if that instance is the first decider and the tenant has asked it lately.
		Level        float64 `json:"level"`
		Capacity     float64 `json:"capacity"`
		IsLevelKnown bool    `json:"level-known"`
	}

	// Instance is an entry instance that would be asked. It is available if the explaining instance would ask it now.
	Instance struct {
		Name        string `json:"name"`
		DataCentre  string `json:"data-centre,omitempty"`
		IsAvailable bool   `json:"available"`
		// Shards is the number of shards that it would gather.
		Shards int `json:"shards,omitempty"`
	}

	// Target is a service that requests go to, with its leafs as the explaining instance sees them.
	Target struct {
		Service string `json:"service"`
		// Share is the part of the requests that go to the service and side, from 0 to 1.
		Share float64 `json:"share"`
		// Side says which versions the requests may go to during a roll-out, and why, or is empty.
		Side string `json:"side,omitempty"`
		// Decider is the instance that names the leaf, and Why says why. If it is not the explaining instance, what that one
		// sees decides only if it gets no answer.
		Decider string `json:"decider"`
		Why     string `json:"why"`
		// Asked are the instances that may decide, in the order of preference.
		Asked []Instance `json:"asked,omitempty"`
		// SightAgeMs is the time since another instance last asked the explaining one for a leaf of the service.
		SightAgeMs float64 `json:"sight-age-ms"`
		// CostMs is the expected work of the request, or 0 if leafs are compared by the number of requests, CostRequests the number of requests
		// that it rests on and CostAgeMs the age of the last of them. UsualMs is the usual time of an answer on the route.
		CostMs       float64 `json:"cost-ms"`
		CostRequests float64 `json:"cost-requests"`
		CostAgeMs    float64 `json:"cost-age-ms"`
		UsualMs      float64 `json:"usual-ms"`
		// IsOverLimit is set if all leafs are at their concurrency limits, which are therefore ignored.
		IsOverLimit bool        `json:"over-limit,omitempty"`
		Candidates  []Candidate `json:"candidates"`
	}

	// Candidate is a leaf of a target. Costs are in usual times of an answer.
	Candidate struct {
		Leaf       string `json:"leaf"`
		DataCentre string `json:"data-centre"`
		Version    string `json:"version,omitempty"`
		Slots      int    `json:"slots"`
		// MayBeChosen is set for the best leafs, of which one is drawn.
		MayBeChosen bool `json:"may-be-chosen"`
		// Excluded is why the leaf gets no request, or empty.
		Excluded string `json:"excluded,omitempty"`
		// UnavailableMs is how long a resting or rate-limited leaf takes no request.
		UnavailableMs float64 `json:"unavailable-ms,omitempty"`
		// IsFitForAdvice is set if the explaining instance would take the leaf when the deciding instance names it.
		IsFitForAdvice bool    `json:"fit-for-advice"`
		Cost           float64 `json:"cost"`
		// Penalties are the parts of the cost beside the work.
		Penalties []Penalty `json:"penalties,omitempty"`
		// ExpectedMs is the expected time to the answer, and WaitMs the part of it until a slot is free, behind OutstandingMs of work.
		ExpectedMs    float64 `json:"expected-ms"`
		WaitMs        float64 `json:"wait-ms"`
		OutstandingMs float64 `json:"outstanding-ms"`
		// Running is the number of requests of the explaining instance, and Others of those of other instances that it knows.
		Running int `json:"running"`
		Others  int `json:"others"`
		// Slowness is the time of its answers over the usual time.
		Slowness      float64 `json:"slowness"`
		SlownessAgeMs float64 `json:"slowness-age-ms"`
		// RatePerSecond is the rate limit that the leaf states, or 0 without one.
		RatePerSecond float64 `json:"rate-per-second,omitempty"`
		RateAgeMs     float64 `json:"rate-age-ms"`
		AnswerAgeMs   float64 `json:"answer-age-ms"`
		ObservedAgeMs float64 `json:"observed-age-ms"`
	}

	// Penalty is a part of the cost of a leaf. AgeMs is the age of what it rests on, and LeftMs is when it ends, or 0 if that is not known.
	Penalty struct {
		Reason string  `json:"reason"`
		Cost   float64 `json:"cost"`
		AgeMs  float64 `json:"age-ms"`
		LeftMs float64 `json:"left-ms"`
	}

	// Query is where the shards of a query go.
	Query struct {
		Shards int `json:"shards"`
		// MinParts is the number of shards that an answer needs.
		MinParts int `json:"min-parts"`
		// Why says why shards are gathered by other instances, or not.
		Why string `json:"why"`
		// Gatherers are the instances that would gather shards, without the explaining one, which asks the leafs of OwnShards.
		Gatherers []Instance `json:"gatherers,omitempty"`
		OwnShards int        `json:"own-shards"`
		// OwnLeafs counts the own shards by the data centre of their best leaf.
		OwnLeafs []LeafCount `json:"own-leafs,omitempty"`
		// Unusable are the shards of which the explaining instance sees no leaf that takes a request, at most maxUnusable of UnusableCount.
		Unusable      []UnusableShard `json:"unusable,omitempty"`
		UnusableCount int             `json:"unusable-count"`
		// Room is the share of the queries that the leafs have room for, and Chance that of this one to be admitted, both from 0 to 1.
		Room   float64 `json:"room"`
		Chance float64 `json:"chance"`
	}

	// LeafCount is the number of shards whose best leaf is in a data centre.
	LeafCount struct {
		DataCentre string `json:"data-centre"`
		Shards     int    `json:"shards"`
	}

	// UnusableShard is a shard without a leaf that takes a request.
	UnusableShard struct {
		Service string `json:"service"`
		Reason  string `json:"reason"`
	}
)

// Check returns what is wrong with the question, or an empty string.
func (q Question) Check() string {
	switch {
	case q.Host == "":
		return "the host is missing; give the host and the path of the request, such as h.example /p/x"
	case !strings.HasPrefix(q.Path, "/"):
		return "the path does not begin with a slash; give it as in a request, such as /p/x"
	case q.BodyBytes < 0:
		return "the size of the body is negative; give it in bytes"
	case len(q.KeyDigest) != 0 && len(q.KeyDigest) != digestBytes:
		return "the digest of the key has a wrong length"
	}
	for _, text := range []string{q.Entry, q.Host, q.Path, q.Shard} {
		if len(text) > maxTextBytes || strings.ContainsFunc(text, unicode.IsControl) {
			return "the question has a control character or is too long"
		}
	}
	return ""
}

// Milliseconds returns a duration in milliseconds, with one decimal.
func Milliseconds(d time.Duration) float64 {
	return math.Round(10*float64(d)/float64(time.Millisecond)) / 10
}

// Age returns an age in milliseconds, or UnknownAge for one below 0.
func Age(age time.Duration) float64 {
	if age < 0 {
		return UnknownAge
	}
	return Milliseconds(age)
}
