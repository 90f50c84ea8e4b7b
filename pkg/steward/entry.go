// An entry instance serves callers. It acts on the newest table that it was
// given also while no control instance can be reached, and keeps asking them.

package steward

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"lovagedeck/pkg/aggregator"
	"lovagedeck/pkg/controller"
	"lovagedeck/pkg/gatekeeper"
	"lovagedeck/pkg/gossiper"
	"lovagedeck/pkg/hedger"
	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/router"
	"lovagedeck/pkg/spreader"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/timeliner"
	"lovagedeck/pkg/watcher"
)

const (
	// callerTravel is the way of a request from its caller and of the answer back, with the opening of a connection.
	callerTravel = 8 * time.Millisecond
	// leaveAfter is the part of the grace in which callers are served as before while readiness is withdrawn.
	leaveAfter = 0.7
	// ownListLook is how often an entry instance looks whether it has to.
	ownListLook = 100 * time.Millisecond
	// endMargin is left between the end of the service and the kill.
	endMargin = 300 * time.Millisecond
	// closeTime bounds the closing of what runs beside the callers' traffic, within that margin.
	closeTime = 100 * time.Millisecond
)

type (
	// Entry is one entry instance.
	Entry struct {
		settings Settings
		log      logr.Logger
		gate     *gatekeeper.Gatekeeper
		gossip   *gossiper.Gossiper
		peers    *aggregator.Peers
		links    *linker.Server
		client   *controller.Client
		list     List
		began    time.Time
		watcher  *watcher.Watcher
		stop     chan struct{}
	}
)

// NewEntry starts an entry instance; Shutdown ends it.
func NewEntry(settings Settings, headers gatekeeper.Headers, decode Decode, list List, log logr.Logger) (*Entry, error) {
	e := &Entry{settings: settings, log: log, list: list, began: time.Now(), watcher: watcher.New(0, time.Now().Round(0)), stop: make(chan struct{})}
	seed := uint64(time.Now().UnixNano())
	secret := linker.NewSecret(settings.Cluster, nil)
	var err error
	if e.gossip, err = gossiper.New(gossiper.Config{
		Listen: settings.linkAddress(settings.Host), Secret: secret, Now: e.now, Random: rand.New(rand.NewPCG(seed, 3)), Log: log, MayBeStale: e.stale,
		OnObservations: func(observations []spreader.Observation) { e.gate.ApplyObservations(observations) },
	}); err != nil {
		return nil, err
	}
	e.peers = aggregator.NewPeers(linker.New(secret), e.now, log)
	e.gate = gatekeeper.New(gatekeeper.Config{
		Headers: headers, Instance: settings.Instance, DataCentre: settings.DataCentre, CallerRoundTrip: callerTravel, BodyMemoryBytes: settings.heldBytes(),
		Budget: hedger.RetryLimit{Ratio: settings.RetryRatio, Slack: settings.RetrySlack, Window: settings.RetryWindow},
		Decode: func(version uint64, packed []byte) (*router.Table, error) {
			return decodePacked(decode, version, packed)
		},
		Dial: dial, Now: e.now, Random: rand.New(rand.NewPCG(seed, 1)), Log: log, PublishObservation: e.gossip.Publish,
		Peers: e.peers, MayBeStale: e.stale,
	})
	e.client = controller.NewClient(controller.ClientConfig{
		Member: tabulator.MemberFields{
			Instance: settings.Instance, Incarnation: seed, DataCentre: settings.DataCentre,
			FellowAddress: settings.linkAddress(settings.Host),
		},
		Addresses: settings.seeds(), Linker: linker.New(secret), Now: e.now,
		Random: rand.New(rand.NewPCG(seed, 2)), Timeline: timeliner.New(settings.Instance, time.Now),
		OnView: e.setView, OnRoster: e.gate.SetRoster, OnLeaseChange: e.onLease,
		CountRequests: e.gate.RecentRequests, OnTotalRequests: e.gate.SetTotalRequests,
	})
	listener, err := net.Listen("tcp", settings.Callers)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	if err := e.serveInstances(secret); err != nil {
		return nil, err
	}
	e.gossip.Run()
	e.peers.Run()
	go e.serve(listener)
	e.client.Run()
	go e.listLoop()
	go e.watch()
	log.Info("steward: entry instance started", "data-centre", settings.DataCentre, "callers", settings.Callers)
	return e, nil
}

