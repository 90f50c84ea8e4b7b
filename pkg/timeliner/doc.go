// Package timeliner records events under a hybrid logical clock, so that the events of all processes merge into one order.
package timeliner
