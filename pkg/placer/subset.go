// If a leaf does not accept enough connections for one from each instance, every
// instance keeps persistent connections to a subset of the leafs of a service
// only: first to leafs of its own data centre, then to remote ones as far as
// they have connections left. With 87 instances in four data centres, and one
// leaf with 33 persistent connections in each of three of them, the subset is
//
//	in a data centre with a leaf      that leaf
//	in the data centre without one    one of the three leafs, assigned round-robin

package placer

import (
	"slices"
	"strings"
)

type (
	// Location names a leaf and its data centre.
	Location struct {
		ID         string
		DataCentre string
	}

	// InstanceSet describes the instances that share the connections of a leaf, and the position of this instance among them.
	InstanceSet struct {
		DataCentre string
		// Instances is the number of instances by data centre, including this one.
		Instances map[string]int
		// Rank is the position of this instance among all instances, LocalRank that within its data centre, both from 0.
		Rank, LocalRank int
	}

	// ConnectionLimits bounds the connections of all instances together to one leaf.
	ConnectionLimits struct {
		// MaxIdle bounds the persistent connections, which stay open while idle, and MaxOpen all connections at any time.
		MaxIdle, MaxOpen int
	}
)

// Subset returns the leafs to which the instance keeps persistent connections, by ID, with the maximum number of its own
// connections to each.
func Subset(leafs []Location, set InstanceSet, limits ConnectionLimits) map[string]int {
	subset := make(map[string]int, len(leafs))
	total := set.size()
	if len(leafs) == 0 || total <= 0 {
		return subset
	}
	if limits.MaxIdle >= total {
		for _, leaf := range leafs {
			subset[leaf.ID] = max(1, limits.MaxOpen/total)
		}
		return subset
	}
	sorted := slices.SortedFunc(slices.Values(leafs), func(a, b Location) int { return strings.Compare(a.ID, b.ID) })
	byDataCentre := make(map[string][]string)
	for _, leaf := range sorted {
		byDataCentre[leaf.DataCentre] = append(byDataCentre[leaf.DataCentre], leaf.ID)
	}
	remaining := limits.MaxIdle * len(sorted)
	for dataCentre, ids := range byDataCentre {
		remaining -= set.Instances[dataCentre] * localSubsetSize(len(ids), set.Instances[dataCentre], limits.MaxIdle)
	}
	localIDs := byDataCentre[set.DataCentre]
	localCount := localSubsetSize(len(localIDs), set.Instances[set.DataCentre], limits.MaxIdle)
	addRoundRobin(subset, localIDs, set.LocalRank, localCount)
	remoteCount := remaining / total
	if localCount == 0 {
		remoteCount = max(1, remoteCount)
	}
	addRoundRobin(subset, remoteLeafs(sorted, set.DataCentre, localCount), set.Rank, remoteCount)
	return subset
}

// remoteLeafs returns the leafs outside the data centre, or all leafs if the subset has none in the data centre.
func remoteLeafs(sorted []Location, dataCentre string, localCount int) []string {
	var ids []string
	for _, leaf := range sorted {
		if localCount == 0 || leaf.DataCentre != dataCentre {
			ids = append(ids, leaf.ID)
		}
	}
	return ids
}

// localSubsetSize returns the number of leafs of a data centre to which each of its instances keeps connections.
func localSubsetSize(leafs, instances, maxIdle int) int {
	if instances == 0 {
		return 0
	}
	return min(leafs, maxIdle*leafs/instances)
}

// addRoundRobin adds count leafs, starting at rank, with one connection each.
func addRoundRobin(subset map[string]int, ids []string, rank, count int) {
	for i := range min(count, len(ids)) {
		subset[ids[(rank+i)%len(ids)]] = 1
	}
}

func (s InstanceSet) size() int {
	size := 0
	for _, count := range s.Instances {
		size += count
	}
	return size
}
