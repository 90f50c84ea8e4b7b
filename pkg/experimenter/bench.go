// A bench run starts a tier and the emulated leafs of one deployment, offers
// load at a share of the leafs' capacity, injects the faults or changes of the
// experiment, and reports the results that callers and leafs observed.

package experimenter

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"lovagedeck/pkg/admitter"
	"lovagedeck/pkg/chooser"
	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/emulator"
	"lovagedeck/pkg/runner"
	"lovagedeck/pkg/tracer"
)

const (
	benchInstances        = 8
	benchControlInstances = 3
	benchProcessingTime   = 6 * time.Millisecond
	// TimeScale is the factor by which all times of a bench run are multiplied and measured latencies divided.
	TimeScale = 8.0
	// TargetP99 is the required upper bound of the 99th latency percentile.
	TargetP99 = 52 * time.Millisecond
	// CurrentPolicy is the name of the policy that instances use by default.
	CurrentPolicy = "current"
)

// policies maps the name of each policy, the current one and its alternatives, to the options of the instances.
var policies = map[string][]runner.Option{
	CurrentPolicy:       nil,
	"static-split":      {runner.WithStaticSplit(benchInstances), runner.WithPolicy(chooser.Random{}), runner.WithoutHedges(), runner.WithoutLoadShedding()},
	"least-outstanding": {runner.WithPolicy(chooser.LeastOutstanding{})},
	"random-replica":    {runner.WithPolicy(chooser.Random{})},
	"no-hedges":         {runner.WithoutHedges()},
	"no-gate":           {runner.WithoutLoadShedding()},
	"gradient":          {runner.WithLimitGrowth(admitter.GradientGrowth{})},
}

type (
	// BenchConfig holds the seed and shape of bench runs and the writer of their progress messages.
	BenchConfig struct {
		Seed     uint64
		Shape    string
		Progress io.Writer
	}

	// Phase holds the results of one period of load in an experiment; latencies are divided by TimeScale, rates are not.
	Phase struct {
		Experiment         string         `json:"experiment"`
		Phase              string         `json:"phase"`
		Policy             string         `json:"policy"`
		Shape              string         `json:"shape"`
		LoadShare          float64        `json:"load"`
		OfferedRate        float64        `json:"offered-per-second"`
		Goodput            float64        `json:"answered-per-second"`
		P50                time.Duration  `json:"p50-ns"`
		P90                time.Duration  `json:"p90-ns"`
		P99                time.Duration  `json:"p99-ns"`
		P999               time.Duration  `json:"p99.9-ns"`
		Outcomes           map[string]int `json:"outcomes"`
		Reasons            map[string]int `json:"reasons"`
		Coverage           float64        `json:"coverage"`
		WorkRatio          float64        `json:"work-received-over-needed"`
		P99MsPerSecond     []float64      `json:"p99-ms-per-second"`
		SlowestExplanation string         `json:"slowest-explained"`
	}

	// Run holds the results of one run of an experiment.
	Run struct {
		Phases     []Phase           `json:"phases"`
		Violations map[string]int    `json:"violations"`
		Examples   map[string]string `json:"examples"`
	}

	// environment holds the tier, leafs and results of a running experiment.
	environment struct {
		config     BenchConfig
		shape      emulator.Shape
		services   []string
		fleet      *emulator.Fleet
		tier       *Tier
		checker    *Checker
		policy     string
		experiment string
		run        Run
	}
)

