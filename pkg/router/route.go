package router

import (
	"math"
	"time"
)

const (
	// coverageSlack absorbs the rounding error of a coverage written as a decimal fraction.
	coverageSlack = 1e-9
	// maxRouteAttempts bounds the attempts of a request, whatever its route allows. A service has fewer leafs.
	maxRouteAttempts = 16
)

type (
	// RouteFields are the settings of a route, which applies to the requests for one host and path prefix. Its target is one
	// service, a weighted split, or a set of shards:
	//
	//	{Name:"r-1" Host:"pupu76.example" Prefix:"/timi402/" Service:"kafi81c" Timeout:15s ...}
	RouteFields struct {
		Name   string
		Host   string
		Prefix string
		// Idempotent reports whether a request may run more than once.
		Idempotent bool
		// Timeout is the longest time that a request may wait for its answer.
		Timeout time.Duration
		// Objective is the latency objective: an answer within this time has its full value.
		Objective time.Duration
		// Priority is the rank of the route. 0 is the highest priority.
		Priority int
		// MaxAttempts is the largest number of leafs that a request may be sent to, for each shard.
		MaxAttempts int
		// Service is the only target if Split and Shards are empty.
		Service string
		// Split divides the requests among services by weight.
		Split []WeightedService
		// Shards holds the service of each shard for a scatter-gather query.
		Shards []string
		// TopRecords is the number of records in the merged answer of the shards.
		TopRecords int
		// MinCoverage is the smallest fraction of the shards that makes an answer, from 0 to 1.
		MinCoverage float64
		// IsAnonymous is set if requests need no key of a tenant.
		IsAnonymous bool
	}

	// WeightedService is one target of a traffic split.
	WeightedService struct {
		Service string
		Weight  int
	}

	// Target is a service with the part of the requests that it gets, from 0 to 1.
	Target struct {
		Service string
		Share   float64
	}

	// ServiceFields are the settings of a service.
	ServiceFields struct {
		Name string
		// MaxConnections is the largest number of connections that one leaf accepts from all clients together.
		MaxConnections int
		// WarmUp is the length of the warm-up of a leaf after its start.
		WarmUp time.Duration
		// WarmUpRate is the number of requests per second that a leaf can take during its warm-up, or 0 if unknown.
		WarmUpRate float64
	}

	// Limits are the limits on the size and the duration of client requests.
	Limits struct {
		MaxHeaderBytes int
		MaxBodyBytes   int
		HeaderTimeout  time.Duration
		IdleTimeout    time.Duration
	}

	// Route is a validated route.
	Route struct {
		fields      RouteFields
		minParts    int
		totalWeight int
	}
)

// NewRoute returns a route with the given fields, which must be valid.
func NewRoute(fields RouteFields) *Route {
	route := &Route{fields: fields}
	for _, share := range fields.Split {
		route.totalWeight += share.Weight
	}
	route.minParts = max(1, int(math.Ceil(fields.MinCoverage*float64(len(fields.Shards))-coverageSlack)))
	return route
}

// Fields returns the fields of the route. The slices are not copied.
func (r *Route) Fields() RouteFields { return r.fields }

// Name returns the name of the route.
func (r *Route) Name() string { return r.fields.Name }

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.fields.Idempotent }

// Timeout returns the longest time that a request may wait for its answer.
func (r *Route) Timeout() time.Duration { return r.fields.Timeout }

// Objective returns the latency objective, the time within which an answer has its full value.
func (r *Route) Objective() time.Duration { return r.fields.Objective }

// Priority returns the rank of the route. 0 is the highest priority.
func (r *Route) Priority() int { return r.fields.Priority }

// MaxAttempts returns the largest number of leafs that a request may be sent to, for each shard, from 1 to 16.
func (r *Route) MaxAttempts() int { return max(1, min(r.fields.MaxAttempts, maxRouteAttempts)) }

// IsAnonymous reports whether requests need no key of a tenant.
func (r *Route) IsAnonymous() bool { return r.fields.IsAnonymous }

// Scatters reports whether requests are sent to a set of shards.
func (r *Route) Scatters() bool { return len(r.fields.Shards) > 0 }

// Shards returns the service of each shard.
func (r *Route) Shards() []string { return r.fields.Shards }

// TopRecords returns the number of records in a merged answer.
func (r *Route) TopRecords() int { return r.fields.TopRecords }

// MinParts returns the smallest number of shards that makes an answer, at least 1.
func (r *Route) MinParts() int { return r.minParts }

// WithService returns the route with the given service as its only target.
func (r *Route) WithService(service string) *Route {
	fields := r.fields
	fields.Service, fields.Split = service, nil
	return NewRoute(fields)
}

// Targets returns the services of a plain route with the part of its requests, from 0 to 1, that each of them gets.
func (r *Route) Targets() []Target {
	if r.totalWeight == 0 {
		return []Target{{Service: r.fields.Service, Share: 1}}
	}
	targets := make([]Target, 0, len(r.fields.Split))
	for _, share := range r.fields.Split {
		targets = append(targets, Target{Service: share.Service, Share: float64(share.Weight) / float64(r.totalWeight)})
	}
	return targets
}

// PickService returns the service of one request, chosen by weight if the route has a split. The sample is uniform in [0,1).
func (r *Route) PickService(sample float64) string {
	if r.totalWeight == 0 {
		return r.fields.Service
	}
	remaining := int(sample * float64(r.totalWeight))
	for _, share := range r.fields.Split {
		if remaining < share.Weight {
			return share.Service
		}
		remaining -= share.Weight
	}
	return r.fields.Split[len(r.fields.Split)-1].Service
}
