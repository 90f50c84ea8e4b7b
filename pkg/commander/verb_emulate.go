package commander

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"lovagedeck/pkg/emulator"
	"lovagedeck/pkg/tabulator"
)

func newEmulateCommand() *cli.Command {
	return &cli.Command{
		Name:        "emulate",
		Usage:       "run emulated leafs and a platform that lists them, until interrupted",
		Description: "Example:\n  lovagedeck emulate --shape agency --platform 127.0.0.1:9000",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "shape", Value: "agency", Usage: "`SHAPE` of the leafs: agency or tobermory"},
			&cli.StringFlag{Name: "platform", Value: "127.0.0.1:9000", Usage: "listen `ADDRESS` of the leaf list"},
			&cli.DurationFlag{Name: "work", Value: 6 * time.Millisecond, Usage: "typical service `TIME` of a request"},
			&cli.StringFlag{Name: "rows", Usage: "write the table rows of the shape to this `FILE`"},
		},
		Action: runEmulate,
	}
}

func runEmulate(ctx context.Context, command *cli.Command) error {
	shape, ok := emulator.ShapeByName(command.String("shape"), command.Duration("work"))
	if !ok {
		return usageErrorf("--shape %q is neither agency nor tobermory", command.String("shape"))
	}
	if path := command.String("rows"); path != "" {
		if err := writeRows(path, shape); err != nil {
			return err
		}
	}
	fleet, err := emulator.NewFleetAt(command.String("platform"), 1, shape)
	if err != nil {
		return err
	}
	defer fleet.Close()
	_, _ = fmt.Fprintf(command.Root().Writer, "%d leafs run; the platform's list is at %s\n", len(fleet.Leafs()), fleet.PlatformURL())
	signalContext, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-signalContext.Done()
	return nil
}

func writeRows(path string, shape emulator.Shape) error {
	file, err := os.Create(path)
	if err != nil {
		return usageErrorf("--rows: %v", err)
	}
	if err := tabulator.WriteCSV(file, shape.Rows()); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
