// Package steward runs the entry and control instances of a deployment in which each instance is configured with the addresses
// of a few control instances only, the seeds. The other instances are discovered through these.
package steward
