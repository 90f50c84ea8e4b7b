package experimenter

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/configurer"
	"lovagedeck/pkg/emulator"
	"lovagedeck/pkg/journaler"
	"lovagedeck/pkg/operator"
	"lovagedeck/pkg/runner"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/tracer"
)

const (
	clusterName  = "experiment"
	waitTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	keyFileMode  = 0o600
	lowestPort   = 12_000
	portCount    = 18_000
	portAttempts = 1000
	// startAttempts is how often the instances of a tier are started at other addresses when another process has taken one.
	startAttempts = 5
)

type (
	// TierSpec describes the instances of a tier and the one-way network delay between data centres.
	TierSpec struct {
		Instances        int
		ControlInstances int
		DataCentres      []string
		OneWayDelay      time.Duration
		PlatformURL      string
		// GracePeriod is the time in which Shutdown must end. 0 selects the default of the settings.
		GracePeriod time.Duration
		Options     []runner.Option
	}

	// Tier is a set of instances that run in one process and share an emulated network.
	Tier struct {
		spec TierSpec
		// drawAddresses returns free addresses.
		drawAddresses func(count int) ([]string, error)
		folder        string
		network       *emulator.Network
		settings      []configurer.Settings
		mu            sync.Mutex
		instances     []*runner.Instance
		changeCount   int
	}
)

// NewTier starts the instances of spec and waits until all are ready; Close stops them and removes their files.
func NewTier(spec TierSpec) (*Tier, error) { return newTier(spec, freeAddresses) }

func newTier(spec TierSpec, drawAddresses func(count int) ([]string, error)) (*Tier, error) {
	for attempt := 1; ; attempt++ {
		t, err := startTier(spec, drawAddresses)
		if attempt == startAttempts || !errors.Is(err, syscall.EADDRINUSE) {
			return t, err
		}
	}
}

func startTier(spec TierSpec, drawAddresses func(count int) ([]string, error)) (*Tier, error) {
	folder, err := os.MkdirTemp("", "lovagedeck-")
	if err != nil {
		return nil, errors.Wrap(err, "start tier")
	}
	t := &Tier{
		spec: spec, drawAddresses: drawAddresses, folder: folder, network: emulator.NewNetwork(spec.OneWayDelay),
		instances: make([]*runner.Instance, spec.Instances),
	}
	if err := t.prepareSettings(); err != nil {
		t.Close()
		return nil, err
	}
	for i := range t.settings {
		if err := t.Start(i); err != nil {
			t.Close()
			return nil, err
		}
	}
	return t, t.WaitReady()
}

// Network returns the emulated network between the instances.
func (t *Tier) Network() *emulator.Network { return t.network }

// Instance returns instance i, or nil if it is stopped.
func (t *Tier) Instance(i int) *runner.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instances[i]
}

// Settings returns the settings of instance i.
func (t *Tier) Settings(i int) configurer.Settings { return t.settings[i] }

// Size returns the number of instances, stopped ones included.
func (t *Tier) Size() int { return len(t.settings) }

// Start starts instance i, which must be stopped.
func (t *Tier) Start(i int) error {
	options := append([]runner.Option{
		runner.WithDial(t.network.Dialer(t.settings[i].Instance)),
	}, t.spec.Options...)
	instance, err := runner.New(t.settings[i], options...)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.instances[i] = instance
	t.mu.Unlock()
	return nil
}

// Kill stops instance i without draining, as a crash would.
func (t *Tier) Kill(i int) {
	t.mu.Lock()
	instance := t.instances[i]
	t.instances[i] = nil
	t.mu.Unlock()
	if instance != nil {
		instance.Close()
	}
}

// Shutdown stops instance i after draining it.
func (t *Tier) Shutdown(i int) {
	instance := t.Instance(i)
	if instance == nil {
		return
	}
	instance.Shutdown()
	t.mu.Lock()
	t.instances[i] = nil
	t.mu.Unlock()
}

// Close stops all instances without draining and removes their files.
func (t *Tier) Close() {
	var group sync.WaitGroup
	for i := range t.instances {
		group.Go(func() { t.Kill(i) })
	}
	group.Wait()
	_ = os.RemoveAll(t.folder)
}

// WaitReady waits until every running instance is ready; after waitTimeout it returns an error with what each one lacks.
func (t *Tier) WaitReady() error {
	reasons := ""
	err := waitFor(waitTimeout, "every instance is ready", func() bool {
		reasons = ""
		for i := range t.settings {
			if instance := t.Instance(i); instance != nil && !instance.Ready() {
				reasons += " " + instance.ID().Instance + ": " + instance.UnreadyReason()
			}
		}
		return reasons == ""
	})
	return errors.Wrap(err, reasons)
}

// WaitOwned waits until the instances together have opened at least the given number of leafs, or returns an error after
// waitTimeout.
func (t *Tier) WaitOwned(leafs int) error {
	return waitFor(waitTimeout, "every leaf has an owner", func() bool {
		owned := 0
		for i := range t.settings {
			if instance := t.Instance(i); instance != nil {
				owned += instance.OpenLeafCount()
			}
		}
		return owned >= leafs
	})
}

