// A table is built whole from one version of the routing document, or not at
// all: Build names every fault that it finds.

package router

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

type (
	// Table is one version of the routes and services.
	Table struct {
		version  uint64
		routes   map[string]map[string]*Route
		services map[string]ServiceFields
		limits   Limits
		count    int
	}

	// FaultsError has every fault of a routing document.
	FaultsError struct {
		faults []string
	}
)

func (e *FaultsError) Error() string {
	return "routing document: " + strings.Join(e.faults, "; ")
}

// Faults returns one sentence for each fault.
func (e *FaultsError) Faults() []string { return e.faults }

// Build returns the table of a version, or a *FaultsError.
func Build(version uint64, routes []RouteFields, services []ServiceFields, limits Limits) (*Table, error) {
	table := &Table{
		version: version, limits: limits, count: len(routes),
		routes: map[string]map[string]*Route{}, services: make(map[string]ServiceFields, len(services)),
	}
	var faults []string
	for _, service := range services {
		table.services[service.Name] = service
	}
	for _, fields := range routes {
		if reason := table.add(fields); reason != "" {
			faults = append(faults, fmt.Sprintf("route %q: %s", fields.Name, reason))
		}
	}
	if len(faults) > 0 {
		return nil, errors.WithStack(&FaultsError{faults: faults})
	}
	return table, nil
}

// Version returns the version of the routing document.
func (t *Table) Version() uint64 { return t.version }

// Limits returns what a client may send.
func (t *Table) Limits() Limits { return t.limits }

// Routes returns how many routes the table has.
func (t *Table) Routes() int { return t.count }

// Targets returns each service that a route names, once.
func (t *Table) Targets() []string {
	seen := map[string]bool{}
	var names []string
	for _, prefixes := range t.routes {
		for _, route := range prefixes {
			for _, name := range targets(route.fields) {
				if !seen[name] {
					seen[name] = true
					names = append(names, name)
				}
			}
		}
	}
	return names
}

// ShardServices returns each service that holds a shard of some route, once.
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

// Service returns the fields of a service.
func (t *Table) Service(name string) (ServiceFields, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Match returns the route with the longest prefix of the path among those of the host.
func (t *Table) Match(host, path string) (*Route, bool) {
	prefixes := t.routes[HostName(host)]
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if route, ok := prefixes[path[:end]]; ok && path[end-1] == '/' {
			return route, true
		}
	}
	return nil, false
}

// HostName returns the host in lower case without a port.
func HostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

func (t *Table) add(fields RouteFields) string {
	if reason := t.check(fields); reason != "" {
		return reason
	}
	host := HostName(fields.Host)
	if t.routes[host] == nil {
		t.routes[host] = map[string]*Route{}
	}
	if _, taken := t.routes[host][fields.Prefix]; taken {
		return fmt.Sprintf("host %q and prefix %q are taken by another route", fields.Host, fields.Prefix)
	}
	route := NewRoute(fields)
	t.routes[host][fields.Prefix] = route
	return ""
}

func (t *Table) check(fields RouteFields) string {
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
	for _, name := range targets(fields) {
		if _, known := t.services[name]; !known {
			return fmt.Sprintf("the service %q is unknown", name)
		}
	}
	if len(fields.Split) == 0 {
		return ""
	}
	total := 0
	for _, share := range fields.Split {
		if share.Weight < 0 {
			return fmt.Sprintf("the weight of service %q is negative", share.Service)
		}
		total += share.Weight
	}
	if total == 0 {
		return "the weights add up to 0"
	}
	return ""
}

func targets(fields RouteFields) []string {
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
