package experimenter

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
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
	readyTimeout = 20 * time.Second
	readyPoll    = 20 * time.Millisecond
	keyMode      = 0o600
	lowestPort   = 12_000
	portCount    = 18_000
	portTries    = 1000
)

type (
	// TierSpec describes a tier of instances in one process.
	TierSpec struct {
		Instances   int
		Control     int
		DataCentres []string
		Delay       time.Duration
		Platform    string
		Options     []runner.Option
	}

	// Tier is a set of running instances.
	Tier struct {
		spec      TierSpec
		folder    string
		network   *emulator.Network
		settings  []configurer.Settings
		mu        sync.Mutex
		instances []*runner.Instance
		changes   int
	}
)

// NewTier starts the instances of spec; Close ends them and removes their files.
func NewTier(spec TierSpec) (*Tier, error) {
	folder, err := os.MkdirTemp("", "lovagedeck-")
	if err != nil {
		return nil, errors.Wrap(err, "start tier")
	}
	t := &Tier{spec: spec, folder: folder, network: emulator.NewNetwork(spec.Delay), instances: make([]*runner.Instance, spec.Instances)}
	if err := t.prepare(); err != nil {
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

// Network returns the network between the instances.
func (t *Tier) Network() *emulator.Network { return t.network }

// Instance returns a running instance, or nil where it is stopped.
func (t *Tier) Instance(i int) *runner.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instances[i]
}

// Settings returns the settings of an instance.
func (t *Tier) Settings(i int) configurer.Settings { return t.settings[i] }

// Size returns the number of instances.
func (t *Tier) Size() int { return len(t.settings) }

// Start starts a stopped instance.
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

// Kill ends an instance at once, as a crash would.
func (t *Tier) Kill(i int) {
	t.mu.Lock()
	instance := t.instances[i]
	t.instances[i] = nil
	t.mu.Unlock()
	if instance != nil {
		instance.Close()
	}
}

// Shutdown ends an instance gracefully.
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

// Close ends every instance and removes the files.
func (t *Tier) Close() {
	var group sync.WaitGroup
	for i := range t.instances {
		group.Go(func() { t.Kill(i) })
	}
	group.Wait()
	_ = os.RemoveAll(t.folder)
}

// WaitReady waits until every running instance is ready.
func (t *Tier) WaitReady() error {
	unready := ""
	err := waitFor(readyTimeout, "every instance is ready", func() bool {
		unready = ""
		for i := range t.settings {
			if instance := t.Instance(i); instance != nil && !instance.Ready() {
				unready += " " + instance.ID().Instance + ": " + instance.UnreadyReason()
			}
		}
		return unready == ""
	})
	return errors.Wrap(err, unready)
}

// WaitOwned waits until the owners hold the wanted number of leafs together.
func (t *Tier) WaitOwned(leafs int) error {
	return waitFor(readyTimeout, "every leaf has an owner", func() bool {
		owned := 0
		for i := range t.settings {
			if instance := t.Instance(i); instance != nil {
				owned += instance.OpenLeafCount()
			}
		}
		return owned >= leafs
	})
}

// Operator returns a client of the administration API of a ready instance.
func (t *Tier) Operator() *operator.Client {
	for i := range t.settings {
		if instance := t.Instance(i); instance != nil && instance.Ready() {
			return operator.NewClient(t.settings[i].Listen.Operator)
		}
	}
	return operator.NewClient(t.settings[0].Listen.Operator)
}

// FindTrace asks every running instance for a kept query.
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

// Ready returns the running instances that are ready, as the balancer in front of them would see.
func (t *Tier) Ready() []int {
	var ready []int
	for i := range t.settings {
		if instance := t.Instance(i); instance != nil && instance.Ready() {
			ready = append(ready, i)
		}
	}
	return ready
}

// PutRows puts new rows into the table.
func (t *Tier) PutRows(rows []tabulator.RowFields) (uint64, error) {
	change, err := t.Operator().ChangeRows(tabulator.ChangeRows{ChangeID: t.changeID(), Operator: "experiment", Rows: rows})
	return t.accepted(change, err)
}

// SetDataCentre takes a data centre out or in and returns the revision.
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
		ChangeID: t.changeID(), Operator: "experiment", Name: name, State: state, Base: base,
	})
	return t.accepted(change, err)
}

// WaitInForce waits until a revision is in force everywhere and returns how long that took after it was accepted.
func (t *Tier) WaitInForce(revision uint64) (operator.InForce, error) {
	var last operator.InForce
	err := waitFor(readyTimeout, "the change is in force", func() bool {
		reply, err := t.Operator().InForce(revision)
		last = reply
		return err == nil && reply.IsEverywhere
	})
	return last, err
}

func (t *Tier) accepted(change operator.ChangeResult, err error) (uint64, error) {
	if err != nil {
		return 0, err
	}
	if change.Outcome != operator.OutcomeAccepted {
		return 0, errors.Errorf("change %s: %s %v", change.ChangeID, change.Outcome, change.Errors)
	}
	return change.Revision, nil
}

func (t *Tier) changeID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes++
	return fmt.Sprintf("experiment-%d", t.changes)
}

func (t *Tier) prepare() error {
	keyFile := filepath.Join(t.folder, "cluster.key")
	if err := os.WriteFile(keyFile, []byte("the key of an experiment"), keyMode); err != nil {
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
	addresses, err := freeAddresses(3)
	if err != nil {
		return configurer.Settings{}, err
	}
	settings := configurer.Settings{
		Cluster: clusterName, Instance: fmt.Sprintf("entry-%d", i+1), DataCentre: t.spec.DataCentres[i%len(t.spec.DataCentres)],
		Listen:      configurer.Listen{Caller: addresses[0], Peer: addresses[1], Operator: addresses[2]},
		PlatformURL: t.spec.Platform, KeyFile: keyFile,
	}
	t.network.Place(settings.Listen.Peer, settings.Instance, settings.DataCentre)
	return settings, nil
}

func (t *Tier) prepareControl() error {
	var members []configurer.ControlMember
	for i := range t.spec.Control {
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

// freeAddresses returns loopback addresses with free ports below those that the system gives to outgoing connections,
// so that none is taken before its instance listens.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range portTries {
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
	return nil, errors.New("find free ports: too many are taken")
}

func waitFor(timeout time.Duration, what string, done func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		if done() {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return errors.Errorf("wait until %s: not within %s", what, timeout)
}
