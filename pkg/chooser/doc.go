// Package chooser decides which replica of a shard is asked.
package chooser
