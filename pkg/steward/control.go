package steward

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"lovagedeck/pkg/controller"
	"lovagedeck/pkg/custodian"
	"lovagedeck/pkg/journaler"
	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/timeliner"
)

const (
	// bootstrapTimeout is the time within which the first seed looks for an existing log on the other seeds before it creates one.
	bootstrapTimeout      = 500 * time.Millisecond
	bootstrapPollInterval = 100 * time.Millisecond
	// renewalInterval is the pause between the lease renewals of an entry instance. Together with the wait for a follower, it
	// brings a change to every entry instance well within 3 s.
	renewalInterval = 400 * time.Millisecond
	// listRateShare is the share of the permitted call rate that fetching the list of leafs may use.
	listRateShare = 0.5
	// leaderPollInterval is the interval at which an instance checks whether it is the leader.
	leaderPollInterval = 30 * time.Millisecond
	// restartDelay is the time before an instance that cannot continue ends, so that it does not restart in a busy loop.
	restartDelay = 300 * time.Millisecond
	logFolder    = "log"
)

// ErrUnconfirmed is returned if no majority of the control instances confirmed that this instance has the newest data.
var ErrUnconfirmed = errors.New("no majority of the control instances confirmed the answer")

type (
	// ListFunc fetches the list of leafs of one data centre, or of all if the name is empty. It returns the number of calls
	// that this took also after an error.
	ListFunc func(dataCentre string) (lister.Listing, error)

	// Control is a control instance. It holds a replica of the log and serves operators' calls. While it is the leader, it also
	// fetches the list of leafs.
	Control struct {
		settings        Settings
		log             logr.Logger
		linker          *linker.Linker
		journal         *journaler.Journaler
		server          *controller.Server
		rpcServer       *linker.Server
		rosterStore     *lister.RosterStore
		listLeafs       ListFunc
		stop            chan struct{}
		restartRequired chan error
		startedAt       time.Time
		isListFailing   bool
		skippedEntries  lister.SkippedEntries
		// latestSettings holds the settings of the last reload. Only their seeds are used.
		latestSettings atomic.Pointer[Settings]
		// decode builds the routing table that the services of roll-outs are looked up in. If nil, they are not looked up.
		decode     DecodeFunc
		services   serviceCache
		rollouts   rolloutLeader
		candidates candidateVersions
	}

	// ControlOption configures a Control.
	ControlOption func(*Control)
)

// WithDecode returns an option that sets the function that decodes routing documents, for the check of orders.
func WithDecode(decode DecodeFunc) ControlOption {
	return func(c *Control) { c.decode = decode }
}

// NewControl starts a control instance, which runs until Close. It returns an error if the data folder cannot be opened or the
// address for calls of other instances is not available.
func NewControl(settings Settings, listLeafs ListFunc, clients *custodian.Custodian, log logr.Logger, options ...ControlOption) (*Control, error) {
	c := &Control{
		settings: settings, log: log, listLeafs: listLeafs, stop: make(chan struct{}), restartRequired: make(chan error, 1), startedAt: time.Now(),
		linker: linker.New(linker.NewSecret(settings.Cluster, nil)),
	}
	for _, option := range options {
		option(c)
	}
	c.rollouts = newRolloutLeader()
	c.latestSettings.Store(&settings)
	c.rosterStore = lister.NewRosterStore(c.now)
	saved, err := c.openDataFolder()
	if err != nil {
		return nil, err
	}
	node := c.journal.Identity().Node()
	config := controller.ServerConfig{
		Instance: settings.peerAddress(settings.Host), Node: node, Linker: c.linker, Store: c.journal, Saved: saved,
		Now: c.now, Random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), xxhash.Sum64String(settings.Instance))),
		Timeline: timeliner.New(settings.Instance, time.Now), RosterStore: c.rosterStore, RenewalInterval: renewalInterval,
		Discovery: &controller.Discovery{Seeds: func() []string { return c.latestSettings.Load().seedAddresses() }, ExpectedVoters: 2*settings.ToleratedDiskLosses + 1},
		OnEvent:   c.logEvent,
	}
	if c.journal.Identity().Disk == journaler.BootstrapDisk {
		config.InitialVoters = []replicator.NodeID{node}
	}
	if c.server, err = controller.NewServer(config); err != nil {
		return nil, err
	}
	peerListener, err := listen(settings.peerListenAddress(), log)
	if err != nil {
		return nil, errors.Wrap(err, "listen for other instances")
	}
	if c.rpcServer, err = c.linker.Serve(clients.Watch(peerListener, custodian.PeerShare), map[string]any{"Control": controller.NewService(c.server)}); err != nil {
		return nil, err
	}
	c.server.Run()
	go c.listLoop()
	go c.rolloutLoop()
	log.Info("steward: control instance started", "node", string(node), "log-index", saved.Snapshot.Index+uint64(len(saved.Entries)))
	return c, nil
}

