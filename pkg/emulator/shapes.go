// The shapes reproduce the present deployments of the two users. The leaf
// count of a service is taken as its number of leafs in each data centre, one
// per shard, so each shard has one replica per data centre.

package emulator

import (
	"fmt"
	"time"

	"lovagedeck/pkg/tabulator"
)

const (
	agencyRoundTrip    = time.Millisecond
	tobermoryRoundTrip = 500 * time.Microsecond
	slowConnectTime    = 6 * time.Millisecond
	fastConnectTime    = time.Millisecond
)

type (
	// ServiceGroup is a group of services with the same shard count, limits and timing.
	ServiceGroup struct {
		Name           string
		ServiceCount   int
		ShardCount     int
		Slots          int
		Connections    int
		ConnectTime    time.Duration
		ProcessingTime time.Duration
		DeadlineMs     int
		MinCoverage    float64
		HedgePercent   float64
	}

	// Shape describes the services and data centres of one user's deployment.
	Shape struct {
		Name          string
		DataCentres   []string
		RoundTrip     time.Duration
		ServiceGroups []ServiceGroup
		TimeScale     float64
	}
)

// Agency returns the deployment of the State Agency, with the given typical processing time per request.
func Agency(processingTime time.Duration) Shape {
	return Shape{
		Name: "agency", DataCentres: []string{"ub-a", "ub-b", "ub-c"}, RoundTrip: agencyRoundTrip,
		ServiceGroups: []ServiceGroup{
			{Name: "customs-desk", ServiceCount: 20, ShardCount: 2, Slots: 2, Connections: 25, ConnectTime: slowConnectTime, ProcessingTime: processingTime, DeadlineMs: 52, MinCoverage: 0.95, HedgePercent: 4},
			{Name: "grower-portal", ServiceCount: 30, ShardCount: 2, Slots: 2, Connections: 25, ConnectTime: slowConnectTime, ProcessingTime: processingTime, DeadlineMs: 52, MinCoverage: 0.95, HedgePercent: 4},
			{Name: "inspector-field", ServiceCount: 1, ShardCount: 5, Slots: 6, Connections: 100, ConnectTime: fastConnectTime, ProcessingTime: processingTime, DeadlineMs: 52, MinCoverage: 0.95, HedgePercent: 4},
			{Name: "registry-admin", ServiceCount: 1, ShardCount: 3, Slots: 6, Connections: 100, ConnectTime: fastConnectTime, ProcessingTime: processingTime, DeadlineMs: 200, MinCoverage: 1, HedgePercent: 4},
		},
	}
}

// Tobermory returns the deployment of Tobermory Rainfall Grants, with the given typical processing time per request.
func Tobermory(processingTime time.Duration) Shape {
	return Shape{
		Name: "tobermory", DataCentres: []string{"tob-a", "tob-b", "tob-c"}, RoundTrip: tobermoryRoundTrip,
		ServiceGroups: []ServiceGroup{
			{Name: "grant-desk", ServiceCount: 20, ShardCount: 2, Slots: 3, Connections: 30, ConnectTime: slowConnectTime, ProcessingTime: processingTime, DeadlineMs: 250, MinCoverage: 1, HedgePercent: 4},
			{Name: "rebate-pay", ServiceCount: 30, ShardCount: 2, Slots: 3, Connections: 30, ConnectTime: slowConnectTime, ProcessingTime: processingTime, DeadlineMs: 250, MinCoverage: 1, HedgePercent: 4},
			{Name: "cert-audit", ServiceCount: 1, ShardCount: 10, Slots: 6, Connections: 50, ConnectTime: fastConnectTime, ProcessingTime: processingTime, DeadlineMs: 2000, MinCoverage: 1, HedgePercent: 0},
			{Name: "tank-map", ServiceCount: 1, ShardCount: 4, Slots: 6, Connections: 50, ConnectTime: fastConnectTime, ProcessingTime: processingTime, DeadlineMs: 250, MinCoverage: 1, HedgePercent: 4},
		},
	}
}

// ShapeByName returns the shape with the given name, or false if there is none.
func ShapeByName(name string, processingTime time.Duration) (Shape, bool) {
	switch name {
	case "agency":
		return Agency(processingTime), true
	case "tobermory":
		return Tobermory(processingTime), true
	}
	return Shape{}, false
}

// ServiceNames returns the names of the services in the group.
func (g ServiceGroup) ServiceNames() []string {
	if g.ServiceCount == 1 {
		return []string{g.Name}
	}
	names := make([]string, 0, g.ServiceCount)
	for i := range g.ServiceCount {
		names = append(names, fmt.Sprintf("%s-%02d", g.Name, i+1))
	}
	return names
}

// LeafSpecs returns the specifications of all leafs in the deployment.
func (s Shape) LeafSpecs() []LeafSpec {
	var leafs []LeafSpec
	for _, group := range s.ServiceGroups {
		for _, service := range group.ServiceNames() {
			leafs = append(leafs, s.leafSpecsOf(group, service)...)
		}
	}
	return leafs
}

// Rows returns the service table rows of the deployment, one per service and data centre.
func (s Shape) Rows() []tabulator.RowFields {
	var rows []tabulator.RowFields
	for _, group := range s.ServiceGroups {
		for _, service := range group.ServiceNames() {
			for _, dataCentre := range s.DataCentres {
				rows = append(rows, tabulator.RowFields{
					Service: service, DataCentre: dataCentre, Weight: 100, Slots: group.Slots, Connections: group.Connections,
					DeadlineMs: group.DeadlineMs, MinCoverage: group.MinCoverage, HedgePercent: group.HedgePercent,
					State: tabulator.StateIn,
				})
			}
		}
	}
	return rows
}

// ServicesForShards returns services whose shard counts add up to shards, or to a lower number if the services do not fit
// exactly. Services with an odd shard count are used only if shards is odd, and are then chosen first.
func (s Shape) ServicesForShards(shards int) []string {
	var services []string
	for pass := range 2 {
		for _, group := range s.ServiceGroups {
			if isOdd := group.ShardCount%2 == 1; isOdd != (pass == 0 && shards%2 == 1) {
				continue
			}
			for _, service := range group.ServiceNames() {
				if group.ShardCount <= shards {
					services = append(services, service)
					shards -= group.ShardCount
				}
			}
		}
	}
	return services
}

func (s Shape) leafSpecsOf(group ServiceGroup, service string) []LeafSpec {
	var leafs []LeafSpec
	for _, dataCentre := range s.DataCentres {
		for shard := range group.ShardCount {
			leafs = append(leafs, LeafSpec{
				ID: fmt.Sprintf("%s-%s-%d", service, dataCentre, shard), Service: service, DataCentre: dataCentre,
				Index: s.Name, RoundTrip: s.RoundTrip, TimeScale: s.TimeScale, Shard: shard, Shards: group.ShardCount, Slots: group.Slots, Connections: group.Connections,
				ConnectTime: group.ConnectTime, ProcessingTime: group.ProcessingTime,
			})
		}
	}
	return leafs
}
