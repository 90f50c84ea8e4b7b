// A control instance keeps the replicated log, reads the list of leafs while
// it leads, and takes the orders of operators.

package steward

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"lovagedeck/pkg/controller"
	"lovagedeck/pkg/journaler"
	"lovagedeck/pkg/linker"
	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/replicator"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/timeliner"
)

const (
	// foundingWait is how long the first seed asks the others whether a log exists before it begins one.
	foundingWait = 500 * time.Millisecond
	foundingPoll = 100 * time.Millisecond
	// renewal is the pause between the renewals of entry instances; with the wait for a follower it keeps a change well within three seconds.
	renewal = 400 * time.Millisecond
	// listShare is the part of the permitted calls that the reading of the list takes.
	listShare = 0.5
	// standingInterval is how often an instance looks whether it leads.
	standingInterval = 30 * time.Millisecond
	// probeInterval is the pause between tries to write after the disk refused.
	probeInterval = 300 * time.Millisecond
	probeBytes    = 64 << 10
	logFolder     = "log"
	probeFile     = "probe"
)

// ErrUnsure says that no majority confirmed what this instance knows.
var ErrUnsure = errors.New("no majority of the control instances confirmed the answer")

type (
	// List reads the list of leafs of a data centre, or of all where it is empty, and counts the calls that it took.
	List func(dataCentre string) (leafs []lister.RosterLeaf, calls int, err error)

	// Control is one control instance.
	Control struct {
		settings Settings
		log      logr.Logger
		linker   *linker.Linker
		journal  *journaler.Journaler
		server   *controller.Server
		links    *linker.Server
		board    *lister.RosterStore
		list     List
		stop     chan struct{}
		ended    chan error
		began    time.Time
		listBad  bool
		// seeds holds the newest settings, for their seeds.
		seeds atomic.Pointer[Settings]
	}
)

// NewControl starts a control instance; Close ends it.
func NewControl(settings Settings, list List, log logr.Logger) (*Control, error) {
	c := &Control{
		settings: settings, log: log, list: list, stop: make(chan struct{}), ended: make(chan error, 1), began: time.Now(),
		linker: linker.New(linker.NewSecret(settings.Cluster, nil)),
	}
	c.seeds.Store(&settings)
	c.board = lister.NewRosterStore(c.now)
	saved, err := c.openFolder()
	if err != nil {
		return nil, err
	}
	node := c.journal.Identity().Node()
	config := controller.ServerConfig{
		Instance: settings.linkAddress(settings.Host), Node: node, Linker: c.linker, Store: c.journal, Saved: saved,
		Now: c.now, Random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), xxhash.Sum64String(settings.Instance))),
		Timeline: timeliner.New(settings.Instance, time.Now), Board: c.board, RenewalInterval: renewal,
		Discovery: &controller.Discovery{Seeds: func() []string { return c.seeds.Load().seeds() }, ExpectedVoters: 2*settings.ToleratedLosses + 1},
		OnEvent:   c.note,
	}
	if c.journal.Identity().Disk == journaler.BootstrapDisk {
		config.InitialVoters = []replicator.NodeID{node}
	}
	if c.server, err = controller.NewServer(config); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", settings.listenAddress())
	if err != nil {
		return nil, errors.Wrap(err, "listen for other instances")
	}
	if c.links, err = c.linker.Serve(listener, map[string]any{"Control": controller.NewService(c.server)}); err != nil {
		return nil, err
	}
	c.server.Run()
	go c.listLoop()
	log.Info("steward: control instance started", "node", string(node), "log-index", saved.Snapshot.Index+uint64(len(saved.Entries)))
	return c, nil
}

// Ended delivers the error after which the process should start again.
func (c *Control) Ended() <-chan error { return c.ended }

// Close ends the instance.
func (c *Control) Close() {
	close(c.stop)
	c.server.Close()
	c.links.Close()
	if err := c.journal.Close(); err != nil {
		c.log.Error(err, "steward: the data folder was not closed cleanly")
	}
}

// PutDocument puts a routing document that was checked into the log and waits until it is applied.
func (c *Control) PutDocument(version uint64, body []byte) error {
	packed, err := compress(body)
	if err != nil {
		return err
	}
	return c.propose(tabulator.PutDocument{Version: version, Body: packed})
}

// Document returns the newest routing document, or ErrUnsure.
func (c *Control) Document() (version uint64, body []byte, err error) {
	document, fresh := c.server.Document()
	if !fresh {
		return 0, nil, ErrUnsure
	}
	if document.Version == 0 {
		return 0, nil, nil
	}
	body, err = expand(document.Body)
	return document.Version, body, err
}

// TakeOut ends new work in a data centre.
func (c *Control) TakeOut(dataCentre string) error {
	return c.propose(tabulator.SetDataCentre{Name: dataCentre, State: tabulator.StateOut, Unconditional: true})
}

// TakeIn lets a data centre take new work again.
func (c *Control) TakeIn(dataCentre string) error {
	return c.propose(tabulator.SetDataCentre{Name: dataCentre, State: tabulator.StateIn, Unconditional: true})
}

// Reload takes settings that changed.
func (c *Control) Reload(settings Settings) {
	c.seeds.Store(&settings)
	c.log.Info("steward: settings reloaded", "seeds", settings.seeds())
}

func (c *Control) propose(command tabulator.Command) error {
	begun := c.now()
	err := c.outcome(command)
	c.log.Info("steward: order", "what", describe(command), "acknowledged", err == nil, "error", fmt.Sprint(err),
		"took-ms", (c.now() - begun).Milliseconds())
	return err
}

func describe(command tabulator.Command) string {
	switch order := command.(type) {
	case tabulator.PutDocument:
		return fmt.Sprintf("routing document %d", order.Version)
	case tabulator.SetDataCentre:
		return fmt.Sprintf("data centre %s %s", order.Name, order.State)
	}
	return fmt.Sprintf("%T", command)
}

