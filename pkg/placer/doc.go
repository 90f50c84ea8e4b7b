// Package placer selects the leaf for each request from locally recorded latency, failures and load, and from observations
// shared by other instances.
package placer
