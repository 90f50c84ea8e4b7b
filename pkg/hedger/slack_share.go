// A shard that is gathered in slices gets nearly all of its hedges and retries
// from one instance in each data centre, the gatherer. The other instances need
// some of the slack as well, for shards that they take back.

package hedger

const (
	// gatherersShare is the share of the slack that the gatherers of a shard have together. While the gatherers change, both the old and
	// the new ones may use it up in one window, beside the others' share: 2 x 0.33 + 0.5 with the safety factor is below 1.
	gatherersShare = 0.33
	// othersShare is the share that all instances, the gatherers included, have together besides.
	othersShare = 0.5
)

// GatheredShare returns the share of the slack of a gathered shard that an instance has, by its share of a service that is not gathered;
// gatherers is the number of instances that gather the shard, one in each data centre.
func GatheredShare(instanceShare float64, isGatherer bool, gatherers int) float64 {
	share := othersShare * instanceShare
	if isGatherer {
		share += gatherersShare / float64(max(1, gatherers))
	}
	return share
}
