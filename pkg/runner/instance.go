package runner

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"lovagedeck/pkg/admitter"
	"lovagedeck/pkg/caller"
	"lovagedeck/pkg/chooser"
	"lovagedeck/pkg/configurer"
	"lovagedeck/pkg/controller"
	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/custodian"
	"lovagedeck/pkg/dispatcher"
	"lovagedeck/pkg/journaler"
	"lovagedeck/pkg/leaf"
	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/operator"
	"lovagedeck/pkg/owner"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/timeliner"
	"lovagedeck/pkg/tracer"
)

const (
	// ticketTimeout exceeds the longest deadline of a query, which is 60 s.
	ticketTimeout      = 65 * time.Second
	drainPollInterval  = 20 * time.Millisecond
	releaseTimeout     = 4 * time.Second
	serverCloseTimeout = 5 * time.Second
	// maxReplyTime is the time limit for writing the last replies to other instances.
	maxReplyTime = 100 * time.Millisecond
	// queryShare and handoverShare are the shares of the grace period at which open queries are ended, and at which the instance no
	// longer waits for the requests and leafs of other instances. closeShare is the share for each of the steps after that.
	queryShare    = 0.6
	handoverShare = 0.75
	closeShare    = 0.06
)

type (
	// Option configures an Instance.
	Option func(*options)

	options struct {
		log                    logr.Logger
		dialPeer               linker.Dial
		dialLeaf               leaf.Dial
		policy                 chooser.Policy
		limitGrowth            admitter.Growth
		isHedgingDisabled      bool
		isLoadSheddingDisabled bool
		staticSplit            int
		seed                   uint64
	}

	// Instance is one running instance of the tier.
	Instance struct {
		settings   configurer.Settings
		options    options
		self       tabulator.MemberID
		startedAt  time.Time
		clusterKey []byte
		metrics    *metrics.Set
		timeline   *timeliner.Timeline
		clients    *custodian.Custodian
		// memoryLimit is the memory limit of the process in bytes, or 0 if none is known.
		memoryLimit       int64
		traces            *tracer.Store
		transport         *transport
		mailbox           *mailbox
		owner             *owner.Owner
		dispatcher        *dispatcher.Dispatcher
		controlClient     *controller.Client
		controlServer     *controller.Server
		journal           *journaler.Journaler
		leafPoller        *lister.Poller
		peerServer        *linker.Server
		callerServer      *caller.Server
		operatorServer    *operator.Server
		isDraining        atomic.Bool
		isPlatformFailing atomic.Bool
	}
)

// WithLog sets the logger.
func WithLog(log logr.Logger) Option { return func(o *options) { o.log = log } }

// WithDial sets the function that opens connections to other instances.
func WithDial(dial linker.Dial) Option { return func(o *options) { o.dialPeer = dial } }

// WithLeafDial sets the function that opens connections to leafs.
func WithLeafDial(dial leaf.Dial) Option { return func(o *options) { o.dialLeaf = dial } }

// WithPolicy sets the policy that chooses among the replicas of a shard.
func WithPolicy(policy chooser.Policy) Option { return func(o *options) { o.policy = policy } }

// WithLimitGrowth sets how the concurrency limit of a leaf grows while it warms up.
func WithLimitGrowth(growth admitter.Growth) Option {
	return func(o *options) { o.limitGrowth = growth }
}

// WithoutHedges disables hedged requests.
func WithoutHedges() Option { return func(o *options) { o.isHedgingDisabled = true } }

// WithoutLoadShedding disables load shedding: queries start even if their priority is below the overload threshold.
func WithoutLoadShedding() Option { return func(o *options) { o.isLoadSheddingDisabled = true } }

// WithStaticSplit divides the slots and connections of every leaf evenly among count instances, instead of assigning
// each leaf to an owner.
func WithStaticSplit(count int) Option { return func(o *options) { o.staticSplit = count } }

// WithSeed sets the seed of all random number generators of the instance.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// New creates and starts an instance with the given settings; Shutdown or Close stops it.
func New(settings configurer.Settings, opts ...Option) (*Instance, error) {
	selected := options{log: logr.Discard(), limitGrowth: admitter.AdditiveGrowth{}, policy: chooser.PowerOfTwoChoices{}, seed: uint64(time.Now().UnixNano())}
	for _, option := range opts {
		option(&selected)
	}
	clusterKey, err := os.ReadFile(settings.ResolvePath(settings.KeyFile))
	if err != nil {
		return nil, errors.Wrap(err, "start: read key-file")
	}
	i := &Instance{
		settings: settings, options: selected, startedAt: time.Now(), clusterKey: clusterKey, metrics: metrics.NewSet(), traces: tracer.NewStore(),
		self: tabulator.MemberID{Instance: settings.Instance, Incarnation: uint64(time.Now().UnixNano())},
	}
	i.timeline = timeliner.New(settings.Instance, time.Now)
	i.memoryLimit = memoryLimitOf(settings, debug.SetMemoryLimit(-1))
	i.clients = custodian.New(custodian.Config{
		Limits: clientLimitsOf(settings, i.memoryLimit, custodian.Descriptors()), Now: i.now, Log: selected.log, Metrics: i.metrics,
	})
	if err := i.start(); err != nil {
		i.Close()
		return nil, err
	}
	selected.log.Info("runner: instance started", "instance", i.self.String())
	return i, nil
}

// ID returns the name and the incarnation of the instance; each start creates a new incarnation.
func (i *Instance) ID() tabulator.MemberID { return i.self }

// Ready reports whether the instance accepts queries.
func (i *Instance) Ready() bool { return i.UnreadyReason() == "" }

