// A bench run starts a tier against the leafs of one user, offers a share of
// the capacity of the leafs, brings about what the experiment is named for, and
// prints what callers and leafs saw.

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
	benchInstances = 8
	benchControl   = 3
	benchWork      = 6 * time.Millisecond
	// SlowMotion is by how much every time of a bench run is multiplied, and every result divided.
	SlowMotion = 8.0
	// TargetP99 is the stated bound for 99 in 100 answers.
	TargetP99 = 52 * time.Millisecond
	// CurrentPolicy is the name of the policy that instances run by default.
	CurrentPolicy = "current"
)

// policies are the present policy and those it is compared with.
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
	// BenchConfig sets up bench runs.
	BenchConfig struct {
		Seed     uint64
		Shape    string
		Progress io.Writer
	}

	// Phase is a stretch of load with its own figures.
	Phase struct {
		Experiment string         `json:"experiment"`
		Phase      string         `json:"phase"`
		Policy     string         `json:"policy"`
		Shape      string         `json:"shape"`
		Load       float64        `json:"load"`
		Offered    float64        `json:"offered-per-second"`
		Goodput    float64        `json:"answered-per-second"`
		P50        time.Duration  `json:"p50-ns"`
		P90        time.Duration  `json:"p90-ns"`
		P99        time.Duration  `json:"p99-ns"`
		P999       time.Duration  `json:"p99.9-ns"`
		Outcomes   map[string]int `json:"outcomes"`
		Reasons    map[string]int `json:"reasons"`
		Coverage   float64        `json:"coverage"`
		Work       float64        `json:"work-received-over-needed"`
		PerSecond  []float64      `json:"p99-ms-per-second"`
		Explained  string         `json:"slowest-explained"`
	}

	// Run is one run of one experiment.
	Run struct {
		Phases     []Phase           `json:"phases"`
		Violations map[string]int    `json:"violations"`
		Examples   map[string]string `json:"examples"`
	}

	// environment is what an experiment works on.
	environment struct {
		config   BenchConfig
		shape    emulator.Shape
		services []string
		fleet    *emulator.Fleet
		tier     *Tier
		judge    *Judge
		policy   string
		name     string
		run      Run
	}
)