// RestartRequired returns a channel that receives an error when the process must be restarted.
func (c *Control) RestartRequired() <-chan error { return c.restartRequired }

// Leave gives up the vote of this instance in the replicated log if the other instances suffice without it. It waits for the timeout at
// most.
func (c *Control) Leave(timeout time.Duration) { c.server.Leave(timeout) }

// Shutdown answers the calls of other instances in progress and stops the instance.
func (c *Control) Shutdown() {
	c.rpcServer.Drain(maxReplyTime)
	c.Close()
}

// Close stops the instance at once.
func (c *Control) Close() {
	close(c.stop)
	c.server.Close()
	c.rpcServer.Close()
	if err := c.journal.Close(); err != nil {
		c.log.Error(err, "steward: the data folder was not closed cleanly")
	}
}

// PutDocument appends a valid routing document to the replicated log and waits until it is applied. It returns an error if the
// document was rejected or the outcome is unknown.
func (c *Control) PutDocument(version uint64, body []byte) error {
	compressed, err := compress(body)
	if err != nil {
		return err
	}
	startedAt := c.now()
	result, err := c.submit(tabulator.PutDocument{Version: version, Body: compressed})
	c.logOrder(fmt.Sprintf("routing document %d", version), result, err, startedAt)
	return err
}

// Document returns the newest routing document, or version 0 if there is none. It returns ErrUnconfirmed if no majority of the
// control instances confirmed that the document is the newest.
func (c *Control) Document() (version uint64, body []byte, err error) {
	document, isConfirmed := c.server.Document()
	if !isConfirmed {
		return 0, nil, ErrUnconfirmed
	}
	if document.Version == 0 {
		return 0, nil, nil
	}
	body, err = decompress(document.Body)
	return document.Version, body, err
}

// TakeOutOfService stops new requests from being sent to leafs in a data centre. It returns an error if the operator no longer
// waits, the change was rejected or its outcome is unknown.
func (c *Control) TakeOutOfService(dataCentre string, isWaiting func() bool) error {
	return c.setDataCentre(dataCentre, tabulator.StateOut, isWaiting)
}

// ReturnToService allows new requests to leafs in a data centre again. It returns an error if the operator no longer waits, the
// change was rejected or its outcome is unknown.
func (c *Control) ReturnToService(dataCentre string, isWaiting func() bool) error {
	return c.setDataCentre(dataCentre, tabulator.StateIn, isWaiting)
}

// Reload applies the seeds of changed settings. Other settings take effect after a restart.
func (c *Control) Reload(settings Settings) {
	c.latestSettings.Store(&settings)
	c.log.Info("steward: settings reloaded", "seeds", settings.seedAddresses())
}

// logOrder logs the result of an operator's order.
func (c *Control) logOrder(what string, result tabulator.Result, err error, startedAt time.Duration) {
	c.log.Info("steward: order", "what", what, "acknowledged", err == nil, "error", fmt.Sprint(err),
		"revision", result.Revision, "changed", err == nil && !result.Repeated, "took-ms", (c.now() - startedAt).Milliseconds())
}

func describeDataCentre(name string, state tabulator.State) string {
	return fmt.Sprintf("data centre %s %s", name, state)
}

// submit proposes a command to the replicated log and returns an error unless it was accepted.
func (c *Control) submit(command tabulator.Command) (tabulator.Result, error) {
	reply := c.server.Propose(command)
	switch {
	case reply.Refused != "":
		return reply.Result, errors.New(reply.Refused)
	case reply.Unknown:
		return reply.Result, errors.New("the outcome is not known")
	case reply.Result.Verdict != tabulator.VerdictAccepted:
		return reply.Result, errors.Errorf("%s: %v", reply.Result.Verdict, reply.Result.Faults)
	}
	return reply.Result, nil
}

func (c *Control) now() time.Duration { return time.Since(c.startedAt) }

// openDataFolder opens the log in the data folder, after formatting the folder if it is missing or empty.
func (c *Control) openDataFolder() (replicator.PersistentState, error) {
	folder := filepath.Join(c.settings.DataFolder, logFolder)
	instance := c.settings.peerAddress(c.settings.Host)
	if _, err := journaler.ReadIdentity(folder); err != nil {
		if err := c.formatDataFolder(folder, instance, err); err != nil {
			return replicator.PersistentState{}, err
		}
	}
	options := []journaler.Option{journaler.WithTornWrites()}
	if c.settings.CreateJournal != nil {
		options = append(options, journaler.WithCreate(c.settings.CreateJournal))
	}
	journal, saved, err := journaler.Open(folder, c.settings.Cluster, instance, options...)
	c.journal = journal
	return saved, err
}

