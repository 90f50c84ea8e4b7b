// Package aggregator hands slices, which are subsets of the shards of a query, to other entry instances over net/rpc and
// collects their partial results.
package aggregator
