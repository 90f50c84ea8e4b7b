// Package custodian keeps one account of the memory and descriptors that clients hold at all addresses of a process, and closes the
// connections that pkg/evictor chooses when they hold too much.
package custodian