// Policies returns the names of the policies in order.
func Policies() []string {
	names := make([]string, 0, len(policies))
	for name := range policies {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// RunExperiment runs one experiment under one policy.
func RunExperiment(name, policy string, config BenchConfig) (Run, error) {
	experiment, ok := findExperiment(name)
	if !ok {
		return Run{}, errors.Errorf("no experiment %q", name)
	}
	options, ok := policies[policy]
	if !ok {
		return Run{}, errors.Errorf("no policy %q", policy)
	}
	env, err := newEnvironment(name, policy, options, config)
	if err != nil {
		return Run{}, err
	}
	defer env.close()
	if err := experiment.run(env); err != nil {
		return env.run, errors.Wrapf(err, "experiment %s", name)
	}
	env.run.Violations, env.run.Examples = env.judge.Finish()
	return env.run, nil
}

// ViolationCount returns the number of violations of any kind.
func (r Run) ViolationCount() int {
	total := 0
	for _, count := range r.Violations {
		total += count
	}
	return total
}

func newEnvironment(name, policy string, options []runner.Option, config BenchConfig) (*environment, error) {
	shape, ok := emulator.ShapeNamed(config.Shape, benchWork)
	if !ok {
		return nil, errors.Errorf("no shape %q", config.Shape)
	}
	env := &environment{config: config, shape: shape.SlowMotion(SlowMotion), policy: policy, name: name}
	env.services = env.shape.Query(71)
	var err error
	if env.fleet, err = emulator.NewFleet(config.Seed, env.shape); err != nil {
		return nil, err
	}
	env.judge = NewJudge(env.fleet)
	env.tier, err = NewTier(TierSpec{
		Instances: benchInstances, Control: benchControl, DataCentres: shape.DataCentres, Delay: env.shape.Distance / 2,
		Platform: env.fleet.Platform(), Options: append([]runner.Option{runner.WithSeed(config.Seed)}, options...),
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

// prepare puts the table and lets the leafs warm up under a light load.
func (e *environment) prepare() error {
	e.say("starting")
	revision, err := e.tier.PutRows(e.shape.Rows())
	if err != nil {
		return err
	}
	if _, err := e.tier.WaitInForce(revision); err != nil {
		return err
	}
	if err := e.tier.WaitOwned(len(e.shape.Leafs())); err != nil {
		return err
	}
	warm := NewLoad(e.rate(0.3), e.templates(), Direct(e.tier, e.config.Seed), e.judge, e.config.Seed)
	warm.Run(2 * time.Second)
	return nil
}

func (e *environment) close() {
	e.tier.Close()
	e.fleet.Close()
}

func (e *environment) rate(load float64) float64 {
	return load * e.shape.Capacity(e.services)
}

func (e *environment) templates() []Template {
	return []Template{{Caller: "desk", Services: e.services, Share: 1}}
}

// step is something that an experiment does after some time.
type step struct {
	after time.Duration
	what  string
	do    func() error
}

// load offers a share of the capacity of the leafs and carries out steps meanwhile.
func (e *environment) load(phase string, share float64, duration time.Duration, steps ...step) error {
	e.say("%s: %.0f%% of the capacity of the leafs for %s", phase, 100*share, duration)
	load := NewLoad(e.rate(share), e.templates(), Direct(e.tier, e.config.Seed), e.judge, e.config.Seed+1)
	before := e.fleet.Counts()
	var group conc.WaitGroup
	var stepErr error
	group.Go(func() { stepErr = e.carryOut(steps) })
	tally := load.Run(duration)
	group.Wait()
	e.run.Phases = append(e.run.Phases, e.figures(phase, share, tally, before))
	return stepErr
}

func (e *environment) carryOut(steps []step) error {
	begun := time.Now()
	for _, s := range steps {
		time.Sleep(time.Until(begun.Add(s.after)))
		e.say("%s", s.what)
		if err := s.do(); err != nil {
			return errors.Wrap(err, s.what)
		}
	}
	return nil
}

func (e *environment) figures(phase string, share float64, tally *Tally, before emulator.Counts) Phase {
	after := e.fleet.Counts()
	figures := Phase{
		Experiment: e.name, Phase: phase, Policy: e.policy, Shape: e.shape.Name, Load: share,
		Offered: float64(tally.Offered()) / tally.took.Seconds(), Goodput: tally.Goodput(),
		P50: quickened(tally.Percentile(50)), P90: quickened(tally.Percentile(90)), P99: quickened(tally.Percentile(99)),
		P999: quickened(tally.Percentile(99.9)), Outcomes: map[string]int{}, Reasons: tally.Reasons(), Coverage: tally.Coverage(),
		Work: float64(after.Received-before.Received) / float64(max(1, tally.Needed())),
	}
	for outcome, count := range tally.Outcomes() {
		figures.Outcomes[string(outcome)] = count
	}
	for _, p99 := range tally.PerSecond(99) {
		figures.PerSecond = append(figures.PerSecond, quickened(p99).Seconds()*1000)
	}
	if id, _ := tally.Slowest(); id != "" {
		figures.Explained = e.explain(id)
	}
	return figures
}

func (e *environment) explain(id string) string {
	trace, ok := e.tier.FindTrace(id)
	if !ok {
		return ""
	}
	return tracer.Explain(trace)
}

// Complete returns the share of the offered queries with a complete answer.
func (p Phase) Complete() float64 {
	total := 0
	for _, count := range p.Outcomes {
		total += count
	}
	return float64(p.Outcomes[string(coordinator.OutcomeComplete)]) / float64(max(1, total))
}

func (e *environment) say(format string, args ...any) {
	_, _ = fmt.Fprintf(e.config.Progress, "%s (%s, %s): %s\n", e.name, e.policy, e.config.Shape, fmt.Sprintf(format, args...))
}

// quickened turns a measured time back into the time of the users.
func quickened(d time.Duration) time.Duration { return time.Duration(float64(d) / SlowMotion) }
