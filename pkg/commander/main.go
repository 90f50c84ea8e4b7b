// Main looks the verb up in a table; a new verb is a file and a line here.

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
	programName = "lovagedeck"
	exitFailed  = 1
	exitUsage   = 2
)

// Version is the version of the program.
const Version = "0.1.0"

var verbs = []func() *cli.Command{
	verbDemo,
	verbQuery,
	verbExplain,
	verbTimeline,
	verbTable,
	verbDataCentre,
	verbStatus,
	verbControl,
	verbBench,
	verbEmulate,
	verbVersion,
}

// usageError is an error in how the command was called.
type usageError struct {
	cause error
}

func (e *usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.cause }

// Main runs the command line and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:           programName,
		Usage:          "operate, explain and try out a query tier over many shards",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   onUsageError,
		Action:         onUnknownVerb,
	}
	for _, verb := range verbs {
		command := verb()
		setUsageError(command)
		root.Commands = append(root.Commands, command)
	}
	err := root.Run(context.Background(), args)
	if err == nil {
		return 0
	}
	verb := ""
	if len(args) > 1 {
		verb = " " + args[1]
	}
	_, _ = fmt.Fprintf(stderr, "%s%s: %v\n", programName, verb, err)
	var usage *usageError
	if errors.As(err, &usage) {
		_, _ = fmt.Fprintf(stderr, "Please run '%s%s --help' for usage.\n", programName, verb)
		return exitUsage
	}
	return exitFailed
}

func setUsageError(command *cli.Command) {
	command.OnUsageError = onUsageError
	for _, sub := range command.Commands {
		setUsageError(sub)
	}
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &usageError{cause: err}
}

func onUnknownVerb(_ context.Context, command *cli.Command) error {
	if name := command.Args().First(); name != "" {
		return &usageError{cause: errors.Errorf("no verb %q", name)}
	}
	return cli.ShowRootCommandHelp(command)
}

func usagef(format string, args ...any) error {
	return &usageError{cause: errors.Errorf(format, args...)}
}

func progress(format string, args ...any) {
	_, _ = fmt.Fprintf(os.Stderr, format+"\n", args...)
}