// Policies returns the names of the policies in alphabetical order.
func Policies() []string {
	names := make([]string, 0, len(policies))
	for name := range policies {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// RunExperiment runs one experiment under one policy; on an error it returns the results of the phases recorded so far.
func RunExperiment(name, policy string, config BenchConfig) (Run, error) {
	experiment, ok := findExperiment(name)
	if !ok {
		return Run{}, errors.Errorf("unknown experiment %q", name)
	}
	options, ok := policies[policy]
	if !ok {
		return Run{}, errors.Errorf("unknown policy %q", policy)
	}
	env, err := newEnvironment(name, policy, options, config)
	if err != nil {
		return Run{}, err
	}
	defer env.close()
	if err := experiment.run(env); err != nil {
		return env.run, errors.Wrapf(err, "experiment %s", name)
	}
	env.run.Violations, env.run.Examples = env.checker.Finish()
	return env.run, nil
}

// ViolationCount returns the total number of violations of all kinds.
func (r Run) ViolationCount() int {
	total := 0
	for _, count := range r.Violations {
		total += count
	}
	return total
}

func newEnvironment(name, policy string, options []runner.Option, config BenchConfig) (*environment, error) {
	shape, ok := emulator.ShapeByName(config.Shape, benchProcessingTime)
	if !ok {
		return nil, errors.Errorf("unknown shape %q", config.Shape)
	}
	env := &environment{config: config, shape: shape.WithTimeScale(TimeScale), policy: policy, experiment: name}
	env.services = env.shape.ServicesForShards(71)
	var err error
	if env.fleet, err = emulator.NewFleet(config.Seed, env.shape); err != nil {
		return nil, err
	}
	env.checker = NewChecker(env.fleet)
	env.tier, err = NewTier(TierSpec{
		Instances: benchInstances, ControlInstances: benchControlInstances, DataCentres: shape.DataCentres, OneWayDelay: env.shape.RoundTrip / 2,
		PlatformURL: env.fleet.PlatformURL(), Options: append([]runner.Option{runner.WithSeed(config.Seed)}, options...),
	})
	if err != nil {
		env.fleet.Close()
		return nil, err
	}
	if err := env.prepare(); err != nil {
		env.close()
		return nil, err
	}
	return env, nil
}

// prepare writes the service table, waits until every leaf has an owner, and warms up the leafs under a light load.
func (e *environment) prepare() error {
	e.reportProgress("starting")
	revision, err := e.tier.PutRows(e.shape.Rows())
	if err != nil {
		return err
	}
	if _, err := e.tier.WaitInForce(revision); err != nil {
		return err
	}
	if err := e.tier.WaitOwned(len(e.shape.LeafSpecs())); err != nil {
		return err
	}
	warmup := NewLoadGenerator(e.queryRate(0.3), e.templates(), InProcess(e.tier, e.config.Seed), e.checker, e.config.Seed)
	warmup.Run(2 * time.Second)
	return nil
}

func (e *environment) close() {
	e.tier.Close()
	e.fleet.Close()
}

func (e *environment) queryRate(load float64) float64 {
	return load * e.shape.Capacity(e.services)
}

func (e *environment) templates() []QueryTemplate {
	return []QueryTemplate{{Caller: "desk", Services: e.services, Share: 1}}
}

// step is an action that an experiment runs a given time after the start of a phase.
type step struct {
	after       time.Duration
	description string
	run         func() error
}

// runPhase offers load at a share of the leafs' capacity, runs the steps at the same time and records the results.
func (e *environment) runPhase(phase string, share float64, duration time.Duration, steps ...step) error {
	e.reportProgress("%s: %.0f%% of the capacity of the leafs for %s", phase, 100*share, duration)
	load := NewLoadGenerator(e.queryRate(share), e.templates(), InProcess(e.tier, e.config.Seed), e.checker, e.config.Seed+1)
	before := e.fleet.Counts()
	var group conc.WaitGroup
	var stepErr error
	group.Go(func() { stepErr = e.runSteps(steps) })
	stats := load.Run(duration)
	group.Wait()
	e.run.Phases = append(e.run.Phases, e.newPhase(phase, share, stats, before))
	return stepErr
}

func (e *environment) runSteps(steps []step) error {
	startedAt := time.Now()
	for _, s := range steps {
		time.Sleep(time.Until(startedAt.Add(s.after)))
		e.reportProgress("%s", s.description)
		if err := s.run(); err != nil {
			return errors.Wrap(err, s.description)
		}
	}
	return nil
}

func (e *environment) newPhase(phase string, share float64, stats *LoadStats, before emulator.Counts) Phase {
	after := e.fleet.Counts()
	result := Phase{
		Experiment: e.experiment, Phase: phase, Policy: e.policy, Shape: e.shape.Name, LoadShare: share,
		OfferedRate: float64(stats.Offered()) / stats.duration.Seconds(), Goodput: stats.Goodput(),
		P50: unscaled(stats.Percentile(50)), P90: unscaled(stats.Percentile(90)), P99: unscaled(stats.Percentile(99)),
		P999: unscaled(stats.Percentile(99.9)), Outcomes: map[string]int{}, Reasons: stats.Reasons(), Coverage: stats.Coverage(),
		WorkRatio: float64(after.Received-before.Received) / float64(max(1, stats.ShardsNeeded())),
	}
	for outcome, count := range stats.Outcomes() {
		result.Outcomes[string(outcome)] = count
	}
	for _, p99 := range stats.PercentilePerSecond(99) {
		result.P99MsPerSecond = append(result.P99MsPerSecond, unscaled(p99).Seconds()*1000)
	}
	if id, _ := stats.Slowest(); id != "" {
		result.SlowestExplanation = e.explainTrace(id)
	}
	return result
}

func (e *environment) explainTrace(id string) string {
	trace, ok := e.tier.FindTrace(id)
	if !ok {
		return ""
	}
	return tracer.Explain(trace)
}

// CompleteRatio returns the fraction of the offered queries that got a complete answer, from 0 to 1.
func (p Phase) CompleteRatio() float64 {
	total := 0
	for _, count := range p.Outcomes {
		total += count
	}
	return float64(p.Outcomes[string(coordinator.OutcomeComplete)]) / float64(max(1, total))
}

func (e *environment) reportProgress(format string, args ...any) {
	_, _ = fmt.Fprintf(e.config.Progress, "%s (%s, %s): %s\n", e.experiment, e.policy, e.config.Shape, fmt.Sprintf(format, args...))
}

// unscaled converts a measured duration to the time scale of the real deployment.
func unscaled(d time.Duration) time.Duration { return time.Duration(float64(d) / TimeScale) }
