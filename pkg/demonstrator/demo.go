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
	instanceCount = 8
	controlCount  = 3
	leafWork      = 6 * time.Millisecond
	halfTrip      = 500 * time.Microsecond
	loadRate      = 24.0
	loadTime      = 30 * time.Second
	stepPause     = 3 * time.Second
	isolatedFor   = 5 * time.Second
)

type (
	// Config sets up the demonstration.
	Config struct {
		Seed     uint64
		Progress io.Writer
	}

	// Result is what the demonstration measured.
	Result struct {
		Queries     int               `json:"queries"`
		Outcomes    map[string]int    `json:"outcomes"`
		Reasons     map[string]int    `json:"reasons"`
		P50         time.Duration     `json:"p50-ns"`
		P99         time.Duration     `json:"p99-ns"`
		P999        time.Duration     `json:"p99.9-ns"`
		Coverage    float64           `json:"coverage"`
		ExtraLoad   float64           `json:"extra-load"`
		InForce     []InForce         `json:"in-force"`
		Violations  map[string]int    `json:"violations"`
		Examples    map[string]string `json:"examples"`
		Slowest     string            `json:"slowest"`
		Explanation string            `json:"explanation"`
		Tree        []string          `json:"tree"`
		Steps       []string          `json:"steps"`
		EndedInTime bool              `json:"ended-in-time"`
	}

	// InForce is how long one change took until it was in force everywhere.
	InForce struct {
		Change  string        `json:"change"`
		Acting  int           `json:"acting"`
		Members int           `json:"members"`
		Took    time.Duration `json:"took-ns"`
	}

	demo struct {
		config Config
		fleet  *emulator.Fleet
		tier   *experimenter.Tier
		begun  time.Time
		result Result
	}
)

// Run runs the demonstration and returns what it measured.
func Run(config Config) (Result, error) {
	d := &demo{config: config, begun: time.Now()}
	agency, tobermory := emulator.Agency(leafWork), emulator.Tobermory(leafWork)
	var err error
	if d.fleet, err = emulator.NewFleet(config.Seed, agency, tobermory); err != nil {
		return d.result, err
	}
	defer d.fleet.Close()
	d.tier, err = experimenter.NewTier(experimenter.TierSpec{
		Instances: instanceCount, Control: controlCount, Delay: halfTrip, Platform: d.fleet.Platform(),
		DataCentres: append(append([]string(nil), agency.DataCentres...), tobermory.DataCentres...),
	})
	if err != nil {
		return d.result, err
	}
	defer d.tier.Close()
	if err := d.putTable(agency, tobermory); err != nil {
		return d.result, err
	}
	err = d.underLoad(agency, tobermory)
	return d.result, err
}

// ViolationCount returns the number of violations of any kind.
func (r Result) ViolationCount() int {
	total := 0
	for _, count := range r.Violations {
		total += count
	}
	return total
}

func (d *demo) putTable(shapes ...emulator.Shape) error {
	var rows []tabulator.RowFields
	leafs := 0
	for _, shape := range shapes {
		rows = append(rows, shape.Rows()...)
		leafs += len(shape.Leafs())
	}
	d.say("%d instances, %d of them with a data folder; %d leafs of %d services", instanceCount, controlCount, leafs, len(rows)/3)
	revision, err := d.tier.PutRows(rows)
	if err != nil {
		return err
	}
	if err := d.awaitInForce("table put", revision); err != nil {
		return err
	}
	d.say("waiting until former owners of the leafs, if there were any, must have stopped")
	return d.tier.WaitOwned(leafs)
}

func (d *demo) underLoad(agency, tobermory emulator.Shape) error {
	judge := experimenter.NewJudge(d.fleet)
	load := experimenter.NewLoad(loadRate, []experimenter.Template{
		{Caller: "customs-officer", Services: agency.Query(71), Share: 0.4},
		{Caller: "council-officer", Services: tobermory.Query(70), Share: 0.4},
		{Caller: "inspector", Services: []string{"inspector-field"}, Share: 0.1},
		{Caller: "certificates", Services: []string{"registry-admin"}, Share: 0.05, Effect: true},
		{Caller: "night-check", Services: []string{"cert-audit"}, Share: 0.05},
	}, experimenter.OverHTTP(d.tier, d.config.Seed), judge, d.config.Seed)
	before := d.fleet.Counts()
	var group conc.WaitGroup
	var stepErr error
	group.Go(func() { stepErr = d.steps() })
	tally := load.Run(loadTime)
	group.Wait()
	d.collect(tally, judge, before)
	return stepErr
}

