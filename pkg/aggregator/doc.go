// Package aggregator carries slices of queries between entry instances, over net/rpc.
package aggregator
