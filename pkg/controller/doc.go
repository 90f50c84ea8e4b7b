// Package controller replicates the table of weights, limits and members among control instances, grants leases to entry
// instances and provides the client through which an entry instance renews its lease and submits commands.
package controller
