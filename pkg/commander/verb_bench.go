package commander

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lovagedeck/pkg/experimenter"
	"lovagedeck/pkg/printer"
)

const roundsPerPolicy = 2

func newBenchCommand() *cli.Command {
	return &cli.Command{
		Name:      "bench",
		Usage:     "run an experiment against emulated leafs and print the measurements of callers and leafs",
		ArgsUsage: "NAME (or all)",
		Description: "Example:\n  lovagedeck bench steady\n  lovagedeck bench stragglers --compare no-hedges\n" +
			"  lovagedeck bench all --shape tobermory --output csv\n\n" + formatExperimentList(),
		Flags: []cli.Flag{
			&cli.UintFlag{Name: "seed", Value: 1, Usage: "random `SEED` of the load"},
			&cli.StringFlag{Name: "shape", Value: "agency", Usage: "`SHAPE` of the leafs: agency or tobermory"},
			&cli.StringFlag{Name: "compare", Usage: "also run this `POLICY`, alternating with the current one: " + strings.Join(experimenter.Policies(), ", ")},
			&cli.StringFlag{Name: "plot", Usage: "plot the p99 of each second to this `FILE.svg`"},
			&cli.StringFlag{Name: "report", Usage: "write the figures as a Markdown table to this `FILE.md`"},
			newOutputFlag(),
		},
		Action: runBench,
	}
}

func formatExperimentList() string {
	lines := []string{"Experiments:"}
	for _, e := range experimenter.Experiments() {
		lines = append(lines, fmt.Sprintf("  %-20s %s", e[0], e[1]))
	}
	return strings.Join(lines, "\n")
}

func runBench(_ context.Context, command *cli.Command) error {
	format, err := parseOutputFormat(command)
	if err != nil {
		return err
	}
	names, err := selectExperiments(command.Args().First())
	if err != nil {
		return err
	}
	config := experimenter.BenchConfig{Seed: uint64(command.Uint("seed")), Shape: command.String("shape"), Progress: os.Stderr}
	runs, firstErr := runExperiments(names, selectPolicies(command.String("compare")), config)
	if err := printer.Print(command.Root().Writer, format, newBenchSheet(runs), runs); err != nil {
		return err
	}
	if baseline := command.String("compare"); baseline != "" && format == printer.FormatText {
		printRatios(command, runs, baseline)
	}
	if path := command.String("plot"); path != "" {
		if err := experimenter.Plot(path, runs); err != nil {
			return err
		}
	}
	if path := command.String("report"); path != "" {
		if err := writeReport(path, runs); err != nil {
			return err
		}
	}
	if firstErr != nil {
		return firstErr
	}
	return checkViolations(runs)
}

// runExperiments runs every experiment under every policy. It continues after an error and returns the completed runs
// and the first error.
func runExperiments(names, policies []string, config experimenter.BenchConfig) ([]experimenter.Run, error) {
	var runs []experimenter.Run
	var firstErr error
	for _, name := range names {
		for _, policy := range policies {
			run, err := experimenter.RunExperiment(name, policy, config)
			if err != nil {
				printProgressf("%v", err)
				if firstErr == nil {
					firstErr = err
				}
				continue
			}
			runs = append(runs, run)
		}
	}
	return runs, firstErr
}

func writeReport(path string, runs []experimenter.Run) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write report")
	}
	if err := experimenter.WriteReport(file, runs); err != nil {
		_ = file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "write report")
}

func selectExperiments(name string) ([]string, error) {
	if name == "" {
		return nil, usageErrorf("an experiment or all is required")
	}
	var names []string
	for _, e := range experimenter.Experiments() {
		if name == "all" || name == e[0] {
			names = append(names, e[0])
		}
	}
	if len(names) == 0 {
		return nil, usageErrorf("no experiment %q", name)
	}
	return names, nil
}

// selectPolicies returns the policies in the order of their runs. Compared policies alternate, so that a change in the
// speed of the machine affects both.
func selectPolicies(baseline string) []string {
	if baseline == "" {
		return []string{experimenter.CurrentPolicy}
	}
	var names []string
	for range roundsPerPolicy {
		names = append(names, experimenter.CurrentPolicy, baseline)
	}
	return names
}

func newBenchSheet(runs []experimenter.Run) *printer.Sheet {
	sheet := printer.NewSheet("experiment", "phase", "policy", "shape", "load", "offered/s", "answered/s", "p50", "p90", "p99", "p99.9",
		"complete", "coverage", "work", "violations")
	for _, run := range runs {
		for _, p := range run.Phases {
			sheet.Add(p.Experiment, p.Phase, p.Policy, p.Shape, fmt.Sprintf("%.2f", p.LoadShare), fmt.Sprintf("%.0f", p.OfferedRate),
				fmt.Sprintf("%.0f", p.Goodput), formatMs(p.P50), formatMs(p.P90), formatMs(p.P99), formatMs(p.P999),
				fmt.Sprintf("%.4f", p.CompleteRatio()), fmt.Sprintf("%.4f", p.Coverage), fmt.Sprintf("%.3f", p.WorkRatio), formatViolations(run))
		}
	}
	return sheet
}

func formatViolations(run experimenter.Run) string {
	if run.ViolationCount() == 0 {
		return "0"
	}
	return fmt.Sprint(run.Violations)
}

// printRatios prints the p99 latency and the goodput of the current policy relative to the baseline for each phase,
// summed over the rounds.
func printRatios(command *cli.Command, runs []experimenter.Run, baseline string) {
	sums := map[string]map[string][2]float64{}
	var keys []string
	for _, run := range runs {
		for _, p := range run.Phases {
			key := p.Experiment + " " + p.Phase
			if sums[key] == nil {
				sums[key] = map[string][2]float64{}
				keys = append(keys, key)
			}
			sum := sums[key][p.Policy]
			sums[key][p.Policy] = [2]float64{sum[0] + p.P99.Seconds(), sum[1] + p.Goodput}
		}
	}
	for _, key := range keys {
		current, reference := sums[key][experimenter.CurrentPolicy], sums[key][baseline]
		_, _ = fmt.Fprintf(command.Root().Writer, "%s: p99 %.2f of %s, answered %.2f of it\n", key, current[0]/reference[0], baseline, current[1]/reference[1])
	}
}

func checkViolations(runs []experimenter.Run) error {
	for _, run := range runs {
		for _, p := range run.Phases {
			if p.Policy == experimenter.CurrentPolicy && run.ViolationCount() > 0 {
				return errors.Errorf("%s: violations %v, for example %v", p.Experiment, run.Violations, run.Examples)
			}
		}
	}
	return nil
}

func formatMs(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}
