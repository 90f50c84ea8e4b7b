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

const compareRounds = 2

func verbBench() *cli.Command {
	return &cli.Command{
		Name:      "bench",
		Usage:     "run an experiment against emulated leafs and print what callers and leafs saw",
		ArgsUsage: "NAME (or all)",
		Description: "Example:\n  lovagedeck bench steady\n  lovagedeck bench stragglers --compare no-hedges\n" +
			"  lovagedeck bench all --shape tobermory --output csv\n\n" + experimentList(),
		Flags: []cli.Flag{
			&cli.UintFlag{Name: "seed", Value: 1, Usage: "`SEED` of the load"},
			&cli.StringFlag{Name: "shape", Value: "agency", Usage: "`SHAPE` of the leafs: agency or tobermory"},
			&cli.StringFlag{Name: "compare", Usage: "also run this `POLICY`, in turn: " + strings.Join(experimenter.Policies(), ", ")},
			&cli.StringFlag{Name: "plot", Usage: "write the p99 of each second to this `FILE.svg`"},
			&cli.StringFlag{Name: "report", Usage: "write the figures as a Markdown table to this `FILE.md`"},
			outputFlag(),
		},
		Action: runBench,
	}
}

func experimentList() string {
	lines := []string{"Experiments:"}
	for _, e := range experimenter.Experiments() {
		lines = append(lines, fmt.Sprintf("  %-20s %s", e[0], e[1]))
	}
	return strings.Join(lines, "\n")
}

func runBench(_ context.Context, command *cli.Command) error {
	format, err := outputFormat(command)
	if err != nil {
		return err
	}
	names, err := benchNames(command.Args().First())
	if err != nil {
		return err
	}
	config := experimenter.BenchConfig{Seed: uint64(command.Uint("seed")), Shape: command.String("shape"), Progress: os.Stderr}
	runs, failed := runAll(names, benchPolicies(command.String("compare")), config)
	if err := printer.Print(command.Root().Writer, format, benchSheet(runs), runs); err != nil {
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
	if failed != nil {
		return failed
	}
	return benchVerdict(runs)
}

// runAll runs every experiment, goes on after one that failed, and returns the first failure with all figures.
func runAll(names, policies []string, config experimenter.BenchConfig) ([]experimenter.Run, error) {
	var runs []experimenter.Run
	var failed error
	for _, name := range names {
		for _, policy := range policies {
			run, err := experimenter.RunExperiment(name, policy, config)
			if err != nil {
				progress("%v", err)
				if failed == nil {
					failed = err
				}
				continue
			}
			runs = append(runs, run)
		}
	}
	return runs, failed
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

func benchNames(name string) ([]string, error) {
	if name == "" {
		return nil, usagef("name an experiment, or all")
	}
	var names []string
	for _, e := range experimenter.Experiments() {
		if name == "all" || name == e[0] {
			names = append(names, e[0])
		}
	}
	if len(names) == 0 {
		return nil, usagef("no experiment %q", name)
	}
	return names, nil
}

// benchPolicies alternates the compared policies, so that a drift of the machine meets both.
func benchPolicies(baseline string) []string {
	if baseline == "" {
		return []string{experimenter.CurrentPolicy}
	}
	var names []string
	for range compareRounds {
		names = append(names, experimenter.CurrentPolicy, baseline)
	}
	return names
}

func benchSheet(runs []experimenter.Run) *printer.Sheet {
	sheet := printer.NewSheet("experiment", "phase", "policy", "shape", "load", "offered/s", "answered/s", "p50", "p90", "p99", "p99.9",
		"complete", "coverage", "work", "violations")
	for _, run := range runs {
		for _, p := range run.Phases {
			sheet.Add(p.Experiment, p.Phase, p.Policy, p.Shape, fmt.Sprintf("%.2f", p.Load), fmt.Sprintf("%.0f", p.Offered),
				fmt.Sprintf("%.0f", p.Goodput), tenths(p.P50), tenths(p.P90), tenths(p.P99), tenths(p.P999),
				fmt.Sprintf("%.4f", p.Complete()), fmt.Sprintf("%.4f", p.Coverage), fmt.Sprintf("%.3f", p.Work), violationText(run))
		}
	}
	return sheet
}

func violationText(run experimenter.Run) string {
	if run.ViolationCount() == 0 {
		return "0"
	}
	return fmt.Sprint(run.Violations)
}

// printRatios prints the present policy over the baseline, phase by phase, with the rounds averaged.
func printRatios(command *cli.Command, runs []experimenter.Run, baseline string) {
	sums := map[string]map[string][2]float64{}
	var order []string
	for _, run := range runs {
		for _, p := range run.Phases {
			key := p.Experiment + " " + p.Phase
			if sums[key] == nil {
				sums[key] = map[string][2]float64{}
				order = append(order, key)
			}
			sum := sums[key][p.Policy]
			sums[key][p.Policy] = [2]float64{sum[0] + p.P99.Seconds(), sum[1] + p.Goodput}
		}
	}
	for _, key := range order {
		now, then := sums[key][experimenter.CurrentPolicy], sums[key][baseline]
		_, _ = fmt.Fprintf(command.Root().Writer, "%s: p99 %.2f of %s, answered %.2f of it\n", key, now[0]/then[0], baseline, now[1]/then[1])
	}
}

func benchVerdict(runs []experimenter.Run) error {
	for _, run := range runs {
		for _, p := range run.Phases {
			if p.Policy == experimenter.CurrentPolicy && run.ViolationCount() > 0 {
				return errors.Errorf("%s: violations %v, such as %v", p.Experiment, run.Violations, run.Examples)
			}
		}
	}
	return nil
}

func tenths(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }
