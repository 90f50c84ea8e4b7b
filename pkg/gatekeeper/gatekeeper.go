// A request passes these steps: route, body, then either one leaf (plain) or
// one leaf of each shard (scatter), then the answer. Every refusal of this
// instance states whether the request has run.

package gatekeeper

import (
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

	"lovagedeck/pkg/aggregator"
	"lovagedeck/pkg/exchanger"
	"lovagedeck/pkg/hedger"
	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/router"
	"lovagedeck/pkg/spreader"
	"lovagedeck/pkg/tabulator"
)

const (
	// maxAnswer bounds the body of one upstream's answer, in bytes.
	maxAnswer = 16 << 20
	// defaultHeldBytes bounds the bodies that are held at one time where the instance has no memory limit.
	defaultHeldBytes = 64 << 20
	// queryShare is the part of them that the answers to one query may take.
	queryShare = 0.25
	// maxHeader bounds the head of a request, in bytes: four times what the routing documents of today allow.
	maxHeader = 64 << 10
	// headerTimeout bounds the reading of a head: three times what the routing documents of today allow.
	headerTimeout = 10 * time.Second
	// defaultBody bounds a request body before the first routing document, in bytes.
	defaultBody = 256 << 10
	// defaultIdle is how long an idle connection of a caller is kept before the first routing document.
	defaultIdle = 60 * time.Second
	// retryUnready is the shortest time after which a caller may come back to an instance that does not know its routes yet.
	retryUnready = 200 * time.Millisecond
	// answerMargin is taken off the caller's deadline, so that the answer reaches it in time.
	answerMargin = 20 * time.Millisecond
)

type (
	// Headers names the headers that callers, instances and upstreams exchange.
	Headers struct {
		exchanger.Headers
		// Proofs lists the proofs of the parts in a merged answer.
		Proofs string
		// Missing counts the shards that a merged answer lacks.
		Missing string
	}

	// Config is what a Gatekeeper needs of its instance.
	Config struct {
		Headers    Headers
		Instance   string
		DataCentre string
		// Budget bounds the repeated requests that a service gets from all instances together.
		Budget hedger.SharedBound
		// Travel is the time that a caller's request and its answer spend on the way, together.
		Travel time.Duration
		// HeldBytes bounds the bodies of requests and answers that are held at one time; 0 is a default.
		HeldBytes int64
		// Decode reads a routing document.
		Decode func(version uint64, body []byte) (*router.Table, error)
		Dial   func(address string, timeout time.Duration) (net.Conn, error)
		Now    func() time.Duration
		Random *rand.Rand
		Log    logr.Logger
		// Tell takes what this instance saw of a leaf, for the others; nil tells nobody.
		Tell func(spreader.Observation)
		// Stale tells whether what other instances sent may have waited while the process was paused; nil never does.
		Stale func() bool
		// Peers gather shards of this instance's queries; nil lets it ask all leafs itself.
		Peers *aggregator.Peers
	}

	// Gatekeeper serves the callers of one instance.
	Gatekeeper struct {
		config Config
		fleet  *fleet
		// held counts the bodies of requests and answers.
		held *exchanger.Meter
		// slices are what this instance gathers for others.
		slices      *sliceSet
		connections *connTracker
		table       atomic.Pointer[router.Table]
		draining    atomic.Bool
		listed      atomic.Bool
		// started is closed once routes and leafs are known.
		started   chan struct{}
		startOnce sync.Once
		server    *http.Server
		metrics   *metrics.Set
		counters  counters
	}
)

// New returns a gatekeeper that knows no route yet.
func New(config Config) *Gatekeeper {
	if config.HeldBytes <= 0 {
		config.HeldBytes = defaultHeldBytes
	}
	g := &Gatekeeper{
		config: config, metrics: metrics.NewSet(), started: make(chan struct{}), held: exchanger.NewMeter(config.HeldBytes, nil), slices: newSliceSet(),
		connections: newConnTracker(),
	}
	g.counters = newCounters(g.metrics)
	exchange := &exchanger.Config{
		Headers: &g.config.Headers.Headers, Dial: config.Dial, MaxAnswer: maxAnswer, Meter: g.held, OnConnect: g.onConnect,
	}
	g.fleet = newFleet(exchange, config)
	g.server = &http.Server{Handler: g, IdleTimeout: defaultIdle, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader, ConnState: g.connections.onState}
	return g
}

// Metrics returns the counters and histograms of the gatekeeper.
func (g *Gatekeeper) Metrics() *metrics.Set { return g.metrics }

