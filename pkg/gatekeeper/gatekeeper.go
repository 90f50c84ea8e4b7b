// A request is matched to a route and its body is read. It is then sent either
// to one leaf (a plain request) or to one leaf of each shard (a scattered
// query). Every refusal that this instance generates states whether the request
// has run.

package gatekeeper

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"lovagedeck/pkg/accountant"
	"lovagedeck/pkg/aggregator"
	"lovagedeck/pkg/custodian"
	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/hedger"
	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/permitter"
	"lovagedeck/pkg/placer"
	"lovagedeck/pkg/promoter"
	"lovagedeck/pkg/rationer"
	"lovagedeck/pkg/router"
	"lovagedeck/pkg/spreader"
	"lovagedeck/pkg/tabulator"
)

const (
	// maxResponseBytes limits the response body of one upstream.
	maxResponseBytes = 16 << 20
	// defaultBodyMemoryBytes limits the request and response bodies buffered at one time when the instance has no
	// memory limit.
	defaultBodyMemoryBytes = 64 << 20
	// requestBodyShare is the share of the body memory that bodies of requests may use, so that some is left for responses, and largeBodyShare
	// that of bodies of more than smallBodyBytes, so that some is left for ordinary requests.
	requestBodyShare = 7.0 / 8
	largeBodyShare   = 3.0 / 4
	smallBodyBytes   = 32 << 10
	// queryMemoryShare is the share of the body memory that the responses to one query may use.
	queryMemoryShare = 0.25
	// maxHeaderBytes limits the request header, whatever the routing document allows.
	maxHeaderBytes = 64 << 10
	// headerTimeout limits the reading of a request header when the routing document sets no limit.
	headerTimeout = 10 * time.Second
	// defaultMaxBodyBytes limits a request body when the routing document sets no limit.
	defaultMaxBodyBytes = 256 << 10
	// defaultIdleTimeout is how long an idle connection of a caller stays open when the routing document sets no limit.
	defaultIdleTimeout = 60 * time.Second
	// unreadyRetryAfter is the shortest Retry-After sent while the instance does not know its routes.
	unreadyRetryAfter = 200 * time.Millisecond
	// responseMargin is subtracted from the caller's deadline so that the response arrives in time.
	responseMargin = 20 * time.Millisecond
)

type (
	// Headers names the HTTP headers exchanged between callers, instances and upstreams.
	Headers struct {
		exchanger.Headers
		// Proofs names the header that lists the proofs of the parts in a merged response.
		Proofs string
		// Missing names the header that counts the shards without a part in a merged response.
		Missing string
		// Key names the header with the key of a tenant, which no upstream gets. Tenant names the header that states the tenant to
		// upstreams.
		Key    string
		Tenant string
	}

	// Config holds the settings and dependencies of a Gatekeeper.
	Config struct {
		Headers    Headers
		Instance   string
		DataCentre string
		// Budget limits the hedges and retries that all instances together send to a service.
		Budget hedger.RetryLimit
		// CallerRoundTrip is the network time of a request and its response between caller and instance.
		CallerRoundTrip time.Duration
		// BodyMemoryBytes limits the request and response bodies buffered at one time; 0 selects a default.
		BodyMemoryBytes int64
		// Clients keeps the account of the callers' connections; if nil, these have no limit in all.
		Clients *custodian.Custodian
		// Decode parses a routing document.
		Decode func(version uint64, body []byte) (*router.Table, error)
		Dial   func(address string, timeout time.Duration) (net.Conn, error)
		Now    func() time.Duration
		Random *rand.Rand
		Log    logr.Logger
		// PublishObservation sends an observation of a leaf to the other instances; if nil, none is sent.
		PublishObservation func(spreader.Observation)
		// MayBeStale reports whether messages from other instances may have been delayed by a pause of this process; if
		// nil, they never are.
		MayBeStale func() bool
		// HoldsLease reports whether the lease is valid now; if nil, it is while SetControl says so.
		HoldsLease func() bool
		// Peers gather shards for the queries of this instance; if nil, the instance queries all leafs itself.
		Peers *aggregator.Peers
		// PlacementMode says where leafs are compared by the work that they still have to do.
		PlacementMode placer.Mode
		// Permits hands out the permits for leafs that limit their request rate; if nil, this instance alone does.
		Permits Permits
		// Allowances decides on the requests of tenants with an allowance; if nil, this instance alone does.
		Allowances Allowances
	}

	// Gatekeeper serves the callers of one instance.
	Gatekeeper struct {
		config Config
		fleet  *fleet
		// bodyMemory accounts for buffered request and response bodies.
		bodyMemory *exchanger.Quota
		// requestBodies is the part of it for bodies of requests, and largeBodies the part of that for large ones.
		requestBodies, largeBodies *exchanger.Quota
		// slices are the slices that this instance gathers for other instances.
		slices *sliceSet
		// relayed are the requests that this instance serves for others that reach no leaf.
		relayed     *relayedSet
		connections *connTracker
		table       atomic.Pointer[router.Table]
		// drain is nil until the instance drains.
		drain atomic.Pointer[drain]
		// service is done at the end of service. isIntakeClosed is set before, once no request is in progress.
		service        context.Context
		cancelService  context.CancelFunc
		isIntakeClosed atomic.Bool
		// inProgress is the number of requests of callers that have not been answered.
		inProgress atomic.Int64
		hasRoster  atomic.Bool
		// initialized is closed once both routes and leafs are known.
		initialized    chan struct{}
		initializeOnce sync.Once
		server         *http.Server
		metrics        *metrics.Set
		counters       counters
		tenantCounters *tenantCounters
		allowances     Allowances
	}
)