// Operator returns a client of the administration API of the first ready instance, or of instance 0 if none is ready.
func (t *Tier) Operator() *operator.Client {
	for i := range t.settings {
		if instance := t.Instance(i); instance != nil && instance.Ready() {
			return operator.NewClient(t.settings[i].Listen.Operator)
		}
	}
	return operator.NewClient(t.settings[0].Listen.Operator)
}

// FindTrace returns the trace of a query from the first running instance that has kept it, or false if none has.
func (t *Tier) FindTrace(id string) (tracer.Trace, bool) {
	for i := range t.settings {
		if instance := t.Instance(i); instance != nil {
			if trace, ok := instance.Trace(id); ok {
				return trace, true
			}
		}
	}
	return tracer.Trace{}, false
}

// Ready returns the indexes of the ready instances, which a load balancer would use.
func (t *Tier) Ready() []int {
	var ready []int
	for i := range t.settings {
		if instance := t.Instance(i); instance != nil && instance.Ready() {
			ready = append(ready, i)
		}
	}
	return ready
}

// PutRows writes rows to the service table and returns the revision of the change.
func (t *Tier) PutRows(rows []tabulator.RowFields) (uint64, error) {
	change, err := t.Operator().ChangeRows(tabulator.ChangeRows{ChangeID: t.nextChangeID(), Operator: "experiment", Rows: rows})
	return t.acceptedRevision(change, err)
}

// SetDataCentre takes a data centre out of service or back in, and returns the revision of the change.
func (t *Tier) SetDataCentre(name string, state tabulator.State) (uint64, error) {
	client := t.Operator()
	table, err := client.Table()
	if err != nil {
		return 0, err
	}
	base := uint64(0)
	for _, centre := range table.DataCentres {
		if centre.Name == name {
			base = centre.Revision
		}
	}
	change, err := client.SetDataCentre(tabulator.SetDataCentre{
		ChangeID: t.nextChangeID(), Operator: "experiment", Name: name, State: state, Base: base,
	})
	return t.acceptedRevision(change, err)
}

// WaitInForce waits until a revision is in force on every member and returns the last reply, which includes the time since the
// revision was accepted. It returns an error after waitTimeout.
func (t *Tier) WaitInForce(revision uint64) (operator.InForce, error) {
	var lastReply operator.InForce
	err := waitFor(waitTimeout, "the change is in force", func() bool {
		reply, err := t.Operator().InForce(revision)
		lastReply = reply
		return err == nil && reply.IsEverywhere
	})
	return lastReply, err
}

func (t *Tier) acceptedRevision(change operator.ChangeResult, err error) (uint64, error) {
	if err != nil {
		return 0, err
	}
	if change.Outcome != operator.OutcomeAccepted {
		return 0, errors.Errorf("change %s was not accepted: %s %v", change.ChangeID, change.Outcome, change.Errors)
	}
	return change.Revision, nil
}

func (t *Tier) nextChangeID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changeCount++
	return fmt.Sprintf("experiment-%d", t.changeCount)
}

func (t *Tier) prepareSettings() error {
	keyFile := filepath.Join(t.folder, "cluster.key")
	if err := os.WriteFile(keyFile, []byte("the key of an experiment"), keyFileMode); err != nil {
		return errors.Wrap(err, "start tier")
	}
	for i := range t.spec.Instances {
		settings, err := t.newSettings(i, keyFile)
		if err != nil {
			return err
		}
		t.settings = append(t.settings, settings)
	}
	return t.prepareControl()
}

func (t *Tier) newSettings(i int, keyFile string) (configurer.Settings, error) {
	addresses, err := t.drawAddresses(3)
	if err != nil {
		return configurer.Settings{}, err
	}
	settings := configurer.Settings{
		Cluster: clusterName, Instance: fmt.Sprintf("entry-%d", i+1), DataCentre: t.spec.DataCentres[i%len(t.spec.DataCentres)],
		Listen:      configurer.Listen{Caller: addresses[0], Peer: addresses[1], Operator: addresses[2]},
		PlatformURL: t.spec.PlatformURL, KeyFile: keyFile, GracePeriodMs: int(t.spec.GracePeriod.Milliseconds()),
	}
	t.network.Register(settings.Listen.Peer, settings.Instance, settings.DataCentre)
	return settings, nil
}

func (t *Tier) prepareControl() error {
	var members []configurer.ControlMember
	for i := range t.spec.ControlInstances {
		members = append(members, configurer.ControlMember{Instance: t.settings[i].Instance, PeerAddress: t.settings[i].Listen.Peer})
		t.settings[i].DataDir = filepath.Join(t.folder, t.settings[i].Instance)
		if _, err := journaler.Format(t.settings[i].DataDir, clusterName, t.settings[i].Instance, true); err != nil {
			return err
		}
	}
	for i := range t.settings {
		t.settings[i].Control = members
	}
	return nil
}

// freeAddresses returns loopback addresses with free ports. The ports are below the ephemeral range of the system, so that
// no outgoing connection takes one before its instance listens.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range portAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, address)
		if len(addresses) == count {
			return addresses, nil
		}
	}
	return nil, errors.New("find free ports: too few in the search range")
}

func waitFor(timeout time.Duration, condition string, isMet func() bool) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		if isMet() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.Errorf("wait until %s: timed out after %s", condition, timeout)
}
