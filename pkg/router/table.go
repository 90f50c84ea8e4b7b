package router

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

type (
	// Table holds the routes and services of one version of the routing document. It does not change.
	Table struct {
		version    uint64
		routes     map[string]map[string]*Route
		services   map[string]ServiceFields
		limits     Limits
		routeCount int
		// holders has the tenant of each key, and tenants all tenants by name. Both are nil in a table without tenants.
		holders map[KeyDigest]*Tenant
		tenants map[string]*Tenant
	}

	// ValidationError lists all problems of a routing document.
	ValidationError struct {
		problems []string
	}
)

func (e *ValidationError) Error() string {
	return "routing document: " + strings.Join(e.problems, "; ")
}

// Problems returns one message for each problem.
func (e *ValidationError) Problems() []string { return e.problems }

// Build returns the table of a version. If any route or tenant is invalid, it returns a *ValidationError with one problem for each
// invalid one instead.
func Build(version uint64, routes []RouteFields, services []ServiceFields, limits Limits, options ...BuildOption) (*Table, error) {
	table := &Table{
		version: version, limits: limits, routeCount: len(routes),
		routes: map[string]map[string]*Route{}, services: make(map[string]ServiceFields, len(services)),
	}
	var problems []string
	for _, service := range services {
		table.services[service.Name] = service
	}
	for _, fields := range routes {
		if problem := table.add(fields); problem != "" {
			problems = append(problems, fmt.Sprintf("route %q: %s", fields.Name, problem))
		}
	}
	for _, apply := range options {
		problems = append(problems, apply(table)...)
	}
	if len(problems) > 0 {
		return nil, errors.WithStack(&ValidationError{problems: problems})
	}
	return table, nil
}

// Version returns the version of the routing document.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits on client requests.
func (t *Table) Limits() Limits { return t.limits }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return t.routeCount }

// TargetServices returns the services to which the routes send requests, without duplicates.
func (t *Table) TargetServices() []string {
	seen := map[string]bool{}
	var names []string
	for _, prefixes := range t.routes {
		for _, route := range prefixes {
			for _, name := range targetServices(route.fields) {
				if !seen[name] {
					seen[name] = true
					names = append(names, name)
				}
			}
		}
	}
	return names
}

// ShardServices returns the services that hold the shards of the routes, without duplicates.
func (t *Table) ShardServices() []string {
	seen := map[string]bool{}
	var names []string
	for _, prefixes := range t.routes {
		for _, route := range prefixes {
			for _, name := range route.fields.Shards {
				if !seen[name] {
					seen[name] = true
					names = append(names, name)
				}
			}
		}
	}
	return names
}

// Service returns the fields of a service and whether it is known.
func (t *Table) Service(name string) (ServiceFields, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Match returns the route of the host with the longest matching path prefix, and whether there is one.
func (t *Table) Match(host, path string) (*Route, bool) {
	prefixes := t.routes[NormalizeHost(host)]
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if route, ok := prefixes[path[:end]]; ok && path[end-1] == '/' {
			return route, true
		}
	}
	return nil, false
}

// NormalizeHost returns the host in lower case and without its port.
func NormalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// add inserts a route and returns its problem, or an empty string if it is valid.
func (t *Table) add(fields RouteFields) string {
	if problem := t.validate(fields); problem != "" {
		return problem
	}
	host := NormalizeHost(fields.Host)
	if t.routes[host] == nil {
		t.routes[host] = map[string]*Route{}
	}
	if _, exists := t.routes[host][fields.Prefix]; exists {
		return fmt.Sprintf("host %q and prefix %q are taken by another route", fields.Host, fields.Prefix)
	}
	route := NewRoute(fields)
	t.routes[host][fields.Prefix] = route
	return ""
}

func (t *Table) validate(fields RouteFields) string {
	switch {
	case fields.Host == "":
		return "it names no host"
	case !strings.HasPrefix(fields.Prefix, "/") || !strings.HasSuffix(fields.Prefix, "/"):
		return fmt.Sprintf("the prefix %q does not begin and end with a slash", fields.Prefix)
	case fields.Timeout <= 0:
		return "the time-out is 0"
	case fields.MinCoverage < 0 || fields.MinCoverage > 1:
		return fmt.Sprintf("the coverage %g is no share from 0 to 1", fields.MinCoverage)
	}
	for _, name := range targetServices(fields) {
		if _, known := t.services[name]; !known {
			return fmt.Sprintf("the service %q is unknown", name)
		}
	}
	if len(fields.Split) == 0 {
		return ""
	}
	totalWeight := 0
	for _, share := range fields.Split {
		if share.Weight < 0 {
			return fmt.Sprintf("the weight of service %q is negative", share.Service)
		}
		totalWeight += share.Weight
	}
	if totalWeight == 0 {
		return "the weights add up to 0"
	}
	return ""
}

func targetServices(fields RouteFields) []string {
	if len(fields.Shards) > 0 {
		return fields.Shards
	}
	if len(fields.Split) == 0 {
		return []string{fields.Service}
	}
	names := make([]string, 0, len(fields.Split))
	for _, share := range fields.Split {
		names = append(names, share.Service)
	}
	return names
}
