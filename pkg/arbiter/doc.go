// Package arbiter decides which queries and plain requests are turned away at once while the leafs have room for a part of them only.
//
// Load pattern: a burst of queries, or the loss of a data centre's leafs, brings each leaf more requests than it can queue. It refuses one
// in four, and since a query needs nearly all of its shards, nearly every query fails after its work has been done. Turning away a part of
// the queries before anything is sent lets the others be served.
//
// It decides on plain requests as well. Load pattern: more requests to a service than its leafs can work on, from one tenant or from all, or
// the loss of leafs. Requests wait in the queues of the leafs in the order of their arrival until these refuse or the time of the callers runs
// out, whoever caused it.
package arbiter
