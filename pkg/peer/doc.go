// Package peer exchanges requests, cancellations and replies with other entry instances, batched over net/rpc.
package peer
