// Package petitioner passes demands to the one entry instance that is responsible for their subject. Demands that come while a call to
// an instance is in progress go into the next call to it.
package petitioner