// steps brings about one failure after the other.
func (d *demo) steps() error {
	time.Sleep(stepPause)
	if err := d.dataCentre("ub-b", tabulator.StateOut); err != nil {
		return err
	}
	time.Sleep(stepPause)
	if err := d.restartLeaf("customs-desk-07-ub-a-1"); err != nil {
		return err
	}
	time.Sleep(stepPause / 2)
	if err := d.dataCentre("ub-b", tabulator.StateIn); err != nil {
		return err
	}
	time.Sleep(stepPause)
	if err := d.loseLeaf("grant-desk-03-tob-a-0"); err != nil {
		return err
	}
	time.Sleep(stepPause / 2)
	isolated := d.tier.Settings(controlCount - 1).Instance
	d.say("isolate control instance %s silently for %s", isolated, isolatedFor)
	d.tier.Network().Isolate(isolated)
	time.Sleep(isolatedFor)
	d.tier.Network().Heal(isolated)
	d.say("heal %s", isolated)
	time.Sleep(stepPause / 2)
	version := d.fleet.Publish("agency", true)
	d.say("publish index version %d of agency", version)
	return nil
}

func (d *demo) dataCentre(name string, state tabulator.State) error {
	revision, err := d.tier.SetDataCentre(name, state)
	if err != nil {
		return err
	}
	d.fleet.TakeOut(name, state == tabulator.StateOut)
	return d.awaitInForce(fmt.Sprintf("data-centre %s %s", state, name), revision)
}

func (d *demo) awaitInForce(change string, revision uint64) error {
	begun := time.Now()
	reply, err := d.tier.WaitInForce(revision)
	if err != nil {
		return err
	}
	took := time.Since(begun)
	d.say("%s: accepted at revision %d, in force on %d/%d after %s", change, revision, reply.UpToDate, reply.Members, took.Round(time.Millisecond))
	d.result.InForce = append(d.result.InForce, InForce{Change: change, Acting: reply.UpToDate, Members: reply.Members, Took: took})
	return nil
}

func (d *demo) restartLeaf(id string) error {
	leaf, ok := d.fleet.Find(id)
	if !ok {
		return errors.Errorf("demo: no leaf %s", id)
	}
	d.say("restart leaf %s, which is cold then", id)
	return leaf.Restart()
}

func (d *demo) loseLeaf(id string) error {
	leaf, ok := d.fleet.Find(id)
	if !ok {
		return errors.Errorf("demo: no leaf %s", id)
	}
	d.say("lose leaf %s for good; the platform's list still has it", id)
	leaf.Stop()
	return nil
}

func (d *demo) collect(tally *experimenter.Tally, judge *experimenter.Judge, before emulator.Counts) {
	after := d.fleet.Counts()
	r := &d.result
	r.Queries = tally.Offered()
	r.Reasons = tally.Reasons()
	r.Outcomes = map[string]int{}
	for outcome, count := range tally.Outcomes() {
		r.Outcomes[string(outcome)] = count
	}
	r.P50, r.P99, r.P999 = tally.Percentile(50), tally.Percentile(99), tally.Percentile(99.9)
	r.Coverage = tally.Coverage()
	r.ExtraLoad = float64(after.Received-before.Received) / float64(max(1, tally.Needed()))
	r.Violations, r.Examples = judge.Finish()
	r.Slowest, _ = tally.Slowest()
	if trace, ok := d.tier.FindTrace(r.Slowest); ok {
		r.Explanation = tracer.Explain(trace)
		r.Tree = tracer.Tree(trace)
	}
	r.EndedInTime = time.Since(d.begun) < time.Minute
}

func (d *demo) say(format string, args ...any) {
	line := fmt.Sprintf("%5.1f s  ", time.Since(d.begun).Seconds()) + fmt.Sprintf(format, args...)
	d.result.Steps = append(d.result.Steps, line)
	_, _ = fmt.Fprintln(d.config.Progress, line)
}

// Names returns the keys of counts in order.
func Names(counts map[string]int) []string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