// UnreadyReason returns the reason why the instance accepts no queries, or an empty string if it accepts them.
func (i *Instance) UnreadyReason() string {
	switch {
	case i.isDraining.Load():
		return dispatcher.ReasonShuttingDown
	case !i.controlClient.LeaseHeld(i.now()):
		return dispatcher.ReasonNoLease
	case i.transport.IsCutOff():
		return dispatcher.ReasonCutOff
	}
	return ""
}

// OwnedLeafCount returns the number of leafs that the instance owns.
func (i *Instance) OwnedLeafCount() int { return i.owner.LeafCount() }

// OpenLeafCount returns the number of owned leafs to which the instance may already send requests.
func (i *Instance) OpenLeafCount() int { return i.owner.OpenLeafCount() }

// View returns the table and the membership that this instance currently uses.
func (i *Instance) View() *tabulator.View { return i.controlClient.View() }

// Run runs a query on this instance and returns its result.
func (i *Instance) Run(ctx context.Context, request dispatcher.Request) dispatcher.Result {
	return i.dispatcher.Run(ctx, request)
}

// Shutdown drains the instance and stops it within the grace period: it rejects new queries, waits for the queries that are running,
// hands the leafs over to other instances and leaves the cluster. Queries that take longer are answered with what has arrived.
func (i *Instance) Shutdown() {
	startedAt, grace := time.Now(), i.settings.GracePeriod()
	after := func(share float64) time.Time { return startedAt.Add(time.Duration(share * float64(grace))) }
	i.options.log.Info("runner: shutting down", "grace-ms", grace.Milliseconds())
	i.timeline.Add("draining", i.self.Instance, "no new queries")
	i.isDraining.Store(true)
	i.dispatcher.Drain()
	go func() {
		_, _ = i.controlClient.Propose(tabulator.Drain{Instance: i.self.Instance, Incarnation: i.self.Incarnation})
	}()
	i.waitUntil(after(queryShare), func() bool { return i.dispatcher.OpenQueries() == 0 })
	if open := i.dispatcher.OpenQueries(); open > 0 {
		i.options.log.Info("runner: queries in progress at the end of service", "queries", open)
	}
	i.dispatcher.EndService()
	i.waitUntil(earlier(time.Now().Add(releaseTimeout), after(handoverShare)), func() bool { return i.owner.LeafCount() == 0 })
	i.waitUntil(after(handoverShare), func() bool { return i.owner.PendingCount() == 0 })
	closeTimeout := min(serverCloseTimeout, time.Duration(closeShare*float64(grace)))
	runWithin(closeTimeout, i.controlClient.Leave)
	i.peerServer.Drain(min(maxReplyTime, closeTimeout))
	i.closeWithin(closeTimeout)
}

// Close stops the instance without draining it.
func (i *Instance) Close() { i.closeWithin(serverCloseTimeout) }

// closeWithin stops the instance. Requests on each server that have not ended after the timeout are cut off.
func (i *Instance) closeWithin(timeout time.Duration) {
	if i.callerServer != nil {
		_ = i.callerServer.Close(timeout)
	}
	if i.operatorServer != nil {
		_ = i.operatorServer.Close(timeout)
	}
	if i.leafPoller != nil {
		i.leafPoller.Close()
	}
	if i.controlClient != nil {
		i.controlClient.Close()
	}
	if i.controlServer != nil {
		i.controlServer.Close()
	}
	if i.owner != nil {
		i.owner.Close()
	}
	if i.transport != nil {
		i.transport.close()
	}
	if i.mailbox != nil {
		i.mailbox.close()
	}
	if i.peerServer != nil {
		i.peerServer.Close()
	}
	if i.journal != nil {
		_ = i.journal.Close()
	}
}

func (i *Instance) now() time.Duration { return time.Since(i.startedAt) }

// newRandom returns the random number generator of one component. The seed includes the name of the instance: with the
// same seed, the elections of all control instances would time out at the same moment every time.
func (i *Instance) newRandom(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(i.options.seed^xxhash.Sum64String(i.self.Instance), stream))
}

func (i *Instance) onView(view *tabulator.View) {
	i.transport.closeStaleLinks(view)
	i.dispatcher.OnView(view)
	i.owner.OnView(view)
}

func (i *Instance) onLeafList(records []coordinator.LeafRecord) {
	i.isPlatformFailing.Store(false)
	i.dispatcher.OnLeafList(records)
	i.owner.OnLeafList(records)
}

func (i *Instance) onPlatformFault(err error) {
	if i.isPlatformFailing.Swap(true) {
		return
	}
	i.timeline.Add("platform-fault", "platform", err.Error())
	i.options.log.Info("platform: failed to read the list of leafs", "error", err.Error())
}

func (i *Instance) forwardTicket(to tabulator.MemberID, ticket string, request []byte) ([]byte, error) {
	member, ok := i.View().Member(to.Instance)
	if !ok || member.ID() != to {
		return nil, errors.Errorf("the incarnation %s that granted the ticket is gone", to)
	}
	return i.transport.ForwardTicket(member, ticket, request)
}

func (i *Instance) waitUntil(deadline time.Time, isDone func() bool) {
	for time.Now().Before(deadline) && !isDone() {
		time.Sleep(drainPollInterval)
	}
}

// runWithin runs work, and returns after the timeout even if it goes on.
func runWithin(timeout time.Duration, work func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// WriteMetrics writes the metrics of the instance and its process in the Prometheus text format.
func (i *Instance) WriteMetrics(w io.Writer) {
	i.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
