// While the leafs of the shards have room for a part of the queries only, the
// instances that gather them tell the others of the data centre how much, and
// these turn the rest away before anything is sent.

package gatekeeper

import (
	"math"
	"strings"
	"time"

	"lovagedeck/pkg/arbiter"
	"lovagedeck/pkg/router"
	"lovagedeck/pkg/spreader"
)

const (
	// roomPrefix marks observations of the room that an instance measured as gatherer, as opposed to leafs.
	roomPrefix = "room:"
	// roomInterval is the least time between two observations of room, and roomStep the least change that is told earlier.
	roomInterval = 200 * time.Millisecond
	roomStep     = 0.1
	// reasonNoRoom is the reason of a refusal because leafs have room for a part of the queries only.
	reasonNoRoom = "the leafs have room for a part of the queries only"
)

// turnedAway is why a request is refused of which nothing was sent, or nothing has run, and when it can be repeated.
type turnedAway struct {
	reason     string
	retryAfter time.Duration
	// details are further keys and values of the log line.
	details []any
}

// applyTo changes a refusal to the one for lack of room.
func (t *turnedAway) applyTo(r *refusal) {
	if t != nil {
		r.reason, r.retryAfter, r.details = t.reason, t.retryAfter, t.details
	}
}

// room holds what this instance measured as gatherer, and what it knows of other gatherers.
type room struct {
	meter arbiter.Meter
	board *arbiter.Board
	// competitions holds the services whose requests compete.
	competitions map[string]router.Competition
	toldAt       time.Duration
	toldShare    float64
}

func newRoom() room { return room{board: arbiter.NewBoard(), toldShare: 1} }

// setCompetitions applies a new routing table.
func (r *room) setCompetitions(table *router.Table) {
	r.competitions = map[string]router.Competition{}
	for name, competition := range table.Competitions() {
		if competition.Competes() {
			r.competitions[name] = competition
		}
	}
}

// measureRoom records the end of a request for a shard and tells the other instances of the data centre what has changed.
func (f *fleet) measureRoom(service string, isRefused bool, now time.Duration) {
	if _, competes := f.room.competitions[service]; !competes || !f.assignment.plan.IsPrimary(f.self, service) {
		return
	}
	f.room.meter.OnEnd(isRefused, now)
	share := f.room.meter.Share(now)
	f.room.board.Apply(f.self, share, now, now)
	isDue := share < 1 && now-f.room.toldAt >= roomInterval
	if f.publish == nil || !isDue && math.Abs(share-f.room.toldShare) < roomStep {
		return
	}
	f.room.toldAt, f.room.toldShare = now, share
	f.publish(spreader.Observation{Leaf: roomPrefix + f.self, FailureRate: 1 - share, SeenAt: now})
}

// applyRoom applies another instance's observation of room and reports whether it is one.
func (f *fleet) applyRoom(observation spreader.Observation, now time.Duration) bool {
	instance, isRoom := strings.CutPrefix(observation.Leaf, roomPrefix)
	if isRoom {
		f.room.board.Apply(instance, 1-observation.FailureRate, observation.SeenAt, now)
	}
	return isRoom
}

// judge decides whether a query is admitted whose shards are handed to the gatherers of the groups. It returns the share of the queries
// that they have room for as well.
func (f *fleet) judge(in *inboundRequest, groups map[string][]int, now time.Duration) (verdict arbiter.Verdict, share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	share, competition, competes := f.roomFor(in.route, groups, now)
	if !competes {
		return arbiter.Verdict{IsAdmitted: true, Chance: 1}, 1
	}
	query := arbiter.Query{Rank: max(0, in.priority()-competition.TopPriority), Usage: in.allowanceUsage, Left: time.Until(in.deadline)}
	return arbiter.Judge(share, query, f.random.Float64(), f.random.Float64()), share
}

// roomFor returns the share of the queries that the gatherers of the groups have room for, and false if queries of the route do not
// compete there.
func (f *fleet) roomFor(route *router.Route, groups map[string][]int, now time.Duration) (share float64, competition router.Competition, competes bool) {
	competition, competes = f.room.competitions[route.Shards()[0]]
	if !competes || len(groups) == 0 {
		return 1, competition, false
	}
	gatherers := make([]string, 0, len(groups)+1)
	for instance := range groups {
		gatherers = append(gatherers, instance)
	}
	gatherers = append(gatherers, f.self)
	dispensable := 1 - float64(route.MinParts())/float64(len(route.Shards()))
	return f.room.board.Share(gatherers, dispensable, now), competition, true
}

// turnAway decides whether the query is turned away, because the leafs have no room for it.
func (q *query) turnAway(groups map[string][]int) bool {
	verdict, share := q.gate.fleet.judge(q.in, groups, q.gate.config.Now())
	if verdict.IsAdmitted {
		return false
	}
	q.turnedAway = &turnedAway{
		reason: reasonNoRoom, retryAfter: verdict.RetryAfter,
		details: []any{"priority", q.in.priority(), "usage", q.in.allowanceUsage, "room", share, "chance", verdict.Chance, "tenant", q.in.tenantName()},
	}
	return true
}
