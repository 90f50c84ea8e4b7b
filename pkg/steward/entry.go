package steward

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"lovagedeck/pkg/accountant"
	"lovagedeck/pkg/aggregator"
	"lovagedeck/pkg/controller"
	"lovagedeck/pkg/custodian"
	"lovagedeck/pkg/forecaster"
	"lovagedeck/pkg/gatekeeper"
	"lovagedeck/pkg/gossiper"
	"lovagedeck/pkg/hedger"
	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/permitter"
	"lovagedeck/pkg/router"
	"lovagedeck/pkg/spreader"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/timeliner"
	"lovagedeck/pkg/watcher"
)

const (
	// callerRoundTrip is the time that a caller's request and its answer spend on the network, including the connection setup.
	callerRoundTrip = 8 * time.Millisecond
	// unreadyShare is the share of the grace period in which the instance is not ready but still serves all requests. In this
	// time, callers move to other instances.
	unreadyShare = 0.7
	// fallbackListPollInterval is the interval at which an entry instance checks whether it must fetch the list of leafs itself.
	fallbackListPollInterval = 100 * time.Millisecond
	// maxAnswerTime is the time from the end of service to the closing of callers' connections. Requests in progress are answered in it.
	// 200 of them take 125 ms on 0.19 cores.
	maxAnswerTime = 250 * time.Millisecond
	// maxExitMargin is the time between the closing of callers' connections and the kill.
	maxExitMargin = 300 * time.Millisecond
	// marginShare is the largest share of the grace period that either of them takes.
	marginShare = 0.1
	// maxReplyTime and maxCloseTime are the time limits for writing the last replies to other instances and for closing the connections
	// between instances. Each is at most exitStepShare of the time between the closing of callers' connections and the kill.
	maxReplyTime  = 100 * time.Millisecond
	maxCloseTime  = 100 * time.Millisecond
	exitStepShare = 1.0 / 3
)

type (
	// Entry is an entry instance, which serves callers. While it cannot reach any control instance, it continues with the last
	// table that it received, and keeps trying to reach them.
	Entry struct {
		settings      Settings
		log           logr.Logger
		gatekeeper    *gatekeeper.Gatekeeper
		gossiper      *gossiper.Gossiper
		peers         *aggregator.Peers
		permitter     *permitter.Permitter
		accountant    *accountant.Accountant
		rpcServer     *linker.Server
		controlClient *controller.Client
		listLeafs     ListFunc
		startedAt     time.Time
		pauseWatcher  *watcher.Watcher
		stop          chan struct{}
		// latestSettings holds the settings of the last reload. Only their seeds are used.
		latestSettings atomic.Pointer[Settings]
	}

	// stopTimes are the times of a planned stop, since its beginning.
	stopTimes struct {
		// unready is how long the instance serves on although it holds no request, so that callers move to other instances.
		unready time.Duration
		// serviceEnd is when requests in progress are answered, and exit when the connections of callers are closed.
		serviceEnd time.Duration
		exit       time.Duration
		// replying and closing are how long the last replies to other instances and the closing of connections may take after exit.
		replying time.Duration
		closing  time.Duration
	}
)

