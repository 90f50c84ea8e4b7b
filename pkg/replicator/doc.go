// Package replicator replicates a log among the control instances with the Raft algorithm. It performs no I/O and reads no clock:
// the caller passes in messages and the time, and carries out the resulting Output.
package replicator
