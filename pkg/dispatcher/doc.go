// Package dispatcher runs the queries that an entry instance receives: it admits them, sends an attempt for each shard to the
// owner of a leaf, and returns the combined answer.
package dispatcher
