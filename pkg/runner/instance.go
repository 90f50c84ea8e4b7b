package runner

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
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
	ticketTimeout   = 65 * time.Second
	drainTimeout    = 20 * time.Second
	drainPoll       = 20 * time.Millisecond
	releaseGrace    = 4 * time.Second
	shutdownTimeout = 5 * time.Second
)

type (
	// Option sets up an Instance.
	Option func(*options)

	options struct {
		log       logr.Logger
		dial      linker.Dial
		leafDial  leaf.Dial
		policy    chooser.Policy
		growth    admitter.Growth
		noHedges  bool
		noGate    bool
		splitOver int
		seed      uint64
	}

	// Instance is one running instance of the tier.
	Instance struct {
		settings    configurer.Settings
		options     options
		self        tabulator.MemberID
		epoch       time.Time
		key         []byte
		metrics     *metrics.Set
		timeline    *timeliner.Timeline
		traces      *tracer.Store
		transport   *transport
		mailbox     *mailbox
		owner       *owner.Owner
		dispatcher  *dispatcher.Dispatcher
		client      *controller.Client
		control     *controller.Server
		journal     *journaler.Journaler
		platform    *lister.Poller
		fellows     *linker.Server
		callers     *caller.Server
		operators   *operator.Server
		draining    atomic.Bool
		platformBad atomic.Bool
	}
)

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(o *options) { o.log = log } }

// WithDial sets how connections to other instances are opened.
func WithDial(dial linker.Dial) Option { return func(o *options) { o.dial = dial } }

// WithLeafDial sets how connections to leafs are opened.
func WithLeafDial(dial leaf.Dial) Option { return func(o *options) { o.leafDial = dial } }

// WithPolicy sets how replicas are chosen.
func WithPolicy(policy chooser.Policy) Option { return func(o *options) { o.policy = policy } }

// WithGrowth sets how the limit of a leaf opens.
func WithGrowth(growth admitter.Growth) Option { return func(o *options) { o.growth = growth } }

// WithoutHedges turns hedges off.
func WithoutHedges() Option { return func(o *options) { o.noHedges = true } }

// WithoutGate lets queries start whatever the overload thresholds are.
func WithoutGate() Option { return func(o *options) { o.noGate = true } }

// WithStaticSplit makes each of count instances use its share of every leaf instead of owning leafs.
func WithStaticSplit(count int) Option { return func(o *options) { o.splitOver = count } }

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// New starts an instance with the given settings; Close or Shutdown ends it.
func New(settings configurer.Settings, opts ...Option) (*Instance, error) {
	o := options{log: logr.Discard(), growth: admitter.AdditiveGrowth{}, policy: chooser.PowerOfTwoChoices{}, seed: uint64(time.Now().UnixNano())}
	for _, option := range opts {
		option(&o)
	}
	key, err := os.ReadFile(settings.ResolvePath(settings.KeyFile))
	if err != nil {
		return nil, errors.Wrap(err, "start: read key-file")
	}
	i := &Instance{
		settings: settings, options: o, epoch: time.Now(), key: key, metrics: metrics.NewSet(), traces: tracer.NewStore(),
		self: tabulator.MemberID{Instance: settings.Instance, Incarnation: uint64(time.Now().UnixNano())},
	}
	i.timeline = timeliner.New(settings.Instance, time.Now)
	if err := i.start(); err != nil {
		i.Close()
		return nil, err
	}
	o.log.Info("runner: the instance has started", "instance", i.self.String())
	return i, nil
}

// ID returns which run of which instance this is.
func (i *Instance) ID() tabulator.MemberID { return i.self }

// Ready tells whether the instance takes queries.
func (i *Instance) Ready() bool { return i.Unready() == "" }

// Unready returns why the instance takes no queries, or nothing when it does.
func (i *Instance) Unready() string {
	switch {
	case i.draining.Load():
		return dispatcher.ReasonShuttingDown
	case !i.client.LeaseHeld(i.now()):
		return dispatcher.ReasonNoLease
	case i.transport.IsCutOff():
		return dispatcher.ReasonCutOff
	}
	return ""
}

// Owned returns how many leafs the instance owns.
func (i *Instance) Owned() int { return i.owner.LeafCount() }

// Opened returns how many leafs the instance may send to.
func (i *Instance) Opened() int { return i.owner.OpenLeafCount() }

// View returns the table and membership in force at this instance.
func (i *Instance) View() *tabulator.View { return i.client.View() }

// Run runs a query at this instance.
func (i *Instance) Run(ctx context.Context, request dispatcher.Request) dispatcher.Result {
	return i.dispatcher.Run(ctx, request)
}

// Shutdown hands over the leafs, finishes what is under way and ends the instance.
func (i *Instance) Shutdown() {
	i.options.log.Info("runner: shutting down")
	i.timeline.Add("draining", i.self.Instance, "no new queries")
	i.draining.Store(true)
	i.dispatcher.Drain()
	_, _ = i.client.Propose(tabulator.Drain{Instance: i.self.Instance, Incarnation: i.self.Incarnation})
	i.waitUntil(drainTimeout, func() bool { return i.dispatcher.OpenQueries() == 0 })
	i.waitUntil(releaseGrace, func() bool { return i.owner.LeafCount() == 0 })
	i.waitUntil(drainTimeout, func() bool { return i.owner.PendingCount() == 0 })
	i.client.Leave()
	i.Close()
}

// Close ends the instance at once.
func (i *Instance) Close() {
	if i.callers != nil {
		_ = i.callers.Close(shutdownTimeout)
	}
	if i.operators != nil {
		_ = i.operators.Close(shutdownTimeout)
	}
	if i.platform != nil {
		i.platform.Close()
	}
	if i.client != nil {
		i.client.Close()
	}
	if i.control != nil {
		i.control.Close()
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
	if i.fellows != nil {
		i.fellows.Close()
	}
	if i.journal != nil {
		_ = i.journal.Close()
	}
}

func (i *Instance) now() time.Duration { return time.Since(i.epoch) }

// random returns a source for one part of the instance. Instances with one seed differ by their names, or their
// elections would time out together for ever.
func (i *Instance) random(part uint64) *rand.Rand {
	return rand.New(rand.NewPCG(i.options.seed^xxhash.Sum64String(i.self.Instance), part))
}

func (i *Instance) onView(view *tabulator.View) {
	i.transport.retain(view)
	i.dispatcher.OnView(view)
	i.owner.OnView(view)
}

func (i *Instance) onRoster(records []coordinator.LeafRecord) {
	i.platformBad.Store(false)
	i.dispatcher.OnLeafList(records)
	i.owner.OnLeafList(records)
}

func (i *Instance) onPlatformFault(err error) {
	if i.platformBad.Swap(true) {
		return
	}
	i.timeline.Add("platform-fault", "platform", err.Error())
	i.options.log.Info("platform: the list could not be read", "error", err.Error())
}

func (i *Instance) passTicket(to tabulator.MemberID, ticket string, request []byte) ([]byte, error) {
	member, ok := i.View().Member(to.Instance)
	if !ok || member.ID() != to {
		return nil, errors.Errorf("the incarnation %s that granted the ticket is gone", to)
	}
	return i.transport.RunTicket(member, ticket, request)
}

func (i *Instance) waitUntil(timeout time.Duration, done func() bool) {
	for end := time.Now().Add(timeout); time.Now().Before(end) && !done(); {
		time.Sleep(drainPoll)
	}
}

// WriteMetrics writes the metrics of this instance in the Prometheus text format.
func (i *Instance) WriteMetrics(w io.Writer) {
	i.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
