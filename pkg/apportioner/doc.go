// Package apportioner divides the memory limit of a process among its uses.
package apportioner
