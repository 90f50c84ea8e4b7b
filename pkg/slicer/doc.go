// Package slicer decides which instance gathers which shards of a query, and when a query goes on without it.
package slicer
