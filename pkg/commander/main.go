// Each subcommand has a constructor in a file of its own, verb_*.go, and is
// registered in the list subcommands.

package commander

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const (
	programName     = "lovagedeck"
	exitCodeFailure = 1
	exitCodeUsage   = 2
)

// Version is the version that `lovagedeck version` prints.
const Version = "0.1.0"

var subcommands = []func() *cli.Command{
	newDemoCommand,
	newQueryCommand,
	newExplainCommand,
	newExplainRouteCommand,
	newTimelineCommand,
	newTableCommand,
	newDataCentreCommand,
	newRolloutCommand,
	newStatusCommand,
	newControlCommand,
	newBenchCommand,
	newEmulateCommand,
	newVersionCommand,
}

// usageError is an error in the arguments or flags of a command; the program then exits with exitCodeUsage.
type usageError struct {
	cause error
}

func (e *usageError) Error() string { return e.cause.Error() }

// Unwrap returns the error that the usage error wraps.
func (e *usageError) Unwrap() error { return e.cause }

// Main runs the command line and returns the exit code: 0 on success, 1 on a failure, 2 on a usage error.
func Main(args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:           programName,
		Usage:          "operate, inspect and test a query tier over many shards",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   onUsageError,
		Action:         onUnknownSubcommand,
	}
	for _, newCommand := range subcommands {
		command := newCommand()
		setUsageErrorHandler(command)
		root.Commands = append(root.Commands, command)
	}
	err := root.Run(context.Background(), args)
	if err == nil {
		return 0
	}
	subcommand := ""
	if len(args) > 1 {
		subcommand = " " + args[1]
	}
	_, _ = fmt.Fprintf(stderr, "%s%s: %v\n", programName, subcommand, err)
	var usage *usageError
	if errors.As(err, &usage) {
		_, _ = fmt.Fprintf(stderr, "Please run '%s%s --help' for usage.\n", programName, subcommand)
		return exitCodeUsage
	}
	return exitCodeFailure
}

func setUsageErrorHandler(command *cli.Command) {
	command.OnUsageError = onUsageError
	for _, subcommand := range command.Commands {
		setUsageErrorHandler(subcommand)
	}
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &usageError{cause: err}
}

func onUnknownSubcommand(_ context.Context, command *cli.Command) error {
	if name := command.Args().First(); name != "" {
		return &usageError{cause: errors.Errorf("no verb %q", name)}
	}
	return cli.ShowRootCommandHelp(command)
}

func usageErrorf(format string, args ...any) error {
	return &usageError{cause: errors.Errorf(format, args...)}
}

func printProgressf(format string, args ...any) {
	_, _ = fmt.Fprintf(os.Stderr, format+"\n", args...)
}
