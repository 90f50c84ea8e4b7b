// Package hedger decides when a second request for the same shard pays and whether the budget allows it.
package hedger
