// Package stage starts the programs of the deploy file as separate processes on loopback addresses, and plays the platform's list,
// the leafs, the operator and the callers for them. The processes end with the stage.
package stage
