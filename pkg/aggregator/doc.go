// Package aggregator hands slices, which are subsets of the shards of a query, to other entry instances over net/rpc and
// collects their partial results. It also relays whole requests of an instance that reaches no leaf.
package aggregator
