// A slice is some shards of one query, which another instance gathers:
//
//	Gather {ID:7 From:"front-a-1" Request:"9c41" Services:["s1","s2"] Due:47ms}   returns at the first report
//	More   {ID:7 From:"front-a-1"}                                                returns at the next one
//	Drop   {ID:7 From:"front-a-1" Cut:true}                                       ends it
//
// A report has the merged records and the proofs of the parts that came since
// the last one. Until More is called one leaf of each shard is asked: who asked
// for the slice may have taken it back by then. More grants all attempts.

package aggregator

import "time"

type (
	// SliceQuery asks for shards of one query.
	SliceQuery struct {
		// ID is the number of the slice at the instance From.
		ID   uint64
		From string
		// Request is the caller's identifier of the query.
		Request string
		// Head is the request line and the headers that all attempts share, Body the whole body.
		Head []byte
		Body []byte
		// RouteName, Host and Prefix name the route, Version the routing document that the shards are from.
		RouteName string
		Host      string
		Prefix    string
		Version   uint64
		Services  []string
		// Attempts is how many leafs of one shard may be asked.
		Attempts int
		// Records is how many records the answer holds.
		Records int
		// MinParts is how many of the shards the answer needs at least, where the others fare alike.
		MinParts  int
		Objective time.Duration
		// Due, LateUntil and GiveUp are the times of the query, CallerLeft how long the caller still waits, from now on.
		Due        time.Duration
		LateUntil  time.Duration
		GiveUp     time.Duration
		CallerLeft time.Duration
	}

	// SliceID names a slice.
	SliceID struct {
		ID   uint64
		From string
	}

	// DropQuery ends a slice; Cut ends the work at the leafs as well.
	DropQuery struct {
		SliceID
		Cut bool
	}

	// OpenShard is a shard of which no part came yet.
	OpenShard struct {
		// Shard is its place among the services of the slice.
		Shard int
		// Leafs names the leafs that were asked.
		Leafs string
		// Lost tells that no further attempt is possible.
		Lost bool
	}

	// Report is what came of a slice since the last report.
	Report struct {
		// NotRun is why nothing was done; empty where the slice was taken.
		NotRun string
		// Parts are the places of the shards whose parts are in Records, and Proofs their proofs.
		Parts   []int
		Proofs  []string
		Records []byte
		Open    []OpenShard
		// Extra counts the repeated requests of the whole slice so far, OverBudget those that the budget did not allow.
		Extra      int
		OverBudget int
		// Final tells that nothing more comes.
		Final bool
		// Leaving tells that the instance is about to stop.
		Leaving bool
	}
)

// Name returns the name of the slice.
func (q SliceQuery) Name() SliceID { return SliceID{ID: q.ID, From: q.From} }
