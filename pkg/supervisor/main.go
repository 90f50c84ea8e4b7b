package supervisor

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"lovagedeck/pkg/configurer"
	"lovagedeck/pkg/journaler"
	"lovagedeck/pkg/runner"
	"lovagedeck/pkg/steward"
)

const (
	programName = "lovagedeckd"
	exitFailed  = 1
	exitUsage   = 2
)

type usageError struct {
	cause error
}

func (e *usageError) Error() string { return e.cause.Error() }

// Main runs the command line and returns its exit code; platform is where the verbs entry and control run.
func Main(args []string, stdout, stderr io.Writer, platform steward.Platform) int {
	root := &cli.Command{
		Name:           programName,
		Usage:          "run one instance of the query tier",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   onUsageError,
		Commands:       []*cli.Command{verbRun(), verbCheck(), verbFormat(), verbEntry(platform), verbControl(platform)},
		Action: func(_ context.Context, command *cli.Command) error {
			if name := command.Args().First(); name != "" {
				return &usageError{cause: errors.Errorf("no verb %q", name)}
			}
			return cli.ShowRootCommandHelp(command)
		},
	}
	err := root.Run(context.Background(), args)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintf(stderr, "%s: %v\n", programName, err)
	var usage *usageError
	if errors.As(err, &usage) {
		_, _ = fmt.Fprintf(stderr, "Please run '%s --help' for usage.\n", programName)
		return exitUsage
	}
	return exitFailed
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &usageError{cause: err}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "`FILE` with the settings", Required: true}
}

func verbRun() *cli.Command {
	return &cli.Command{
		Name:         "run",
		Usage:        "run the instance until SIGTERM, then finish what is under way",
		Description:  "Example:\n  lovagedeckd run --settings examples/control-1.jsonc",
		Flags:        []cli.Flag{settingsFlag()},
		OnUsageError: onUsageError,
		Action:       run,
	}
}

func verbCheck() *cli.Command {
	return &cli.Command{
		Name:         "check",
		Usage:        "check a settings file and name file, line and key of each fault",
		Description:  "Example:\n  lovagedeckd check --settings examples/control-1.jsonc",
		Flags:        []cli.Flag{settingsFlag()},
		OnUsageError: onUsageError,
		Action: func(_ context.Context, command *cli.Command) error {
			settings, err := configurer.Read(command.String("settings"))
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(command.Root().Writer, "%s: the settings of instance %s are good\n", command.String("settings"), settings.Instance)
			return err
		},
	}
}

func verbFormat() *cli.Command {
	return &cli.Command{
		Name:  "format",
		Usage: "make the data folder of a control instance",
		Description: "Example:\n  lovagedeckd format --settings examples/control-1.jsonc --first\n\n" +
			"Give --first only when the cluster is founded. A replaced disk is formatted without it and\nadded with `lovagedeck control add`.",
		Flags:        []cli.Flag{settingsFlag(), &cli.BoolFlag{Name: "first", Usage: "the instance founds the cluster"}},
		OnUsageError: onUsageError,
		Action:       format,
	}
}

func format(_ context.Context, command *cli.Command) error {
	settings, err := configurer.Read(command.String("settings"))
	if err != nil {
		return err
	}
	if !settings.IsControl() {
		return &usageError{cause: errors.New("the settings name no data-folder")}
	}
	if command.Bool("first") {
		if err := runner.CheckFounding(settings); err != nil {
			return err
		}
	}
	identity, err := journaler.Format(settings.ResolvePath(settings.DataDir), settings.Cluster, settings.Instance, command.Bool("first"))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(command.Root().Writer, "formatted %s for node %s\n", settings.DataDir, identity.Node())
	return err
}

func run(ctx context.Context, command *cli.Command) error {
	settings, err := configurer.Read(command.String("settings"))
	if err != nil {
		return err
	}
	log, err := newLog(settings.Log)
	if err != nil {
		return err
	}
	instance, err := runner.New(settings, runner.WithLog(log))
	if err != nil {
		return err
	}
	interrupted, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-interrupted.Done()
	instance.Shutdown()
	log.Info("runner: the instance has ended")
	return nil
}

func newLog(settings configurer.Log) (logr.Logger, error) {
	config := zap.NewProductionConfig()
	if settings.Format != "json" {
		config = zap.NewDevelopmentConfig()
	}
	config.Level = zap.NewAtomicLevelAt(zap.InfoLevel)
	if settings.Level == "debug" {
		config.Level = zap.NewAtomicLevelAt(zap.DebugLevel)
	}
	config.DisableStacktrace = true
	logger, err := config.Build()
	if err != nil {
		return logr.Discard(), errors.Wrap(err, "start the log")
	}
	return zapr.NewLogger(logger), nil
}
