// Package recorder writes structured log lines without blocking the goroutines that log.
package recorder