func (c *Control) outcome(command tabulator.Command) error {
	reply := c.server.Propose(command)
	switch {
	case reply.Refused != "":
		return errors.New(reply.Refused)
	case reply.Unknown:
		return errors.New("the outcome is not known")
	case reply.Result.Verdict != tabulator.VerdictAccepted:
		return errors.Errorf("%s: %v", reply.Result.Verdict, reply.Result.Faults)
	}
	return nil
}

func (c *Control) now() time.Duration { return time.Since(c.began) }

// openFolder continues the log of the data folder, or makes the folder of a new disk.
func (c *Control) openFolder() (replicator.PersistentState, error) {
	folder := filepath.Join(c.settings.DataFolder, logFolder)
	instance := c.settings.linkAddress(c.settings.Host)
	if _, err := journaler.ReadIdentity(folder); err != nil {
		if err := c.formatFolder(folder, instance, err); err != nil {
			return replicator.PersistentState{}, err
		}
	}
	journal, saved, err := journaler.Open(folder, c.settings.Cluster, instance, journaler.WithTornWrites())
	c.journal = journal
	return saved, err
}

// formatFolder makes a new disk. A folder without an identity never took part in the log, so nothing in it counts.
func (c *Control) formatFolder(folder, instance string, cause error) error {
	var missing *journaler.FolderError
	if !errors.As(cause, &missing) {
		return cause
	}
	if err := os.RemoveAll(folder); err != nil {
		return errors.Wrap(err, "clear the data folder")
	}
	first := c.settings.foundsCluster() && !c.logExists()
	identity, err := journaler.Format(folder, c.settings.Cluster, instance, first)
	if err != nil {
		return err
	}
	c.log.Info("steward: new disk", "node", string(identity.Node()), "founds", first, "cause", cause.Error())
	return nil
}

// logExists tells whether another control instance that can be reached already holds a log.
func (c *Control) logExists() bool {
	others := make([]string, 0, len(c.settings.SeedHosts))
	for _, address := range c.settings.seeds() {
		if address != c.settings.linkAddress(c.settings.Host) {
			others = append(others, address)
		}
	}
	client := controller.NewClient(controller.ClientConfig{
		Addresses: others, Linker: c.linker, Now: c.now, Random: rand.New(rand.NewPCG(0, 0)),
		Timeline: timeliner.New(c.settings.Instance, time.Now),
	})
	defer client.Close()
	for c.now() < foundingWait {
		statuses := client.Statuses()
		for _, status := range statuses {
			if status.Status.LastIndex > 0 {
				return true
			}
		}
		if len(statuses) == len(others) {
			return false
		}
		time.Sleep(foundingPoll)
	}
	return false
}

// listLoop reads the list of leafs while this instance leads, for the first time as soon as it does.
func (c *Control) listLoop() {
	var readIn uint64
	var nextAt time.Duration
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(standingInterval):
		}
		term, leads := c.server.LeaderTerm()
		if !leads || term == readIn && c.now() < nextAt {
			continue
		}
		read := c.list
		if term != readIn {
			read = c.listByDataCentre
		}
		readIn = term
		nextAt = c.now()
		nextAt += max(c.settings.listInterval(), paced(c.readList(term, read), c.settings.ListRate))
	}
}

// paced returns the time that a number of calls takes at our share of the permitted rate.
func paced(calls int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(calls) / (listShare * rate) * float64(time.Second))
}

// listByDataCentre reads the lists of all data centres at once: after a loss of all instances nobody is served until the
// list is there. Leafs elsewhere come with the next reading.
func (c *Control) listByDataCentre(string) ([]lister.RosterLeaf, int, error) {
	type part struct {
		leafs []lister.RosterLeaf
		calls int
	}
	readers := pool.NewWithResults[part]().WithErrors().WithFirstError()
	for _, centre := range c.settings.DataCentres {
		readers.Go(func() (part, error) {
			leafs, calls, err := c.list(centre)
			return part{leafs: leafs, calls: calls}, err
		})
	}
	parts, err := readers.Wait()
	var leafs []lister.RosterLeaf
	calls := 0
	for _, p := range parts {
		leafs = append(leafs, p.leafs...)
		calls += p.calls
	}
	if err != nil || len(leafs) == 0 {
		return c.list("")
	}
	return leafs, calls, nil
}

// readList reads the list and returns how many calls that took.
func (c *Control) readList(term uint64, read List) int {
	leafs, calls, err := read("")
	if err != nil {
		if !c.listBad {
			c.log.Error(err, "steward: the list of leafs cannot be read")
		}
		c.listBad = true
		return calls
	}
	if c.listBad {
		c.listBad = false
		c.log.Info("steward: the list of leafs can be read again")
	}
	if c.board.Publish(term, leafs) {
		c.log.Info("steward: list of leafs changed", "leafs", len(leafs), "term", term)
	}
	return calls
}

func (c *Control) note(kind, peer, text string) {
	c.log.Info("steward: "+kind, "peer", peer, "what", text)
	if kind == controller.EventFailed {
		go c.awaitDisk()
	}
}

// awaitDisk ends the instance once the disk takes writes again, so that it starts from what is on disk.
func (c *Control) awaitDisk() {
	path := filepath.Join(c.settings.DataFolder, probeFile)
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(probeInterval):
		}
		if err := probe(path); err == nil {
			c.ended <- errors.New("the disk refused a write and takes writes again")
			return
		}
	}
}

func probe(path string) error {
	defer func() { _ = os.Remove(path) }()
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Write(make([]byte, probeBytes)); err != nil {
		return err
	}
	return file.Sync()
}