// New returns a gatekeeper without routes and leafs.
func New(config Config) *Gatekeeper {
	if config.BodyMemoryBytes <= 0 {
		config.BodyMemoryBytes = defaultBodyMemoryBytes
	}
	g := &Gatekeeper{
		config: config, metrics: metrics.NewSet(), initialized: make(chan struct{}), bodyMemory: exchanger.NewQuota(config.BodyMemoryBytes, nil), slices: newSliceSet(),
		relayed: newRelayedSet(), connections: newConnTracker(), allowances: config.Allowances,
	}
	g.requestBodies = exchanger.NewQuota(int64(requestBodyShare*float64(config.BodyMemoryBytes)), g.bodyMemory)
	g.largeBodies = exchanger.NewQuota(int64(largeBodyShare*float64(config.BodyMemoryBytes)), g.requestBodies)
	g.bodyMemory.OnFull(func() { config.Clients.Relieve() })
	g.service, g.cancelService = context.WithCancel(context.Background())
	g.counters, g.tenantCounters = newCounters(g.metrics), newTenantCounters(g.metrics)
	exchange := &exchanger.Config{
		Headers: &g.config.Headers.Headers, Dial: config.Dial, MaxResponseBytes: maxResponseBytes, Quota: g.bodyMemory, OnConnect: g.onConnect,
	}
	if config.Permits == nil {
		config.Permits = permitter.New(permitter.Config{Instance: config.Instance, Now: config.Now, Log: config.Log, Service: permitter.NewService(config.Now)})
	}
	if g.allowances == nil {
		g.allowances = accountant.New(accountant.Config{
			Instance: config.Instance, Now: config.Now, Random: func() float64 { return 0 }, Log: config.Log,
			Service: accountant.NewService(rationer.Bounds{}, config.Now),
		})
	}
	g.fleet = newFleet(exchange, config)
	g.fleet.rolloutCounters = newRolloutCounters(g.metrics)
	g.metrics.NewGauge("gatekeeper_reaches_leafs", g.fleet.reachesLeafs)
	g.server = &http.Server{Handler: g, IdleTimeout: defaultIdleTimeout, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: g.connections.onState, ConnContext: withCallerConn}
	g.server.RegisterOnShutdown(g.connections.closeUnused)
	return g
}

// Metrics returns the counters and histograms of the gatekeeper.
func (g *Gatekeeper) Metrics() *metrics.Set { return g.metrics }

