package demonstrator

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"lovagedeck/pkg/emulator"
	"lovagedeck/pkg/experimenter"
	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/tracer"
)

const (
	instanceCount     = 8
	controlCount      = 3
	leafServiceTime   = 6 * time.Millisecond
	oneWayDelay       = 500 * time.Microsecond
	queriesPerSecond  = 24.0
	loadDuration      = 30 * time.Second
	stepPause         = 3 * time.Second
	isolationDuration = 5 * time.Second
)

type (
	// Config configures the demonstration.
	Config struct {
		Seed uint64
		// Progress receives one line for each step.
		Progress io.Writer
	}

	// Result holds the measurements of the demonstration.
	Result struct {
		Queries  int            `json:"queries"`
		Outcomes map[string]int `json:"outcomes"`
		Reasons  map[string]int `json:"reasons"`
		P50      time.Duration  `json:"p50-ns"`
		P99      time.Duration  `json:"p99-ns"`
		P999     time.Duration  `json:"p99.9-ns"`
		Coverage float64        `json:"coverage"`
		// WorkRatio is the number of requests that the leafs received divided by the number that the queries needed.
		WorkRatio   float64           `json:"extra-load"`
		InForce     []InForce         `json:"in-force"`
		Violations  map[string]int    `json:"violations"`
		Examples    map[string]string `json:"examples"`
		SlowestID   string            `json:"slowest"`
		Explanation string            `json:"explanation"`
		Tree        []string          `json:"tree"`
		Steps       []string          `json:"steps"`
		// EndedInTime reports whether the demonstration took less than a minute.
		EndedInTime bool `json:"ended-in-time"`
	}

	// InForce records how long one change took until it was in force on all instances.
	InForce struct {
		Change string `json:"change"`
		// UpToDate is the number of instances that use the change.
		UpToDate int           `json:"acting"`
		Members  int           `json:"members"`
		Duration time.Duration `json:"took-ns"`
	}

	demonstration struct {
		config    Config
		fleet     *emulator.Fleet
		tier      *experimenter.Tier
		startedAt time.Time
		result    Result
	}
)

// Run runs the demonstration and returns its measurements.
func Run(config Config) (Result, error) {
	d := &demonstration{config: config, startedAt: time.Now()}
	agency, tobermory := emulator.Agency(leafServiceTime), emulator.Tobermory(leafServiceTime)
	var err error
	if d.fleet, err = emulator.NewFleet(config.Seed, agency, tobermory); err != nil {
		return d.result, err
	}
	defer d.fleet.Close()
	d.tier, err = experimenter.NewTier(experimenter.TierSpec{
		Instances: instanceCount, ControlInstances: controlCount, OneWayDelay: oneWayDelay, PlatformURL: d.fleet.PlatformURL(),
		DataCentres: append(append([]string(nil), agency.DataCentres...), tobermory.DataCentres...),
	})
	if err != nil {
		return d.result, err
	}
	defer d.tier.Close()
	if err := d.putTable(agency, tobermory); err != nil {
		return d.result, err
	}
	err = d.runUnderLoad(agency, tobermory)
	return d.result, err
}

// ViolationCount returns the total number of violations of all kinds.
func (r Result) ViolationCount() int {
	total := 0
	for _, count := range r.Violations {
		total += count
	}
	return total
}

func (d *demonstration) putTable(shapes ...emulator.Shape) error {
	var rows []tabulator.RowFields
	leafs := 0
	for _, shape := range shapes {
		rows = append(rows, shape.Rows()...)
		leafs += len(shape.LeafSpecs())
	}
	d.reportStep("%d instances, %d of them with a data folder; %d leafs of %d services", instanceCount, controlCount, leafs, len(rows)/3)
	revision, err := d.tier.PutRows(rows)
	if err != nil {
		return err
	}
	if err := d.waitInForce("table put", revision); err != nil {
		return err
	}
	d.reportStep("waiting until former owners of the leafs, if there were any, must have stopped")
	return d.tier.WaitOwned(leafs)
}

func (d *demonstration) runUnderLoad(agency, tobermory emulator.Shape) error {
	checker := experimenter.NewChecker(d.fleet)
	load := experimenter.NewLoadGenerator(queriesPerSecond, []experimenter.QueryTemplate{
		{Caller: "customs-officer", Services: agency.ServicesForShards(71), Share: 0.4},
		{Caller: "council-officer", Services: tobermory.ServicesForShards(70), Share: 0.4},
		{Caller: "inspector", Services: []string{"inspector-field"}, Share: 0.1},
		{Caller: "certificates", Services: []string{"registry-admin"}, Share: 0.05, HasSideEffect: true},
		{Caller: "night-check", Services: []string{"cert-audit"}, Share: 0.05},
	}, experimenter.OverHTTP(d.tier, d.config.Seed), checker, d.config.Seed)
	before := d.fleet.Counts()
	var group conc.WaitGroup
	var injectionErr error
	group.Go(func() { injectionErr = d.injectFailures() })
	stats := load.Run(loadDuration)
	group.Wait()
	d.collectResult(stats, checker, before)
	return injectionErr
}

