// Package tabulator is the replicated state machine: the table of weights and limits, the data centre states and the membership.
package tabulator
