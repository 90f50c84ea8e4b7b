package placer

import (
	"fmt"
	"testing"
)

func TestSubset(t *testing.T) {
	cases := []struct {
		name string
		// leafs and instances are the numbers of each by data centre, from "a".
		leafs, instances []int
		limits           ConnectionLimits
		wantConnections  int
		wantSubset       int
		// wantLocal is the minimum number of local leafs in each subset, as far as the data centre has that many.
		wantLocal int
	}{
		{"7 instances, 26 connections", []int{1, 1, 0}, []int{3, 2, 2}, ConnectionLimits{13, 23}, 3, 2, 1},
		{"64 instances, 54 connections", []int{1, 1, 1}, []int{22, 21, 21}, ConnectionLimits{27, 49}, 1, 1, 1},
		{"87 instances, 66 connections", []int{1, 1, 1, 0}, []int{24, 24, 20, 19}, ConnectionLimits{33, 60}, 1, 1, 1},
		{"connections for a second leaf", []int{1, 1, 1, 0}, []int{24, 24, 20, 19}, ConnectionLimits{60, 60}, 1, 2, 1},
		{"six leafs in four data centres", []int{2, 2, 1, 1}, []int{24, 24, 20, 19}, ConnectionLimits{60, 110}, 1, 4, 1},
		{"one instance", []int{2}, []int{1}, ConnectionLimits{10, 20}, 20, 2, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			connections := map[string]int{}
			for _, set := range instanceSets(c.instances) {
				limits := Subset(locations(c.leafs), set, c.limits)
				if len(limits) > c.wantSubset || len(limits) == 0 {
					t.Fatalf("instance %d has %d leafs in its subset, want 1 to %d", set.Rank, len(limits), c.wantSubset)
				}
				local := 0
				for _, leaf := range locations(c.leafs) {
					limit := limits[leaf.ID]
					if limit != 0 && limit != c.wantConnections {
						t.Fatalf("instance %d may keep %d connections to a leaf, want %d", set.Rank, limit, c.wantConnections)
					}
					connections[leaf.ID] += limit
					if limit > 0 && leaf.DataCentre == set.DataCentre {
						local++
					}
				}
				if localLeafs := c.leafs[set.DataCentre[0]-'a']; local < min(c.wantLocal, localLeafs) {
					t.Errorf("instance %d in %s has %d local leafs in its subset, want at least %d", set.Rank, set.DataCentre, local, c.wantLocal)
				}
			}
			for id, count := range connections {
				if count > c.limits.MaxOpen {
					t.Errorf("%s gets %d connections, want at most %d", id, count, c.limits.MaxOpen)
				}
			}
		})
	}
}

// With 2500 instances a leaf accepts fewer connections than its data centre has instances, and every instance must still get
// one leaf.
func TestSubsetWithMoreInstancesThanConnections(t *testing.T) {
	for _, set := range instanceSets([]int{840, 830, 830}) {
		if limits := Subset(locations([]int{2, 2, 1}), set, ConnectionLimits{50, 92}); len(limits) != 1 {
			t.Fatalf("instance %d has %d leafs in its subset, want 1", set.Rank, len(limits))
		}
	}
}

func locations(leafs []int) []Location {
	var all []Location
	for centre, count := range leafs {
		for i := range count {
			all = append(all, Location{ID: fmt.Sprint("leaf-", centre, "-", i), DataCentre: string(rune('a' + centre))})
		}
	}
	return all
}

func instanceSets(instances []int) []InstanceSet {
	counts := map[string]int{}
	for centre, count := range instances {
		counts[string(rune('a'+centre))] = count
	}
	var all []InstanceSet
	for centre, count := range instances {
		for local := range count {
			all = append(all, InstanceSet{DataCentre: string(rune('a' + centre)), Instances: counts, Rank: len(all), LocalRank: local})
		}
	}
	return all
}