// Serve accepts callers from the listener until Shutdown is called, and returns nil after a shutdown.
func (g *Gatekeeper) Serve(listener net.Listener) error {
	err := g.server.Serve(trackedListener{Listener: g.config.Clients.Watch(listener, custodian.CallerShare), limits: g.limits})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// Ready reports whether the instance should receive new callers.
func (g *Gatekeeper) Ready() bool {
	return g.table.Load() != nil && g.hasRoster.Load() && g.drain.Load() == nil
}

// SetView applies a new view from the control instances, and its routing document if that is newer than the current
// one.
func (g *Gatekeeper) SetView(view *tabulator.View) {
	g.fleet.setView(view)
	document := view.Document()
	if current := g.table.Load(); document.Version == 0 || current != nil && current.Version() >= document.Version {
		return
	}
	table, err := g.config.Decode(document.Version, document.Body)
	if err != nil {
		g.config.Log.Error(err, "gatekeeper: cannot decode the routing document", "version", document.Version)
		return
	}
	g.setTable(table)
	g.config.Log.Info("gatekeeper: routes in force", "version", table.Version(), "routes", table.RouteCount(), "revision", view.Revision())
}

func (g *Gatekeeper) setTable(table *router.Table) {
	g.fleet.setTable(table)
	g.allowances.SetTable(table)
	g.table.Store(table)
	g.signalInitialized()
}

// SetRoster applies a list of leafs, unless it was read before the one in use.
func (g *Gatekeeper) SetRoster(roster lister.Roster) {
	if !g.fleet.setRoster(roster) {
		g.config.Log.Info("gatekeeper: list of leafs ignored, since it was read before the one in use", "leafs", len(roster.Leafs),
			"term", roster.Stamp.Term, "sequence", roster.Stamp.Sequence, "age-ms", (g.config.Now() - roster.ReadAt).Milliseconds())
		return
	}
	g.hasRoster.Store(true)
	g.signalInitialized()
	g.config.Log.Info("gatekeeper: list of leafs taken", "leafs", len(roster.Leafs), "term", roster.Stamp.Term,
		"sequence", roster.Stamp.Sequence, "age-ms", (g.config.Now() - roster.ReadAt).Milliseconds())
}

// ConfirmRoster records that the list of leafs with the given stamp was read again at readAt. It reports whether the list in use is that
// one or was read later.
func (g *Gatekeeper) ConfirmRoster(stamp lister.RosterStamp, readAt time.Duration) (isInUse bool) {
	return g.fleet.confirmRoster(stamp, readAt)
}

// RecentRequests returns the number of requests that this instance received within the retry budget window.
func (g *Gatekeeper) RecentRequests() int { return g.fleet.recentRequests() }

// SetTotalRequests sets the number of requests that all instances received within the retry budget window.
func (g *Gatekeeper) SetTotalRequests(total int) { g.fleet.setTotalRequests(total) }

// SetControl sets whether this instance holds its lease, and so hears of changes of a roll-out in time. The loss may be reported late.
func (g *Gatekeeper) SetControl(hasControl bool) { g.fleet.setControl(hasControl) }

// RolloutEvidence returns what this instance has seen of the roll-outs that run.
func (g *Gatekeeper) RolloutEvidence() []promoter.Evidence { return g.fleet.rolloutEvidence() }

// ApplyObservations applies other instances' observations of leafs and of instances that gather shards.
func (g *Gatekeeper) ApplyObservations(observations []spreader.Observation) {
	g.fleet.applyObservations(observations)
}

// ServeHTTP serves one request of a caller.
func (g *Gatekeeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inProgress.Add(1)
	defer g.inProgress.Add(-1)
	g.serveCaller(w, r)
	g.discardBody(w, r)
	g.flushIfDraining(w)
}

func (g *Gatekeeper) serveCaller(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	isKept := countOnConnection(r)
	id := r.Header.Get(g.config.Headers.RequestID)
	client := clientOf(r)
	if err := client.Run(); err != nil {
		g.refuseForMemory(w, r, id, err)
		return
	}
	table := g.table.Load()
	if table == nil || !g.hasRoster.Load() {
		if table = g.awaitInitialization(w, r, id); table == nil {
			return
		}
	}
	route, ok := table.Match(r.Host, targetPath(r.RequestURI))
	if !ok {
		g.refuse(w, refusal{id: id, status: http.StatusNotFound, reason: "no route", version: table.Version()})
		return
	}
	identity, reason := g.identify(table, route, r.Header)
	if reason != "" {
		g.refuse(w, refusal{id: id, route: route.Name(), status: http.StatusUnauthorized, reason: reason, version: table.Version()})
		return
	}
	if id == "" {
		g.refuse(w, refusal{status: http.StatusBadRequest, reason: "no request id", version: table.Version()})
		return
	}
	if limit := table.Limits().MaxHeaderBytes; limit > 0 && headBytes(r) > limit {
		g.refuse(w, refusal{id: id, route: route.Name(), status: http.StatusRequestHeaderFieldsTooLarge, reason: "the request head is too large", version: table.Version()})
		return
	}
	deadline := arrived.Add(callerTimeout(r.Header, g.config.Headers.RemainingTime))
	stopping := refusal{id: id, route: route.Name(), version: table.Version(), callerTimeout: deadline.Sub(arrived)}
	if !g.takes(route, arrived, deadline) {
		g.refuseStopping(w, r, stopping)
		return
	}
	reserved := bodyReservation(r, maxBodyBytes(table))
	quota := g.bodyQuota(reserved)
	if !client.AwaitQuota(func() bool { return quota.Reserve(reserved) }) {
		abandonBody(w, r)
		g.refuse(w, refusal{id: id, status: http.StatusServiceUnavailable, retryAfter: overloadRetryAfter, reason: "no memory is left for bodies", version: table.Version()})
		return
	}
	defer quota.Release(reserved)
	allowance := g.askAllowance(identity, table.Version())
	g.logIfDraining(r, id, route, isKept)
	body, err := g.readBody(w, r, maxBodyBytes(table), deadline)
	if err != nil {
		g.handleBodyError(w, r, id, err)
		return
	}
	if len(body) > 0 && !g.takes(route, arrived, deadline) {
		stopping.took = time.Since(arrived)
		g.refuseStopping(w, r, stopping)
		return
	}
	in := g.newInboundRequest(r, id, arrived, table, route, identity, body)
	if in.tenant != nil {
		defer g.tenantCounters.of(in.tenantName()).begin(in)()
	}
	if !g.awaitAllowance(w, r, in, allowance) {
		return
	}
	g.serveOrRelay(r.Context(), w, in)
}

// serveOrRelay serves the request, or has another instance serve it.
func (g *Gatekeeper) serveOrRelay(ctx context.Context, w http.ResponseWriter, in *inboundRequest) {
	if servesItself, isCutOff := g.fleet.servesItself(); !servesItself {
		if g.relay(ctx, w, in, priorAttempts{}) {
			return
		}
		in.isCounted = true
		if isCutOff {
			g.refuseCutOff(w, in)
			return
		}
	}
	g.serve(ctx, w, in)
}

// serve sends the request to leafs and writes the response.
func (g *Gatekeeper) serve(ctx context.Context, w http.ResponseWriter, in *inboundRequest) {
	if in.route.Scatters() {
		g.scatter(ctx, w, in)
		return
	}
	g.servePlain(ctx, w, in)
}

func (g *Gatekeeper) newInboundRequest(r *http.Request, id string, arrived time.Time, table *router.Table, route *router.Route, identity identity, body []byte) *inboundRequest {
	headers := &g.config.Headers
	deadline := arrived.Add(callerTimeout(r.Header, headers.RemainingTime))
	return &inboundRequest{
		id: id, arrivedAt: arrived, route: route, version: table.Version(), deadline: deadline, identity: identity,
		request: exchanger.Request{
			ID: id, Head: requestHead(r, headers, identity, table.HasTenants(), body), Body: body, HasNoResponseBody: r.Method == http.MethodHead,
			Deadline: deadline, IsNonIdempotent: !route.Idempotent(), MaxPermitWait: maxPermitWait(route),
		},
	}
}

func (g *Gatekeeper) onConnect(address string, took time.Duration, err error) {
	if err != nil {
		g.counters.connectionsFailed.Inc()
		g.config.Log.V(1).Info("gatekeeper: connection to upstream failed", "address", address, "took-ms", took.Milliseconds(), "error", err.Error())
		return
	}
	g.counters.connectionsOpened.Inc()
	g.fleet.onConnected()
}

// formatSeconds formats a duration as decimal seconds for a Retry-After header.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
