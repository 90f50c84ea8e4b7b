// Package controller is the control side of the tier: servers that replicate the table, and the client through which an entry instance holds its lease.
package controller
