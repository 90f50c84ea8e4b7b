package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lovagedeck/pkg/demonstrator"
	"lovagedeck/pkg/printer"
)

func newDemoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "run a complete tier in this process, inject failures and check every answer",
		Description: "Example:\n  lovagedeck demo --seed 7\n\nThe demo takes less than a minute and exits with code 1 if it finds a violation.",
		Flags: []cli.Flag{
			&cli.UintFlag{Name: "seed", Value: 1, Usage: "random `SEED` of the load"},
			newOutputFlag(),
		},
		Action: runDemo,
	}
}

func runDemo(_ context.Context, command *cli.Command) error {
	format, err := parseOutputFormat(command)
	if err != nil {
		return err
	}
	result, err := demonstrator.Run(demonstrator.Config{Seed: uint64(command.Uint("seed")), Progress: os.Stderr})
	if err != nil {
		return err
	}
	if err := printer.Print(command.Root().Writer, format, newDemoSheet(result), result); err != nil {
		return err
	}
	if format == printer.FormatText {
		printSlowest(command.Root().Writer, result)
	}
	if result.ViolationCount() > 0 {
		return errors.Errorf("%d violations: %v, for example %v", result.ViolationCount(), result.Violations, result.Examples)
	}
	return nil
}

func newDemoSheet(r demonstrator.Result) *printer.Sheet {
	sheet := printer.NewSheet("measure", "value")
	sheet.Add("queries", strconv.Itoa(r.Queries))
	for _, outcome := range demonstrator.SortedKeys(r.Outcomes) {
		sheet.Add("  "+outcome, strconv.Itoa(r.Outcomes[outcome]))
	}
	for _, reason := range demonstrator.SortedKeys(r.Reasons) {
		sheet.Add("    "+reason, strconv.Itoa(r.Reasons[reason]))
	}
	sheet.Add("p50", r.P50.Round(100*time.Microsecond).String())
	sheet.Add("p99", r.P99.Round(100*time.Microsecond).String())
	sheet.Add("p99.9", r.P999.Round(100*time.Microsecond).String())
	sheet.Add("coverage", fmt.Sprintf("%.4f", r.Coverage))
	sheet.Add("work received / needed", fmt.Sprintf("%.3f", r.WorkRatio))
	for _, change := range r.InForce {
		sheet.Add("in force: "+change.Change, fmt.Sprintf("%d/%d after %s", change.UpToDate, change.Members, change.Duration.Round(time.Millisecond)))
	}
	sheet.Add("violations", strconv.Itoa(r.ViolationCount()))
	return sheet
}

func printSlowest(w io.Writer, r demonstrator.Result) {
	_, _ = fmt.Fprintf(w, "\nslowest query %s: %s\n", r.SlowestID, r.Explanation)
	for i, line := range r.Tree {
		if i > 4 {
			break
		}
		_, _ = fmt.Fprintln(w, line)
	}
}
