// A route says where requests of one host and path prefix go and how they are
// treated. Its target is one service, a weighted split, or a set of shards:
//
//	{Name:"r-1" Host:"pupu76.example" Prefix:"/timi402/" Service:"kafi81c" Timeout:15s ...}

package router

import (
	"math"
	"time"
)

const (
	// coverageSlack absorbs the rounding of a share that is given in decimals.
	coverageSlack = 1e-9
	// mostAttempts bounds the leafs that one request is sent to, whatever its route allows; a service has fewer.
	mostAttempts = 16
)

type (
	// RouteFields are the fields of a route.
	RouteFields struct {
		Name   string
		Host   string
		Prefix string
		// Idempotent tells that a request may run more than once.
		Idempotent bool
		// Timeout is the longest time that a request may wait for its answer.
		Timeout time.Duration
		// Objective is the time within which an answer has its full value.
		Objective time.Duration
		// Priority is the rank of the route, 0 being the most urgent.
		Priority int
		// Attempts is how many leafs one request may be sent to, for each shard.
		Attempts int
		// Service is the only target, where Split and Shards are empty.
		Service string
		Split   []Share
		Shards  []string
		// TopRecords is how many records the merged answer of the shards holds.
		TopRecords int
		// MinCoverage is the smallest share of the shards that makes an answer, from 0 to 1.
		MinCoverage float64
	}

	// Share is the part of a service in a split.
	Share struct {
		Service string
		Weight  int
	}

	// ServiceFields are the fields of a service.
	ServiceFields struct {
		Name string
		// Connections is how many connections one leaf takes from all callers together.
		Connections int
		// WarmUp is how long a leaf stays cold after its start.
		WarmUp time.Duration
		// WarmUpPerSecond is how many requests a second a cold leaf bears; 0 says nothing.
		WarmUpPerSecond float64
	}

	// Limits bound what a client may send and how long it may take.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Route is a checked route.
	Route struct {
		fields   RouteFields
		minParts int
		total    int
	}
)

// NewRoute returns a route with fields that were checked.
func NewRoute(fields RouteFields) *Route {
	route := &Route{fields: fields}
	for _, share := range fields.Split {
		route.total += share.Weight
	}
	route.minParts = max(1, int(math.Ceil(fields.MinCoverage*float64(len(fields.Shards))-coverageSlack)))
	return route
}

// Fields returns the fields of the route; its slices are shared.
func (r *Route) Fields() RouteFields { return r.fields }

// Name returns the name of the route.
func (r *Route) Name() string { return r.fields.Name }

// Idempotent tells whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.fields.Idempotent }

// Timeout returns the longest time that a request may wait.
func (r *Route) Timeout() time.Duration { return r.fields.Timeout }

// Objective returns the time within which an answer has its full value.
func (r *Route) Objective() time.Duration { return r.fields.Objective }

// Priority returns the rank of the route, 0 being the most urgent.
func (r *Route) Priority() int { return r.fields.Priority }

// Attempts returns how many leafs one request may be sent to, for each shard; it is from 1 to 16.
func (r *Route) Attempts() int { return max(1, min(r.fields.Attempts, mostAttempts)) }

// Scatters tells whether the request goes to a set of shards.
func (r *Route) Scatters() bool { return len(r.fields.Shards) > 0 }

// Shards returns the services that hold the shards.
func (r *Route) Shards() []string { return r.fields.Shards }

// TopRecords returns how many records a merged answer holds.
func (r *Route) TopRecords() int { return r.fields.TopRecords }

// MinParts returns how many shards an answer needs at least; it is at least 1.
func (r *Route) MinParts() int { return r.minParts }

// Service picks the service of one request; point is uniform in [0,1).
func (r *Route) Service(point float64) string {
	if r.total == 0 {
		return r.fields.Service
	}
	left := int(point * float64(r.total))
	for _, share := range r.fields.Split {
		if left < share.Weight {
			return share.Service
		}
		left -= share.Weight
	}
	return r.fields.Split[len(r.fields.Split)-1].Service
}