// formatDataFolder formats a folder without an identity, as a lost disk leaves it. Any other cause, and files without an identity, are
// damage and returned as an error: the folder may hold acknowledged entries.
func (c *Control) formatDataFolder(folder, instance string, cause error) error {
	var folderErr *journaler.FolderError
	if !errors.As(cause, &folderErr) || !folderErr.IsUnformatted() {
		return cause
	}
	isFirst := c.settings.bootstrapsCluster() && !c.otherInstanceHoldsLog()
	identity, err := journaler.Format(folder, c.settings.Cluster, instance, isFirst)
	if err != nil {
		return errors.Wrapf(err, "format the data folder, since %s is missing", folderErr.File())
	}
	c.log.Info("steward: data folder formatted for a new disk", "node", string(identity.Node()), "founds", isFirst, "cause", cause.Error())
	return nil
}

// otherInstanceHoldsLog reports whether another seed holds a log. It asks until all of them have answered or bootstrapTimeout has
// passed since the start.
func (c *Control) otherInstanceHoldsLog() bool {
	others := make([]string, 0, len(c.settings.SeedHosts))
	for _, address := range c.settings.seedAddresses() {
		if address != c.settings.peerAddress(c.settings.Host) {
			others = append(others, address)
		}
	}
	client := controller.NewClient(controller.ClientConfig{
		Addresses: others, Linker: c.linker, Now: c.now, Random: rand.New(rand.NewPCG(0, 0)),
		Timeline: timeliner.New(c.settings.Instance, time.Now),
	})
	defer client.Close()
	for c.now() < bootstrapTimeout {
		statuses := client.Statuses()
		for _, status := range statuses {
			if status.Status.LastIndex > 0 {
				return true
			}
		}
		if len(statuses) == len(others) {
			return false
		}
		time.Sleep(bootstrapPollInterval)
	}
	return false
}

// listLoop fetches the list of leafs while this instance is the leader, for the first time right after its election.
func (c *Control) listLoop() {
	var lastTerm uint64
	var nextAt time.Duration
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(leaderPollInterval):
		}
		term, isLeader := c.server.LeaderTerm()
		if !isLeader || term == lastTerm && c.now() < nextAt && !c.candidates.haveChanged(c.server) {
			continue
		}
		list := c.listLeafs
		if term != lastTerm {
			list = c.listByDataCentre
		}
		lastTerm = term
		nextAt = c.now()
		nextAt += max(c.settings.listInterval(), minListInterval(c.refreshRoster(term, list), c.settings.ListCallsPerSecond))
	}
}

// minListInterval returns the time that a number of calls takes at listRateShare of the permitted rate, or 0 without a rate limit.
func minListInterval(calls int, callsPerSecond float64) time.Duration {
	if callsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(calls) / (listRateShare * callsPerSecond) * float64(time.Second))
}

// listByDataCentre fetches the lists of all known data centres concurrently. This saves time after a failure of all instances,
// when no caller is served until the list is known. Leafs in other data centres are added by the next complete fetch. If the fetch
// for one data centre fails, or all lists are empty, it fetches the complete list instead.
func (c *Control) listByDataCentre(string) (lister.Listing, error) {
	group := pool.NewWithResults[lister.Listing]().WithErrors().WithFirstError()
	for _, dataCentre := range c.settings.DataCentres {
		group.Go(func() (lister.Listing, error) { return c.listLeafs(dataCentre) })
	}
	parts, err := group.Wait()
	var listing lister.Listing
	for _, part := range parts {
		listing.Append(part)
	}
	if err != nil || len(listing.Leafs) == 0 {
		return c.listLeafs("")
	}
	return listing, nil
}

// refreshRoster fetches the list of leafs, publishes it for the given term and returns the number of calls that this took. It logs
// only the first of several failures in a row, and skipped entries only if their number or the first of them has changed.
func (c *Control) refreshRoster(term uint64, list ListFunc) int {
	startedAt := c.now()
	listing, err := list("")
	if err != nil {
		if !c.isListFailing {
			c.log.Error(err, "steward: cannot fetch the list of leafs")
		}
		c.isListFailing = true
		return listing.Calls
	}
	if c.isListFailing {
		c.isListFailing = false
		c.log.Info("steward: the list of leafs can be fetched again")
	}
	if listing.Skipped != c.skippedEntries {
		c.skippedEntries = listing.Skipped
		c.log.Info("steward: invalid entries of the list skipped", "count", listing.Skipped.Count, "first", listing.Skipped.First)
	}
	if c.rosterStore.Publish(term, c.candidates.mark(c.server, listing.Leafs), startedAt) {
		c.log.Info("steward: list of leafs changed", "leafs", len(listing.Leafs), "term", term)
	}
	return listing.Calls
}

// logEvent logs an event of the controller server. An instance that cannot continue by itself requests a restart.
func (c *Control) logEvent(kind, peer, text string) {
	c.log.Info("steward: "+kind, "peer", peer, "what", text)
	if kind == controller.EventFailed {
		time.AfterFunc(restartDelay, func() { c.restartRequired <- errors.New(text) })
	}
}
