// The shapes are both users' sizes of today. A leaf count is read as the
// leafs of a service in each data centre, one for each shard, so each shard
// has one replica per data centre.

package emulator

import (
	"fmt"
	"time"

	"lovagedeck/pkg/tabulator"
)

const (
	agencyDistance    = time.Millisecond
	tobermoryDistance = 500 * time.Microsecond
	slowSetUp         = 6 * time.Millisecond
	quickSetUp        = time.Millisecond
)

type (
	// Family is a group of services of the same shape.
	Family struct {
		Name         string
		Services     int
		Leafs        int
		Slots        int
		Connections  int
		SetUp        time.Duration
		Work         time.Duration
		DeadlineMs   int
		MinCoverage  float64
		HedgePercent float64
	}

	// Shape is one user's size.
	Shape struct {
		Name        string
		DataCentres []string
		Distance    time.Duration
		Families    []Family
		Pace        float64
	}
)

// Agency returns the size of the State Agency.
func Agency(work time.Duration) Shape {
	return Shape{
		Name: "agency", DataCentres: []string{"ub-a", "ub-b", "ub-c"}, Distance: agencyDistance,
		Families: []Family{
			{Name: "customs-desk", Services: 20, Leafs: 2, Slots: 2, Connections: 25, SetUp: slowSetUp, Work: work, DeadlineMs: 52, MinCoverage: 0.95, HedgePercent: 4},
			{Name: "grower-portal", Services: 30, Leafs: 2, Slots: 2, Connections: 25, SetUp: slowSetUp, Work: work, DeadlineMs: 52, MinCoverage: 0.95, HedgePercent: 4},
			{Name: "inspector-field", Services: 1, Leafs: 5, Slots: 6, Connections: 100, SetUp: quickSetUp, Work: work, DeadlineMs: 52, MinCoverage: 0.95, HedgePercent: 4},
			{Name: "registry-admin", Services: 1, Leafs: 3, Slots: 6, Connections: 100, SetUp: quickSetUp, Work: work, DeadlineMs: 200, MinCoverage: 1, HedgePercent: 4},
		},
	}
}

// Tobermory returns the size of Tobermory Rainfall Grants.
func Tobermory(work time.Duration) Shape {
	return Shape{
		Name: "tobermory", DataCentres: []string{"tob-a", "tob-b", "tob-c"}, Distance: tobermoryDistance,
		Families: []Family{
			{Name: "grant-desk", Services: 20, Leafs: 2, Slots: 3, Connections: 30, SetUp: slowSetUp, Work: work, DeadlineMs: 250, MinCoverage: 1, HedgePercent: 4},
			{Name: "rebate-pay", Services: 30, Leafs: 2, Slots: 3, Connections: 30, SetUp: slowSetUp, Work: work, DeadlineMs: 250, MinCoverage: 1, HedgePercent: 4},
			{Name: "cert-audit", Services: 1, Leafs: 10, Slots: 6, Connections: 50, SetUp: quickSetUp, Work: work, DeadlineMs: 2000, MinCoverage: 1, HedgePercent: 0},
			{Name: "tank-map", Services: 1, Leafs: 4, Slots: 6, Connections: 50, SetUp: quickSetUp, Work: work, DeadlineMs: 250, MinCoverage: 1, HedgePercent: 4},
		},
	}
}

// ShapeNamed returns the shape with the given name.
func ShapeNamed(name string, work time.Duration) (Shape, bool) {
	switch name {
	case "agency":
		return Agency(work), true
	case "tobermory":
		return Tobermory(work), true
	}
	return Shape{}, false
}

// ServiceNames returns the services of a family.
func (f Family) ServiceNames() []string {
	if f.Services == 1 {
		return []string{f.Name}
	}
	names := make([]string, 0, f.Services)
	for i := range f.Services {
		names = append(names, fmt.Sprintf("%s-%02d", f.Name, i+1))
	}
	return names
}

// Leafs returns the descriptions of the leafs.
func (s Shape) Leafs() []LeafSpec {
	var leafs []LeafSpec
	for _, family := range s.Families {
		for _, service := range family.ServiceNames() {
			leafs = append(leafs, s.leafsOf(family, service)...)
		}
	}
	return leafs
}

// Rows returns the table of the shape.
func (s Shape) Rows() []tabulator.RowFields {
	var rows []tabulator.RowFields
	for _, family := range s.Families {
		for _, service := range family.ServiceNames() {
			for _, dataCentre := range s.DataCentres {
				rows = append(rows, tabulator.RowFields{
					Service: service, DataCentre: dataCentre, Weight: 100, Slots: family.Slots, Connections: family.Connections,
					DeadlineMs: family.DeadlineMs, MinCoverage: family.MinCoverage, HedgePercent: family.HedgePercent,
					State: tabulator.StateIn,
				})
			}
		}
	}
	return rows
}

// Query returns services whose shards add up to the wanted number, or to the nearest one below.
func (s Shape) Query(shards int) []string {
	var services []string
	for pass := range 2 {
		for _, family := range s.Families {
			if odd := family.Leafs%2 == 1; odd != (pass == 0 && shards%2 == 1) {
				continue
			}
			for _, service := range family.ServiceNames() {
				if family.Leafs <= shards {
					services = append(services, service)
					shards -= family.Leafs
				}
			}
		}
	}
	return services
}

func (s Shape) leafsOf(family Family, service string) []LeafSpec {
	var leafs []LeafSpec
	for _, dataCentre := range s.DataCentres {
		for shard := range family.Leafs {
			leafs = append(leafs, LeafSpec{
				ID: fmt.Sprintf("%s-%s-%d", service, dataCentre, shard), Service: service, DataCentre: dataCentre,
				Index: s.Name, Distance: s.Distance, Pace: s.Pace, Shard: shard, Shards: family.Leafs, Slots: family.Slots, Connections: family.Connections,
				SetUp: family.SetUp, Work: family.Work,
			})
		}
	}
	return leafs
}
