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

func verbDemo() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "run a whole tier in this process through failures and judge every answer",
		Description: "Example:\n  lovagedeck demo --seed 7\n\nIt ends by itself in under a minute, with exit code 1 on any violation.",
		Flags: []cli.Flag{
			&cli.UintFlag{Name: "seed", Value: 1, Usage: "`SEED` of the load"},
			outputFlag(),
		},
		Action: runDemo,
	}
}

func runDemo(_ context.Context, command *cli.Command) error {
	format, err := outputFormat(command)
	if err != nil {
		return err
	}
	result, err := demonstrator.Run(demonstrator.Config{Seed: uint64(command.Uint("seed")), Progress: os.Stderr})
	if err != nil {
		return err
	}
	if err := printer.Print(command.Root().Writer, format, demoSheet(result), result); err != nil {
		return err
	}
	if format == printer.FormatText {
		printSlowest(command.Root().Writer, result)
	}
	if result.ViolationCount() > 0 {
		return errors.Errorf("%d violations: %v, such as %v", result.ViolationCount(), result.Violations, result.Examples)
	}
	return nil
}

func demoSheet(r demonstrator.Result) *printer.Sheet {
	sheet := printer.NewSheet("measure", "value")
	sheet.Add("queries", strconv.Itoa(r.Queries))
	for _, outcome := range demonstrator.Names(r.Outcomes) {
		sheet.Add("  "+outcome, strconv.Itoa(r.Outcomes[outcome]))
	}
	for _, reason := range demonstrator.Names(r.Reasons) {
		sheet.Add("    "+reason, strconv.Itoa(r.Reasons[reason]))
	}
	sheet.Add("p50", r.P50.Round(100*time.Microsecond).String())
	sheet.Add("p99", r.P99.Round(100*time.Microsecond).String())
	sheet.Add("p99.9", r.P999.Round(100*time.Microsecond).String())
	sheet.Add("coverage", fmt.Sprintf("%.4f", r.Coverage))
	sheet.Add("work received / needed", fmt.Sprintf("%.3f", r.ExtraLoad))
	for _, change := range r.InForce {
		sheet.Add("in force: "+change.Change, fmt.Sprintf("%d/%d after %s", change.Acting, change.Members, change.Took.Round(time.Millisecond)))
	}
	sheet.Add("violations", strconv.Itoa(r.ViolationCount()))
	return sheet
}

func printSlowest(w io.Writer, r demonstrator.Result) {
	_, _ = fmt.Fprintf(w, "\nslowest query %s: %s\n", r.Slowest, r.Explanation)
	for i, line := range r.Tree {
		if i > 4 {
			break
		}
		_, _ = fmt.Fprintln(w, line)
	}
}