// injectFailures injects the failures one after another while the load is running.
func (d *demonstration) injectFailures() error {
	time.Sleep(stepPause)
	if err := d.setDataCentre("ub-b", tabulator.StateOut); err != nil {
		return err
	}
	time.Sleep(stepPause)
	if err := d.restartLeaf("customs-desk-07-ub-a-1"); err != nil {
		return err
	}
	time.Sleep(stepPause / 2)
	if err := d.setDataCentre("ub-b", tabulator.StateIn); err != nil {
		return err
	}
	time.Sleep(stepPause)
	if err := d.stopLeaf("grant-desk-03-tob-a-0"); err != nil {
		return err
	}
	time.Sleep(stepPause / 2)
	isolated := d.tier.Settings(controlCount - 1).Instance
	d.reportStep("isolate control instance %s silently for %s", isolated, isolationDuration)
	d.tier.Network().Isolate(isolated)
	time.Sleep(isolationDuration)
	d.tier.Network().Heal(isolated)
	d.reportStep("heal %s", isolated)
	time.Sleep(stepPause / 2)
	version := d.fleet.Publish("agency", true)
	d.reportStep("publish index version %d of agency", version)
	return nil
}

func (d *demonstration) setDataCentre(name string, state tabulator.State) error {
	revision, err := d.tier.SetDataCentre(name, state)
	if err != nil {
		return err
	}
	d.fleet.SetOutOfService(name, state == tabulator.StateOut)
	return d.waitInForce(fmt.Sprintf("data-centre %s %s", state, name), revision)
}

func (d *demonstration) waitInForce(change string, revision uint64) error {
	startedAt := time.Now()
	reply, err := d.tier.WaitInForce(revision)
	if err != nil {
		return err
	}
	duration := time.Since(startedAt)
	d.reportStep("%s: accepted at revision %d, in force on %d/%d after %s", change, revision, reply.UpToDate, reply.Members, duration.Round(time.Millisecond))
	d.result.InForce = append(d.result.InForce, InForce{Change: change, UpToDate: reply.UpToDate, Members: reply.Members, Duration: duration})
	return nil
}

func (d *demonstration) restartLeaf(id string) error {
	leaf, ok := d.fleet.Find(id)
	if !ok {
		return errors.Errorf("demo: no leaf %s", id)
	}
	d.reportStep("restart leaf %s, which is cold then", id)
	return leaf.Restart()
}

func (d *demonstration) stopLeaf(id string) error {
	leaf, ok := d.fleet.Find(id)
	if !ok {
		return errors.Errorf("demo: no leaf %s", id)
	}
	d.reportStep("lose leaf %s for good; the platform's list still has it", id)
	leaf.Stop()
	return nil
}

func (d *demonstration) collectResult(stats *experimenter.LoadStats, checker *experimenter.Checker, before emulator.Counts) {
	after := d.fleet.Counts()
	r := &d.result
	r.Queries = stats.Offered()
	r.Reasons = stats.Reasons()
	r.Outcomes = map[string]int{}
	for outcome, count := range stats.Outcomes() {
		r.Outcomes[string(outcome)] = count
	}
	r.P50, r.P99, r.P999 = stats.Percentile(50), stats.Percentile(99), stats.Percentile(99.9)
	r.Coverage = stats.Coverage()
	r.WorkRatio = float64(after.Received-before.Received) / float64(max(1, stats.ShardsNeeded()))
	r.Violations, r.Examples = checker.Finish()
	r.SlowestID, _ = stats.Slowest()
	if trace, ok := d.tier.FindTrace(r.SlowestID); ok {
		r.Explanation = tracer.Explain(trace)
		r.Tree = tracer.Tree(trace)
	}
	r.EndedInTime = time.Since(d.startedAt) < time.Minute
}

func (d *demonstration) reportStep(format string, args ...any) {
	line := fmt.Sprintf("%5.1f s  ", time.Since(d.startedAt).Seconds()) + fmt.Sprintf(format, args...)
	d.result.Steps = append(d.result.Steps, line)
	_, _ = fmt.Fprintln(d.config.Progress, line)
}

// SortedKeys returns the keys of counts in alphabetical order.
func SortedKeys(counts map[string]int) []string {
	keys := make([]string, 0, len(counts))
	for key := range counts {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
