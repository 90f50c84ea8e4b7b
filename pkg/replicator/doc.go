// Package replicator agrees on one log among the control instances; it is pure and never reads a clock.
package replicator
