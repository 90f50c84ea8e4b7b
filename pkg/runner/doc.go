// Package runner starts, runs and stops one instance of the query tier and connects its components.
package runner
