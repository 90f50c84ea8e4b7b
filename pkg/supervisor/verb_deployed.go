package supervisor

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"lovagedeck/pkg/recorder"
	"lovagedeck/pkg/steward"
)

// runFunc runs an entry instance or a control instance until the context is cancelled.
type runFunc func(ctx context.Context, platform steward.Platform, log logr.Logger) error

func newEntryCommand(platform steward.Platform) *cli.Command {
	return &cli.Command{
		Name:         "entry",
		Usage:        "run an entry instance of a deployment with the settings file of the platform",
		Description:  "The environment variable of the platform gives the path of the settings file.\n\nExample:\n  lovagedeckd entry",
		OnUsageError: onUsageError,
		Action:       newRunAction(platform, steward.RunEntry),
	}
}

func newControlCommand(platform steward.Platform) *cli.Command {
	return &cli.Command{
		Name:         "control",
		Usage:        "run a control instance of a deployment with the settings file of the platform",
		Description:  "The environment variable of the platform gives the path of the settings file.\n\nExample:\n  lovagedeckd control",
		OnUsageError: onUsageError,
		Action:       newRunAction(platform, steward.RunControl),
	}
}

// newRunAction returns an action that runs an instance until SIGTERM or an interrupt and writes its log to standard output.
func newRunAction(platform steward.Platform, run runFunc) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		logRecorder := recorder.New(command.Root().Writer)
		log := logRecorder.Logger(command.Name, "info")
		signalContext, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
		err := run(signalContext, platform, log)
		if err != nil {
			log.Error(err, "supervisor: instance failed")
		}
		_ = logRecorder.Sync()
		return err
	}
}
