// Package timeliner records events with hybrid logical clock timestamps, so that the events of all processes can be merged
// in causal order.
package timeliner
