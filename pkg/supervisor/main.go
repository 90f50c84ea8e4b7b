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
	programName     = "lovagedeckd"
	exitCodeFailure = 1
	exitCodeUsage   = 2
)

type usageError struct {
	cause error
}

func (e *usageError) Error() string { return e.cause.Error() }

// Main runs the command line and returns the exit code: 0 on success, 1 on a failure, 2 on a usage error. The
// subcommands entry and control read their settings and the list of leafs through platform.
func Main(args []string, stdout, stderr io.Writer, platform steward.Platform) int {
	root := &cli.Command{
		Name:           programName,
		Usage:          "run one instance of the query tier",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   onUsageError,
		Commands:       []*cli.Command{newRunCommand(), newCheckCommand(), newFormatCommand(), newEntryCommand(platform), newControlCommand(platform)},
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
		return exitCodeUsage
	}
	return exitCodeFailure
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &usageError{cause: err}
}

func newSettingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "`FILE` with the settings", Required: true}
}

func newRunCommand() *cli.Command {
	return &cli.Command{
		Name:         "run",
		Usage:        "run the instance until SIGTERM, then drain it and exit",
		Description:  "Example:\n  lovagedeckd run --settings examples/control-1.jsonc",
		Flags:        []cli.Flag{newSettingsFlag()},
		OnUsageError: onUsageError,
		Action:       runInstance,
	}
}

func newCheckCommand() *cli.Command {
	return &cli.Command{
		Name:         "check",
		Usage:        "check a settings file and report the file, line and key of each error",
		Description:  "Example:\n  lovagedeckd check --settings examples/control-1.jsonc",
		Flags:        []cli.Flag{newSettingsFlag()},
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

func newFormatCommand() *cli.Command {
	return &cli.Command{
		Name:  "format",
		Usage: "create the data folder of a control instance",
		Description: "Example:\n  lovagedeckd format --settings examples/control-1.jsonc --first\n\n" +
			"Use --first only when the cluster is created. Format a replacement disk without it and\nadd it with `lovagedeck control add`.",
		Flags:        []cli.Flag{newSettingsFlag(), &cli.BoolFlag{Name: "first", Usage: "the instance is one of the first control instances of a new cluster"}},
		OnUsageError: onUsageError,
		Action:       formatDataFolder,
	}
}

func formatDataFolder(_ context.Context, command *cli.Command) error {
	settings, err := configurer.Read(command.String("settings"))
	if err != nil {
		return err
	}
	if !settings.IsControl() {
		return &usageError{cause: errors.New("the settings have no data-folder, so the instance is not a control instance")}
	}
	if command.Bool("first") {
		if err := runner.CheckNewCluster(settings); err != nil {
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

func runInstance(ctx context.Context, command *cli.Command) error {
	settings, err := configurer.Read(command.String("settings"))
	if err != nil {
		return err
	}
	log, err := newLogger(settings.Log)
	if err != nil {
		return err
	}
	runner.LimitMemory(settings)
	instance, err := runner.New(settings, runner.WithLog(log))
	if err != nil {
		return err
	}
	signalContext, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-signalContext.Done()
	instance.Shutdown()
	log.Info("runner: instance stopped")
	return nil
}

func newLogger(settings configurer.Log) (logr.Logger, error) {
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
		return logr.Discard(), errors.Wrap(err, "create the logger")
	}
	return zapr.NewLogger(logger), nil
}
