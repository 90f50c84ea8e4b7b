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
	// BreachSlots counts requests beyond the slots of a leaf.
	BreachSlots Breach = "slots"
	// BreachConnections counts connections beyond the limit of a leaf.
	BreachConnections Breach = "connections"
	// BreachCold counts requests beyond the capacity of a cold leaf, after it showed that it is cold.
	BreachCold Breach = "cold-start"
	// BreachTakenOut counts requests to a data centre or leaf well after it was taken out.
	BreachTakenOut Breach = "taken-out"
	// BreachDoubleRun counts effects that ran twice.
	BreachDoubleRun Breach = "double-run"

	takenOutTolerance = 3 * time.Second
)

type (
	// Breach is a kind of breach of a leaf's limits.
	Breach string

	// Counts is what the leafs received and did.
	Counts struct {
		Received int
		Started  int
		Answered int
		Refused  int
	}

	// Fleet is a set of emulated leafs with the platform's list of them.
	Fleet struct {
		group    conc.WaitGroup
		leafs    []*Leaf
		mu       sync.Mutex
		counts   Counts
		breaches map[Breach]int
		examples map[Breach]string
		effects  map[string]int
		queries  map[string]bool
		takenOut map[string]time.Time
		listed   map[string]string
		version  int
		server   *fasthttp.Server
		address  string
		indexes  map[string]uint64
		shards   map[string]int
	}
)

// NewFleet starts the leafs of the shapes on loopback addresses.
func NewFleet(seed uint64, shapes ...Shape) (*Fleet, error) {
	return NewFleetAt("127.0.0.1:0", seed, shapes...)
}

// NewFleetAt starts the leafs of the shapes, with the platform's list at the given address.
func NewFleetAt(platformAddress string, seed uint64, shapes ...Shape) (*Fleet, error) {
	f := &Fleet{
		breaches: map[Breach]int{}, examples: map[Breach]string{}, effects: map[string]int{}, queries: map[string]bool{},
		takenOut: map[string]time.Time{}, listed: map[string]string{}, indexes: map[string]uint64{}, shards: map[string]int{},
	}
	for _, leafSpec := range allLeafs(shapes) {
		l := newLeaf(leafSpec, f, seed+uint64(len(f.leafs)))
		f.indexes[leafSpec.Index] = 1
		f.setShards(leafSpec.Service, 1, leafSpec.Shards)
		l.versions = []leaf.Holding{holding(leafSpec, 1)}
		if err := l.listen("127.0.0.1:0"); err != nil {
			f.Close()
			return nil, err
		}
		f.leafs = append(f.leafs, l)
		f.listed[leafSpec.ID] = lister.StateLive
	}
	return f, f.servePlatform(platformAddress)
}

// Close stops every leaf and the platform.
func (f *Fleet) Close() {
	for _, l := range f.leafs {
		l.Stop()
	}
	if f.server != nil {
		_ = f.server.Shutdown()
	}
	f.group.Wait()
}

// Platform returns the address of the platform's list.
func (f *Fleet) Platform() string { return "http://" + f.address + "/leafs" }

// Leafs returns the leafs.
func (f *Fleet) Leafs() []*Leaf { return f.leafs }

// Counts returns what the leafs received and did so far.
func (f *Fleet) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// Breaches returns how often each kind of breach was seen.
func (f *Fleet) Breaches() map[Breach]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	copied := make(map[Breach]int, len(f.breaches))
	for kind, count := range f.breaches {
		copied[kind] = count
	}
	return copied
}

// Examples returns a leaf for each kind of breach that was seen.
func (f *Fleet) Examples() map[Breach]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	copied := make(map[Breach]string, len(f.examples))
	for kind, id := range f.examples {
		copied[kind] = id
	}
	return copied
}

// StartedQuery tells whether any leaf started a part of the query.
func (f *Fleet) StartedQuery(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.queries[id]
}

// TakeOut starts the watch for new work in a data centre, or ends it.
func (f *Fleet) TakeOut(dataCentre string, out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.takenOut, dataCentre)
	if out {
		f.takenOut[dataCentre] = time.Now()
	}
}

