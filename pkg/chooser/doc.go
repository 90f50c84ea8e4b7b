// Package chooser selects the replica of a shard that a request is sent to.
package chooser
