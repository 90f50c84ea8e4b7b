// A slice is a subset of the shards of one query that another instance gathers:
//
//	Gather {ID:7 From:"front-a-1" Request:"9c41" Services:["s1","s2"] Due:47ms}   returns the first report
//	More   {ID:7 From:"front-a-1"}                                                returns the next report
//	Drop   {ID:7 From:"front-a-1" Cut:true}                                       ends the slice
//
// A report has the merged records and the proofs of the parts received since
// the previous one. Before the first More only one leaf of each shard is tried,
// because the instance that handed over the slice may already have given up on
// it and sent the requests itself. More permits all attempts.
//
// An instance that reaches no leaf has another one serve whole requests:
//
//	Relay       {ID:8 From:"front-a-2" Request:"77c0" Route:{...} CallerLeft:790ms}   returns the response
//	CancelRelay {ID:8 From:"front-a-2"}                                               the caller has left

package aggregator

import (
	"time"

	"lovagedeck/pkg/retrier"
	"lovagedeck/pkg/router"
)

type (
	// SliceQuery asks an instance to gather some shards of one query.
	SliceQuery struct {
		// ID is unique among the slices of the instance From.
		ID   uint64
		From string
		// Request is the request ID given by the caller.
		Request string
		// Head is the request line and the headers shared by all attempts, Body the complete request body.
		Head []byte
		Body []byte
		// RouteName, Host and Prefix identify the route, Version the routing document that the shards are taken from.
		RouteName string
		Host      string
		Prefix    string
		Version   uint64
		Services  []string
		// Attempts is the maximum number of attempts per shard.
		Attempts int
		// Records is the number of records in the merged result.
		Records int
		// MinParts is the share of this slice in the minimum number of parts that the query needs.
		MinParts  int
		Objective time.Duration
		// Due, LateUntil and GiveUp are the soft, late and final deadlines of the query, and CallerLeft that of its caller. All
		// are relative to the time of sending.
		Due        time.Duration
		LateUntil  time.Duration
		GiveUp     time.Duration
		CallerLeft time.Duration
		// ReportTimeout is the time after which the instance counts as unresponsive without a first report. Former builds do not
		// state it.
		ReportTimeout time.Duration
		// Tenant is the holder of the caller's key, and Key the digest of that key. Both are empty without a tenant, and from former
		// builds.
		Tenant string
		Key    []byte
	}

	// SliceID identifies a slice.
	SliceID struct {
		ID   uint64
		From string
	}

	// DropQuery ends a slice. If Cut is set, the attempts at the leafs are cancelled as well.
	DropQuery struct {
		SliceID
		Cut bool
	}

	// PendingShard is a shard whose part has not been received yet.
	PendingShard struct {
		// Shard is the index of the shard in SliceQuery.Services.
		Shard int
		// Leafs names the leafs that requests were sent to.
		Leafs string
		// Lost is set if no attempts are left.
		Lost bool
		// PermitWait is the time until a leaf of a lost shard may take a request within its rate limit, or 0.
		PermitWait time.Duration
	}

	// Report is the partial result of a slice since the previous report.
	Report struct {
		// NotRun is the reason why the slice was refused, or empty if it was accepted.
		NotRun string
		// Parts are the indices of the shards whose parts are merged into Records. Proofs are the proofs of these parts.
		Parts   []int
		Proofs  []string
		Records []byte
		Open    []PendingShard
		// Extra is the number of retries and hedges of the whole slice so far, OverBudget the number that the budget did not allow.
		Extra      int
		OverBudget int
		// Final is set in the last report.
		Final bool
		// Leaving is set if the instance is draining.
		Leaving bool
		// IsCutOff is set if the instance reaches no leaf any more. The shards without a part may have been sent to leafs.
		IsCutOff bool
	}

	// RelayQuery asks an instance to serve a request of another instance's caller. The instance must not relay it further.
	RelayQuery struct {
		// ID is unique among the slices and relayed requests of the instance From.
		ID   uint64
		From string
		// Request is the request ID given by the caller.
		Request string
		// Head is the request line and the headers shared by all attempts, Body the complete request body.
		Head []byte
		Body []byte
		// HasNoResponseBody is set if the response has no body regardless of its headers, as for HEAD.
		HasNoResponseBody bool
		// Route is the route of the request in the routing document of the given version.
		Route   router.RouteFields
		Version uint64
		// Elapsed is the time since the request arrived, CallerLeft the time until its caller stops waiting.
		Elapsed    time.Duration
		CallerLeft time.Duration
		// UsedAttempts is the number of attempts, for each shard, that leafs may have run already.
		UsedAttempts int
		// Progress is what is known of all attempts so far. Former builds do not state it.
		Progress retrier.Progress
		// IsCounted is set if the request has been counted for the retry budget of its services.
		IsCounted bool
		// Tenant is the holder of the caller's key, and Key the digest of that key. Both are empty without a tenant, and from former
		// builds.
		Tenant string
		Key    []byte
	}

	// RelayReply is the response to a relayed request.
	RelayReply struct {
		// NotRun is the reason why the request was not served and has not run, or empty.
		NotRun string
		// TakesNoWork is set if the instance serves no requests of other instances for now.
		TakesNoWork bool
		// IsCutOff is set if the instance reached no leaf any more before it had a response. The request may have run.
		IsCutOff bool
		// UsedAttempts is the number of further attempts, for each shard, that leafs may have run if IsCutOff is set.
		UsedAttempts int
		// Progress is what is known of the attempts of the instance. Former builds do not state it.
		Progress retrier.Progress
		Status   int
		Header   map[string][]string
		Body     []byte
	}
)

// SliceID returns the identifier of the slice.
func (q SliceQuery) SliceID() SliceID { return SliceID{ID: q.ID, From: q.From} }

// RelayID returns the identifier of the relayed request.
func (q RelayQuery) RelayID() SliceID { return SliceID{ID: q.ID, From: q.From} }

// History returns what is known of the attempts before the request was relayed. Former builds state only how many may have run.
func (q RelayQuery) History() retrier.History {
	var history retrier.History
	if q.Progress == retrier.Unknown && q.UsedAttempts == 0 {
		return history
	}
	return history.WithAttempts(q.Progress, q.UsedAttempts)
}

// Known returns what is known of the attempts of the instance that replied. Of those of a former build, only its statement that it did
// not run the request counts.
func (r RelayReply) Known() retrier.Progress {
	if r.NotRun != "" && r.Progress.MayHaveRun() {
		return retrier.NotSent
	}
	return r.Progress
}
