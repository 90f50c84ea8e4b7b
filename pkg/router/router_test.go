package router

import (
	"strings"
	"testing"
	"time"
)

var services = []ServiceFields{{Name: "a"}, {Name: "b"}}

func TestMatchLongestPrefix(t *testing.T) {
	table, err := Build(3, []RouteFields{
		{Name: "short", Host: "one.example", Prefix: "/x/", Service: "a", Timeout: time.Second},
		{Name: "long", Host: "one.example", Prefix: "/x/y/", Service: "a", Timeout: time.Second},
		{Name: "other", Host: "two.example", Prefix: "/", Service: "b", Timeout: time.Second},
	}, services, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ host, path, want string }{
		{"one.example", "/x/1", "short"},
		{"ONE.example:8080", "/x/1", "short"},
		{"one.example", "/x/y/1", "long"},
		{"one.example", "/x/y/", "long"},
		{"one.example", "/x/y", "short"},
		{"one.example", "/x", ""},
		{"one.example", "/xx/y/", ""},
		{"two.example", "/anything/at/all", "other"},
		{"three.example", "/x/1", ""},
	}
	for _, c := range cases {
		got := ""
		if route, ok := table.Match(c.host, c.path); ok {
			got = route.Name()
		}
		if got != c.want {
			t.Errorf("%s%s: got route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestBuildReportsProblem(t *testing.T) {
	valid := RouteFields{Name: "r", Host: "h", Prefix: "/p/", Service: "a", Timeout: time.Second}
	cases := []struct {
		name   string
		change func(*RouteFields)
		want   string
	}{
		{"valid", func(*RouteFields) {}, ""},
		{"unknown service", func(r *RouteFields) { r.Service = "z" }, "unknown"},
		{"unknown shard", func(r *RouteFields) { r.Service, r.Shards = "", []string{"a", "z"} }, "unknown"},
		{"unknown service in a split", func(r *RouteFields) { r.Split = []WeightedService{{"a", 1}, {"z", 1}} }, "unknown"},
		{"no target", func(r *RouteFields) { r.Service = "" }, "unknown"},
		{"zero total weight", func(r *RouteFields) { r.Split = []WeightedService{{"a", 0}, {"b", 0}} }, "add up to 0"},
		{"no timeout", func(r *RouteFields) { r.Timeout = 0 }, "time-out is 0"},
		{"no slash at the end of the prefix", func(r *RouteFields) { r.Prefix = "/p" }, "slash"},
		{"same host and prefix", func(r *RouteFields) { r.Host, r.Prefix = "taken", "/t/" }, "taken by another"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			route := valid
			c.change(&route)
			existing := RouteFields{Name: "t", Host: "taken", Prefix: "/t/", Service: "b", Timeout: time.Second}
			_, err := Build(1, []RouteFields{existing, route}, services, Limits{})
			if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want one with %q", err, c.want)
			}
		})
	}
}

func TestServiceFollowsWeights(t *testing.T) {
	table, err := Build(1, []RouteFields{
		{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Split: []WeightedService{{"a", 3}, {"b", 1}}},
	}, services, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	route, _ := table.Match("h", "/q")
	counts := map[string]int{}
	for i := range 400 {
		counts[route.PickService(float64(i)/400)]++
	}
	if counts["a"] != 300 || counts["b"] != 100 {
		t.Errorf("got requests per service %v, want a:300 and b:100", counts)
	}
}

func TestMinPartsRounding(t *testing.T) {
	shards := []string{"a", "b", "a", "b", "a", "b", "a", "b", "a", "b", "a", "b", "a", "b", "a", "b", "a", "b", "a", "b"}
	cases := []struct {
		coverage float64
		want     int
	}{{0.89, 18}, {0.75, 15}, {0.9, 18}, {0, 1}, {1, 20}}
	for _, c := range cases {
		table, err := Build(1, []RouteFields{{
			Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Shards: shards, MinCoverage: c.coverage,
		}}, services, Limits{})
		if err != nil {
			t.Fatal(err)
		}
		route, _ := table.Match("h", "/q")
		if route.MinParts() != c.want {
			t.Errorf("coverage %g: got %d parts, want %d", c.coverage, route.MinParts(), c.want)
		}
	}
}