// serveInstances takes slices of other entry instances' queries.
func (e *Entry) serveInstances(secret linker.Secret) error {
	listener, err := net.Listen("tcp", e.settings.linkAddress(e.settings.Host))
	if err != nil {
		return errors.Wrap(err, "listen for other instances")
	}
	e.links, err = linker.New(secret).Serve(listener, map[string]any{"Aggregator": aggregator.NewService(e.gate)})
	return err
}

// Ready tells whether new callers should come here.
func (e *Entry) Ready() bool { return e.gate.Ready() }

// Gate returns the gatekeeper of the instance.
func (e *Entry) Gate() *gatekeeper.Gatekeeper { return e.gate }

// Reload takes settings that changed.
func (e *Entry) Reload(settings Settings) {
	e.client.AddAddresses(settings.seeds())
	e.log.Info("steward: settings reloaded", "seeds", settings.seeds())
}

// Shutdown withdraws readiness, serves on for most of the grace, and ends.
func (e *Entry) Shutdown() {
	e.log.Info("steward: shutting down", "grace-ms", e.settings.Grace.Milliseconds())
	deadline := time.Now().Add(e.settings.Grace - endMargin)
	e.gate.Drain()
	time.Sleep(time.Duration(leaveAfter * float64(e.settings.Grace)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := e.gate.Shutdown(ctx); err != nil {
		e.log.Error(err, "steward: requests were still under way at the end")
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		e.close()
	}()
	select {
	case <-closed:
	case <-time.After(closeTime):
		e.log.Info("steward: connections between instances were still busy at the end")
	}
}

// close ends what runs beside the callers' traffic. Calls that are under way may hold it up; the end of the process ends them.
func (e *Entry) close() {
	close(e.stop)
	e.client.Close()
	e.gossip.Close()
	e.peers.Close()
	e.links.Close()
}

// setView takes the newest view: what callers are served by, and who else is in the data centre.
func (e *Entry) setView(view *tabulator.View) {
	e.gate.SetView(view)
	var peers []string
	for _, member := range view.Members() {
		if member.DataCentre() == e.settings.DataCentre && member.Instance() != e.settings.Instance {
			peers = append(peers, member.FellowAddress())
		}
	}
	e.gossip.SetPeers(peers)
}

func (e *Entry) serve(listener net.Listener) {
	if err := e.gate.Serve(listener); err != nil {
		e.log.Error(err, "steward: callers are not served")
	}
}

func (e *Entry) onLease(held bool) {
	if held {
		e.log.Info("steward: control instances reached", "revision", e.client.View().Revision())
		return
	}
	e.log.Info("steward: control instances lost; serving on with the last table", "revision", e.client.View().Revision())
	e.client.AddAddresses(e.settings.seeds())
}

// listLoop reads the list of leafs itself while control instances hand on none that was read lately, whether they are lost
// or cut off from the one that reads: a leaf that leaves must get no more work in that time either. All instances together
// keep to the permitted rate.
func (e *Entry) listLoop() {
	var nextAt time.Duration
	ownListAfter := e.settings.ownListAfter()
	readAt := -ownListAfter
	for {
		select {
		case <-e.stop:
			return
		case <-time.After(ownListLook):
		}
		now := e.now()
		handedOn, known := e.client.RosterReadAt()
		if !known || now-max(handedOn, readAt) < ownListAfter || now < nextAt {
			continue
		}
		leafs, calls, err := e.list("")
		together := calls * max(1, len(e.client.View().Members()))
		nextAt = now + max(e.settings.listInterval(), paced(together, e.settings.ListRate))
		if err != nil {
			e.log.Error(err, "steward: the list of leafs cannot be read here either")
			continue
		}
		readAt = now
		e.log.Info("steward: read the list of leafs here", "leafs", len(leafs), "handed-on-age-ms", (now - handedOn).Milliseconds())
		e.gate.SetRoster(lister.Roster{Leafs: leafs})
	}
}

// watch notices that the process was paused.
func (e *Entry) watch() {
	ticker := time.NewTicker(watcher.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-ticker.C:
		}
		// Round strips the steady clock, so that the times of day are compared.
		if paused := e.watcher.OnTick(e.now(), time.Now().Round(0)); paused > 0 {
			e.log.Info("steward: the process was paused", "for-ms", paused.Milliseconds())
		}
	}
}

func (e *Entry) stale() bool { return e.watcher.IsStale(e.now(), time.Now().Round(0)) }

func (e *Entry) now() time.Duration { return time.Since(e.began) }

func decodePacked(decode Decode, version uint64, packed []byte) (*router.Table, error) {
	body, err := expand(packed)
	if err != nil {
		return nil, err
	}
	return decode(version, body)
}

func dial(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}