// NewEntry starts an entry instance, which runs until Shutdown. It returns an error if one of its addresses is not available.
func NewEntry(settings Settings, headers gatekeeper.Headers, decode DecodeFunc, listLeafs ListFunc, clients *custodian.Custodian, log logr.Logger) (*Entry, error) {
	e := &Entry{settings: settings, log: log, listLeafs: listLeafs, startedAt: time.Now(), pauseWatcher: watcher.New(0, time.Now().Round(0)), stop: make(chan struct{})}
	e.latestSettings.Store(&settings)
	seed := uint64(time.Now().UnixNano())
	secret := linker.NewSecret(settings.Cluster, nil)
	var err error
	if e.gossiper, err = gossiper.New(gossiper.Config{
		Listen: settings.peerAddress(settings.Host), Secret: secret, Now: e.now, Random: rand.New(rand.NewPCG(seed, 3)), Log: log, MayBeStale: e.mayBeStale,
		OnObservations: func(observations []spreader.Observation) { e.gatekeeper.ApplyObservations(observations) },
	}); err != nil {
		return nil, err
	}
	e.peers = aggregator.NewPeers(linker.New(secret), e.now, log)
	permitService := permitter.NewService(e.now)
	e.permitter = permitter.New(permitter.Config{Instance: settings.Instance, Linker: linker.New(secret), Now: e.now, Log: log, Service: permitService})
	accounts := accountant.NewService(settings.allowanceBounds(), e.now)
	e.accountant = accountant.New(accountant.Config{
		Instance: settings.Instance, Bounds: settings.allowanceBounds(), Linker: linker.New(secret), Now: e.now, Random: rand.Float64, Log: log, Service: accounts,
	})
	e.gatekeeper = gatekeeper.New(gatekeeper.Config{
		Headers: headers, Instance: settings.Instance, DataCentre: settings.DataCentre, CallerRoundTrip: callerRoundTrip, BodyMemoryBytes: settings.bodyMemoryBytes(),
		Budget: hedger.RetryLimit{Ratio: settings.RetryBudgetRatio, Slack: settings.RetryBudgetSlack, Window: settings.RetryBudgetWindow},
		Decode: func(version uint64, compressed []byte) (*router.Table, error) {
			return decodeCompressed(decode, version, compressed)
		},
		Dial: settings.dialLeaf(), Now: e.now, Random: rand.New(rand.NewPCG(seed, 1)), Log: log, PublishObservation: e.gossiper.Publish,
		Peers: e.peers, Permits: e.permitter, Allowances: e.accountant, MayBeStale: e.mayBeStale, PlacementMode: settings.PlacementMode, Clients: clients,
		HoldsLease: func() bool { return e.controlClient.LeaseHeld(e.now()) },
	})
	e.controlClient = controller.NewClient(controller.ClientConfig{
		Member: tabulator.MemberFields{
			Instance: settings.Instance, Incarnation: seed, DataCentre: settings.DataCentre,
			FellowAddress: settings.peerAddress(settings.Host),
		},
		Addresses: settings.seedAddresses(), Linker: linker.New(secret), Now: e.now,
		Random: rand.New(rand.NewPCG(seed, 2)), Timeline: timeliner.New(settings.Instance, time.Now),
		OnView: e.setView, OnRoster: e.gatekeeper.SetRoster, OnRosterRead: e.gatekeeper.ConfirmRoster, OnLeaseChange: e.onLeaseChange,
		CollectEvidence: e.gatekeeper.RolloutEvidence, CountRequests: e.gatekeeper.RecentRequests, OnTotalRequests: e.gatekeeper.SetTotalRequests,
	})
	callerListener, err := listen(settings.CallerAddress, log)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	if err := e.servePeers(secret, permitService, accounts, clients); err != nil {
		return nil, err
	}
	e.gossiper.Run()
	e.peers.Run()
	go e.serveCallers(callerListener)
	e.controlClient.Run()
	go e.fallbackListLoop()
	go e.detectPauses()
	log.Info("steward: entry instance started", "data-centre", settings.DataCentre, "callers", settings.CallerAddress)
	return e, nil
}

// servePeers serves calls of other entry instances, which send slices of their queries, request permits and ask about
// the allowances of tenants.
func (e *Entry) servePeers(secret linker.Secret, permitService *permitter.Service, accounts *accountant.Service, clients *custodian.Custodian) error {
	peerListener, err := listen(e.settings.peerAddress(e.settings.Host), e.log)
	if err != nil {
		return errors.Wrap(err, "listen for other instances")
	}
	e.rpcServer, err = linker.New(secret).Serve(clients.Watch(peerListener, custodian.PeerShare), map[string]any{
		"Aggregator": aggregator.NewService(e.gatekeeper), "Permitter": permitService, "Accountant": accounts,
		aggregator.PlacementService: aggregator.NewPlacementReceiver(e.gatekeeper), forecaster.ServiceName: forecaster.NewService(e.explainRoute),
	})
	return err
}

// IsReady reports whether the instance is ready for new callers.
func (e *Entry) IsReady() bool { return e.gatekeeper.Ready() }

// Gatekeeper returns the gatekeeper that serves the callers of the instance.
func (e *Entry) Gatekeeper() *gatekeeper.Gatekeeper { return e.gatekeeper }

// Reload adds the seeds of changed settings. Other settings take effect after a restart.
func (e *Entry) Reload(settings Settings) {
	e.latestSettings.Store(&settings)
	e.controlClient.AddAddresses(settings.seedAddresses())
	e.log.Info("steward: settings reloaded", "seeds", settings.seedAddresses())
}

// Shutdown makes the instance not ready, serves requests that can end within the grace period, answers those that have not ended
// before it is over, and stops the instance.
func (e *Entry) Shutdown() {
	e.log.Info("steward: shutting down", "grace-ms", e.settings.GracePeriod.Milliseconds())
	now := time.Now()
	times := planStop(e.settings.GracePeriod)
	deadline := now.Add(times.exit)
	e.gatekeeper.Drain(now.Add(times.serviceEnd))
	time.Sleep(times.unready)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := e.gatekeeper.Shutdown(ctx)
	switch unanswered := e.gatekeeper.Unanswered(); {
	case unanswered > 0:
		e.log.Error(err, "steward: requests were still in progress at the end of the grace period", "requests", unanswered)
	case err != nil:
		e.log.Info("steward: connections of callers were open at the end of the grace period", "cause", err.Error())
	}
	e.rpcServer.Drain(times.replying)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		e.close()
	}()
	select {
	case <-closed:
	case <-time.After(times.closing):
		e.log.Info("steward: connections between instances were not closed in time")
	}
}

