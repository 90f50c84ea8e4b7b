package emulator

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"lovagedeck/pkg/leaf"
	"lovagedeck/pkg/lister"
)

const (
	// ViolationSlots counts requests that arrive at a leaf whose slots are all in use.
	ViolationSlots Violation = "slots"
	// ViolationConnections counts connections opened beyond the connection limit of a leaf.
	ViolationConnections Violation = "connections"
	// ViolationColdStart counts requests beyond the reduced concurrency of a cold leaf, once its first slow answer has shown that it is cold.
	ViolationColdStart Violation = "cold-start"
	// ViolationOutOfService counts requests that reach a data centre or leaf more than outOfServiceGrace after it went out of service.
	ViolationOutOfService Violation = "taken-out"
	// ViolationDuplicateEffect counts repeated executions of a request that is not idempotent.
	ViolationDuplicateEffect Violation = "double-run"
	// ViolationRateLimit counts requests beyond one and a half times the rate that a leaf states, and rateLimitSlack, in
	// rateLimitWindow, from rateLimitGrace after the leaf first stated it.
	ViolationRateLimit Violation = "rate-limit"

	// outOfServiceGrace is the time allowed for requests to stop after a data centre or leaf goes out of service.
	outOfServiceGrace = 3 * time.Second
)

type (
	// Violation is a kind of violation of a leaf's limits.
	Violation string

	// Counts holds the request totals of all leafs.
	Counts struct {
		Received int
		Started  int
		Answered int
		Refused  int
	}

	// Fleet is a set of emulated leafs together with the HTTP server of the platform's leaf list.
	Fleet struct {
		group             conc.WaitGroup
		leafs             []*Leaf
		mu                sync.Mutex
		counts            Counts
		violations        map[Violation]int
		examples          map[Violation]string
		effectRuns        map[string]int
		startedQueries    map[string]bool
		outOfServiceSince map[string]time.Time
		listedStates      map[string]string
		listVersion       int
		server            *fasthttp.Server
		platformAddress   string
		indexVersions     map[string]uint64
		shardCounts       map[string]int
	}
)

// NewFleet starts the leafs of the shapes and the platform's leaf list on free loopback ports.
func NewFleet(seed uint64, shapes ...Shape) (*Fleet, error) {
	return NewFleetAt("127.0.0.1:0", seed, shapes...)
}

// NewFleetAt starts the leafs of the shapes on free loopback ports and serves the platform's leaf list at platformAddress.
func NewFleetAt(platformAddress string, seed uint64, shapes ...Shape) (*Fleet, error) {
	f := &Fleet{
		violations: map[Violation]int{}, examples: map[Violation]string{}, effectRuns: map[string]int{}, startedQueries: map[string]bool{},
		outOfServiceSince: map[string]time.Time{}, listedStates: map[string]string{}, indexVersions: map[string]uint64{}, shardCounts: map[string]int{},
	}
	for _, spec := range allLeafSpecs(shapes) {
		l := newLeaf(spec, f, seed+uint64(len(f.leafs)))
		f.indexVersions[spec.Index] = 1
		f.setShardCount(spec.Service, 1, spec.Shards)
		l.holdings = []leaf.Holding{newHolding(spec, 1)}
		if err := l.listen("127.0.0.1:0"); err != nil {
			f.Close()
			return nil, err
		}
		f.leafs = append(f.leafs, l)
		f.listedStates[spec.ID] = lister.StateLive
	}
	return f, f.startPlatform(platformAddress)
}

// Close stops every leaf and the server of the leaf list, and waits for their goroutines.
func (f *Fleet) Close() {
	for _, l := range f.leafs {
		l.Stop()
	}
	if f.server != nil {
		_ = f.server.Shutdown()
	}
	f.group.Wait()
}

// PlatformURL returns the URL of the platform's leaf list.
func (f *Fleet) PlatformURL() string { return "http://" + f.platformAddress + "/leafs" }

// Leafs returns all leafs in the order of the shapes.
func (f *Fleet) Leafs() []*Leaf { return f.leafs }

// Counts returns the request totals of all leafs since the start.
func (f *Fleet) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// Violations returns the number of violations of each kind.
func (f *Fleet) Violations() map[Violation]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	copied := make(map[Violation]int, len(f.violations))
	for kind, count := range f.violations {
		copied[kind] = count
	}
	return copied
}

// Examples returns the latest example of each kind of violation: the leaf, or the query and shard of a repeated effect.
func (f *Fleet) Examples() map[Violation]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	copied := make(map[Violation]string, len(f.examples))
	for kind, id := range f.examples {
		copied[kind] = id
	}
	return copied
}

// HasStartedQuery reports whether any leaf started a request of the query.
func (f *Fleet) HasStartedQuery(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startedQueries[id]
}

// SetOutOfService sets whether requests to the leafs of a data centre count as violations once outOfServiceGrace has passed.
func (f *Fleet) SetOutOfService(dataCentre string, isOut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.outOfServiceSince, dataCentre)
	if isOut {
		f.outOfServiceSince[dataCentre] = time.Now()
	}
}

