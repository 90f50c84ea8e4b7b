// Package fellow exchanges requests, cancellations and replies with other entry instances, batched over net/rpc.
package fellow