// planStop divides the grace period, after which the process is killed.
func planStop(gracePeriod time.Duration) stopTimes {
	margin := time.Duration(marginShare * float64(gracePeriod))
	exit := gracePeriod - min(maxExitMargin, margin)
	serviceEnd := exit - min(maxAnswerTime, margin)
	step := time.Duration(exitStepShare * float64(gracePeriod-exit))
	return stopTimes{
		unready: min(time.Duration(unreadyShare*float64(gracePeriod)), serviceEnd), serviceEnd: serviceEnd, exit: exit,
		replying: min(maxReplyTime, step), closing: min(maxCloseTime, step),
	}
}

// close stops the background work and closes the connections between instances. Calls in progress may delay it beyond
// maxCloseTime. The exit of the process ends them.
func (e *Entry) close() {
	close(e.stop)
	e.controlClient.Close()
	e.gossiper.Close()
	e.peers.Close()
	e.permitter.Close()
	e.accountant.Close()
	e.rpcServer.Close()
}

// setView applies a new view of the control instances: routes and data centres to the gatekeeper, and the other entry instances to
// the permitter, the accountant and the gossiper.
func (e *Entry) setView(view *tabulator.View) {
	e.permitter.SetView(view)
	e.accountant.SetView(view)
	e.gatekeeper.SetView(view)
	var peers, remotePeers []string
	for _, member := range view.Members() {
		switch {
		case member.Instance() == e.settings.Instance:
		case member.DataCentre() == e.settings.DataCentre:
			peers = append(peers, member.PeerAddress())
		default:
			remotePeers = append(remotePeers, member.PeerAddress())
		}
	}
	e.gossiper.SetPeers(peers, remotePeers)
}

func (e *Entry) serveCallers(listener net.Listener) {
	if err := e.gatekeeper.Serve(listener); err != nil {
		e.log.Error(err, "steward: serving callers ended with an error")
	}
}

// onLeaseChange logs the change. After the loss of the lease, it adds the seeds to the control instances that are tried.
func (e *Entry) onLeaseChange(isHeld bool) {
	e.gatekeeper.SetControl(isHeld)
	if isHeld {
		e.log.Info("steward: control instances reached", "revision", e.controlClient.View().Revision())
		return
	}
	e.log.Info("steward: control instances lost; serving on with the last table", "revision", e.controlClient.View().Revision())
	e.controlClient.AddAddresses(e.latestSettings.Load().seedAddresses())
}

// fallbackListLoop fetches the list of leafs when the list from the control instances is too old, because no control instance
// can be reached, the reachable ones are cut off from the leader, or the leader cannot fetch it. Draining leafs must not get new
// requests in these cases either. The interval grows with the number of entry instances, so that all of them together stay below
// the permitted rate.
func (e *Entry) fallbackListLoop() {
	var nextAt time.Duration
	maxRosterAge := e.settings.fallbackListAge()
	listedAt := -maxRosterAge
	for {
		select {
		case <-e.stop:
			return
		case <-time.After(fallbackListPollInterval):
		}
		now := e.now()
		rosterReadAt, isKnown := e.controlClient.RosterReadAt()
		if !isKnown || now-max(rosterReadAt, listedAt) < maxRosterAge || now < nextAt {
			continue
		}
		listing, err := e.listLeafs("")
		totalCalls := listing.Calls * max(1, len(e.controlClient.View().Members()))
		nextAt = now + max(e.settings.listInterval(), minListInterval(totalCalls, e.settings.ListCallsPerSecond))
		if err != nil {
			e.log.Error(err, "steward: this instance cannot fetch the list of leafs either")
			continue
		}
		listedAt = now
		e.log.Info("steward: this instance fetched the list of leafs", "leafs", len(listing.Leafs), "handed-on-age-ms", (now - rosterReadAt).Milliseconds(),
			"skipped", listing.Skipped.Count, "first-skipped", listing.Skipped.First)
		e.gatekeeper.SetRoster(lister.Roster{Leafs: listing.Leafs, ReadAt: listedAt})
	}
}

// detectPauses logs when the process was paused.
func (e *Entry) detectPauses() {
	ticker := time.NewTicker(watcher.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-ticker.C:
		}
		// Round(0) removes the monotonic clock reading, so that wall clock times are compared.
		if paused := e.pauseWatcher.OnTick(e.now(), time.Now().Round(0)); paused > 0 {
			e.log.Info("steward: the process was paused", "for-ms", paused.Milliseconds())
		}
	}
}

func (e *Entry) mayBeStale() bool { return e.pauseWatcher.IsStale(e.now(), time.Now().Round(0)) }

func (e *Entry) now() time.Duration { return time.Since(e.startedAt) }

func decodeCompressed(decode DecodeFunc, version uint64, compressed []byte) (*router.Table, error) {
	body, err := decompress(compressed)
	if err != nil {
		return nil, err
	}
	return decode(version, body)
}