// SetListedState changes the state of a leaf in the platform's leaf list; any state but live starts the check for requests to it.
func (f *Fleet) SetListedState(id, state string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listedStates[id] = state
	f.listVersion++
	delete(f.outOfServiceSince, id)
	if state != lister.StateLive {
		f.outOfServiceSince[id] = time.Now()
	}
}

// Publish makes every leaf of the index hold the next version, in addition to the current one if keepsCurrent is set, and returns the new version.
func (f *Fleet) Publish(index string, keepsCurrent bool) uint64 {
	return f.publish(index, keepsCurrent, func(shards int) int { return shards })
}

// Repartition publishes a version with half as many shards per service, keeps the current one and returns the new version.
func (f *Fleet) Repartition(index string) uint64 {
	return f.publish(index, true, func(shards int) int { return max(1, shards/2) })
}

// ShardCount returns the number of shards of a service in a version.
func (f *Fleet) ShardCount(service string, version uint64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shardCounts[shardCountKey(service, version)]
}

func (f *Fleet) publish(index string, keepsCurrent bool, newShardCount func(shards int) int) uint64 {
	f.mu.Lock()
	f.indexVersions[index]++
	version := f.indexVersions[index]
	f.mu.Unlock()
	for _, l := range f.leafs {
		if l.spec.Index != index {
			continue
		}
		shards := newShardCount(l.spec.Shards)
		f.setShardCount(l.spec.Service, version, shards)
		holdings := []leaf.Holding{{Index: index, Version: version, Shard: l.spec.Shard % shards, Shards: shards}}
		if keepsCurrent {
			holdings = append(holdings, l.holdingsOf(version-1)...)
		}
		l.SetHoldings(holdings)
	}
	return version
}

func (f *Fleet) setShardCount(service string, version uint64, shards int) {
	f.mu.Lock()
	f.shardCounts[shardCountKey(service, version)] = shards
	f.mu.Unlock()
}

func shardCountKey(service string, version uint64) string {
	return fmt.Sprintf("%s@%d", service, version)
}

// Find returns the leaf with the given identifier, or false if there is none.
func (f *Fleet) Find(id string) (*Leaf, bool) {
	for _, l := range f.leafs {
		if l.spec.ID == id {
			return l, true
		}
	}
	return nil, false
}

func allLeafSpecs(shapes []Shape) []LeafSpec {
	var leafs []LeafSpec
	for _, shape := range shapes {
		leafs = append(leafs, shape.LeafSpecs()...)
	}
	return leafs
}

func newHolding(spec LeafSpec, version uint64) leaf.Holding {
	return leaf.Holding{Index: spec.Index, Version: version, Shard: spec.Shard, Shards: spec.Shards}
}

func (f *Fleet) updateCounts(change func(*Counts)) {
	f.mu.Lock()
	change(&f.counts)
	f.mu.Unlock()
}

func (f *Fleet) recordViolation(kind Violation, id string) {
	f.mu.Lock()
	f.violations[kind]++
	f.examples[kind] = id
	f.mu.Unlock()
}

func (f *Fleet) checkOutOfService(spec LeafSpec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range []string{spec.DataCentre, spec.ID} {
		since, isOut := f.outOfServiceSince[key]
		if isOut && time.Since(since) > outOfServiceGrace {
			f.violations[ViolationOutOfService]++
			f.examples[ViolationOutOfService] = spec.ID
		}
	}
}

// recordStart counts a request that a leaf starts, and a violation if the request is not idempotent and has already run.
func (f *Fleet) recordStart(request leaf.Request, spec LeafSpec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Started++
	f.startedQueries[request.QueryID] = true
	if !request.IsNonIdempotent {
		return
	}
	key := fmt.Sprintf("%s %s/%d", request.QueryID, spec.Service, spec.Shard)
	f.effectRuns[key]++
	if f.effectRuns[key] > 1 {
		f.violations[ViolationDuplicateEffect]++
		f.examples[ViolationDuplicateEffect] = key
	}
}

func (f *Fleet) startPlatform(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for the platform's leaf list")
	}
	f.platformAddress = listener.Addr().String()
	f.server = &fasthttp.Server{Handler: f.handleLeafList, NoDefaultDate: true}
	f.group.Go(func() { _ = f.server.Serve(listener) })
	return nil
}

func (f *Fleet) handleLeafList(ctx *fasthttp.RequestCtx) {
	list := lister.List{}
	f.mu.Lock()
	list.Version = strconv.Itoa(f.listVersion + 1)
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == list.Version {
		f.mu.Unlock()
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	states := make(map[string]string, len(f.listedStates))
	for id, state := range f.listedStates {
		states[id] = state
	}
	f.mu.Unlock()
	for _, l := range f.leafs {
		list.Leafs = append(list.Leafs, lister.Leaf{
			ID: l.spec.ID, Service: l.spec.Service, DataCentre: l.spec.DataCentre, Address: l.Address(), State: states[l.spec.ID],
		})
	}
	body, err := json.Marshal(list)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