// List changes the state of a leaf in the platform's list.
func (f *Fleet) List(id, state string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed[id] = state
	f.version++
	delete(f.takenOut, id)
	if state != lister.StateLive {
		f.takenOut[id] = time.Now()
	}
}

// Publish makes every leaf of the index hold the next version, and the present one too when keep is set; it returns the new version.
func (f *Fleet) Publish(index string, keep bool) uint64 {
	return f.publish(index, keep, func(shards int) int { return shards })
}

// Repartition publishes a version with half as many shards for each service, and keeps the present one.
func (f *Fleet) Repartition(index string) uint64 {
	return f.publish(index, true, func(shards int) int { return max(1, shards/2) })
}

// ShardsOf returns the shard count of a service in a version.
func (f *Fleet) ShardsOf(service string, version uint64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shards[shardKey(service, version)]
}

func (f *Fleet) publish(index string, keep bool, partition func(shards int) int) uint64 {
	f.mu.Lock()
	f.indexes[index]++
	version := f.indexes[index]
	f.mu.Unlock()
	for _, l := range f.leafs {
		if l.spec.Index != index {
			continue
		}
		shards := partition(l.spec.Shards)
		f.setShards(l.spec.Service, version, shards)
		holdings := []leaf.Holding{{Index: index, Version: version, Shard: l.spec.Shard % shards, Shards: shards}}
		if keep {
			holdings = append(holdings, l.holdingsOf(version-1)...)
		}
		l.SetVersions(holdings)
	}
	return version
}

func (f *Fleet) setShards(service string, version uint64, shards int) {
	f.mu.Lock()
	f.shards[shardKey(service, version)] = shards
	f.mu.Unlock()
}

func shardKey(service string, version uint64) string {
	return fmt.Sprintf("%s@%d", service, version)
}

// Find returns the leaf with the given identifier.
func (f *Fleet) Find(id string) (*Leaf, bool) {
	for _, l := range f.leafs {
		if l.spec.ID == id {
			return l, true
		}
	}
	return nil, false
}

func allLeafs(shapes []Shape) []LeafSpec {
	var leafs []LeafSpec
	for _, shape := range shapes {
		leafs = append(leafs, shape.Leafs()...)
	}
	return leafs
}

func holding(spec LeafSpec, version uint64) leaf.Holding {
	return leaf.Holding{Index: spec.Index, Version: version, Shard: spec.Shard, Shards: spec.Shards}
}

func (f *Fleet) count(change func(*Counts)) {
	f.mu.Lock()
	change(&f.counts)
	f.mu.Unlock()
}

func (f *Fleet) breach(kind Breach, id string) {
	f.mu.Lock()
	f.breaches[kind]++
	f.examples[kind] = id
	f.mu.Unlock()
}

func (f *Fleet) checkTakenOut(spec LeafSpec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range []string{spec.DataCentre, spec.ID} {
		since, out := f.takenOut[key]
		if out && time.Since(since) > takenOutTolerance {
			f.breaches[BreachTakenOut]++
			f.examples[BreachTakenOut] = spec.ID
		}
	}
}

// onStart counts a request that a leaf starts, and its effect where it has one.
func (f *Fleet) onStart(request leaf.Request, spec LeafSpec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Started++
	f.queries[request.QueryID] = true
	if !request.IsNonIdempotent {
		return
	}
	key := fmt.Sprintf("%s %s/%d", request.QueryID, spec.Service, spec.Shard)
	f.effects[key]++
	if f.effects[key] > 1 {
		f.breaches[BreachDoubleRun]++
		f.examples[BreachDoubleRun] = key
	}
}

func (f *Fleet) servePlatform(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "emulate the platform")
	}
	f.address = listener.Addr().String()
	f.server = &fasthttp.Server{Handler: f.handlePlatform, NoDefaultDate: true}
	f.group.Go(func() { _ = f.server.Serve(listener) })
	return nil
}

func (f *Fleet) handlePlatform(ctx *fasthttp.RequestCtx) {
	list := lister.List{}
	f.mu.Lock()
	list.Version = strconv.Itoa(f.version + 1)
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == list.Version {
		f.mu.Unlock()
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	states := make(map[string]string, len(f.listed))
	for id, state := range f.listed {
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