// Serve takes callers from the listener until Shutdown.
func (g *Gatekeeper) Serve(listener net.Listener) error {
	err := g.server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// Ready tells whether new callers should come here.
func (g *Gatekeeper) Ready() bool {
	return g.table.Load() != nil && g.listed.Load() && !g.draining.Load()
}

// Drain asks callers to leave: readiness ends and each answer closes its connection.
func (g *Gatekeeper) Drain() { g.draining.Store(true) }

// SetView takes the newest view of the control instances.
func (g *Gatekeeper) SetView(view *tabulator.View) {
	g.fleet.setView(view)
	document := view.Document()
	if present := g.table.Load(); document.Version == 0 || present != nil && present.Version() >= document.Version {
		return
	}
	table, err := g.config.Decode(document.Version, document.Body)
	if err != nil {
		g.config.Log.Error(err, "gatekeeper: the routing document cannot be read", "version", document.Version)
		return
	}
	g.setTable(table)
	g.config.Log.Info("gatekeeper: routes in force", "version", table.Version(), "routes", table.RouteCount(), "revision", view.Revision())
}

func (g *Gatekeeper) setTable(table *router.Table) {
	g.fleet.setTable(table)
	g.table.Store(table)
	g.noteStart()
}

// SetRoster takes the newest list of leafs.
func (g *Gatekeeper) SetRoster(roster lister.Roster) {
	g.fleet.setRoster(roster)
	g.listed.Store(true)
	g.noteStart()
	g.config.Log.Info("gatekeeper: list of leafs taken", "leafs", len(roster.Leafs), "term", roster.Stamp.Term,
		"sequence", roster.Stamp.Sequence, "age-ms", roster.Age.Milliseconds())
}

// Requests returns how many requests came within the window of the retry budget.
func (g *Gatekeeper) Requests() int { return g.fleet.requests() }

// SetAllRequests takes how many requests came to all instances within the window of the retry budget.
func (g *Gatekeeper) SetAllRequests(all int) { g.fleet.setAllRequests(all) }

// TakeObservations takes what other instances saw of leafs.
func (g *Gatekeeper) TakeObservations(observations []spreader.Observation) {
	g.fleet.takeObservations(observations)
}

// ServeHTTP serves one request of a caller.
func (g *Gatekeeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := r.Header.Get(g.config.Headers.RequestID)
	table := g.table.Load()
	if table == nil || !g.listed.Load() {
		if table = g.awaitStart(w, r, id); table == nil {
			return
		}
	}
	route, ok := table.Match(r.Host, targetPath(r.RequestURI))
	if !ok {
		g.refuse(w, refusal{id: id, status: http.StatusNotFound, reason: "no route", version: table.Version()})
		return
	}
	if id == "" {
		g.refuse(w, refusal{status: http.StatusBadRequest, reason: "no request id", version: table.Version()})
		return
	}
	room := bodyRoom(r, bodyLimit(table))
	if !g.held.Take(room) {
		g.refuse(w, refusal{id: id, status: http.StatusServiceUnavailable, retryAfter: retryFull, reason: "no memory is left for bodies", version: table.Version()})
		return
	}
	defer g.held.Return(room)
	body, err := readBody(w, r, bodyLimit(table), arrived.Add(patience(r.Header, g.config.Headers.TimeLeft)))
	if err != nil {
		g.refuseBody(w, id, err)
		return
	}
	in := g.newInbound(r, id, arrived, table, route, body)
	if route.Scatters() {
		g.scatter(w, r, in)
		return
	}
	g.plain(w, r, in)
}

func (g *Gatekeeper) newInbound(r *http.Request, id string, arrived time.Time, table *router.Table, route *router.Route, body []byte) *inbound {
	headers := &g.config.Headers
	deadline := arrived.Add(patience(r.Header, headers.TimeLeft))
	return &inbound{
		id: id, arrived: arrived, route: route, version: table.Version(), deadline: deadline,
		request: exchanger.Request{
			ID: id, Head: head(r, &headers.Headers, body), Body: body, NoAnswerBody: r.Method == http.MethodHead,
			Deadline: deadline, Once: !route.Idempotent(),
		},
	}
}

// giveUpAt returns when the request is answered at the latest.
func (in *inbound) giveUpAt() time.Time {
	giveUp := in.deadline.Add(-answerMargin)
	if routeEnd := in.arrived.Add(in.route.Timeout()); routeEnd.Before(giveUp) {
		return routeEnd
	}
	return giveUp
}

func bodyLimit(table *router.Table) int {
	if limit := table.Limits().MaxBodyBytes; limit > 0 {
		return limit
	}
	return defaultBody
}

func (g *Gatekeeper) onConnect(address string, took time.Duration, err error) {
	if err != nil {
		g.counters.connectFaults.Inc()
		g.config.Log.V(1).Info("gatekeeper: no connection", "address", address, "took-ms", took.Milliseconds(), "error", err.Error())
		return
	}
	g.counters.connects.Inc()
}

// seconds formats a time as decimal seconds for a Retry-After header.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
