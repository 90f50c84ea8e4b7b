// Package tabulator applies the replicated log to the table of weights and limits, the data centre states, the routing
// document and the membership, and derives the views that entry instances act on.
package tabulator
