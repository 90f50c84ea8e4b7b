package commander

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"lovagedeck/pkg/operator"
	"lovagedeck/pkg/printer"
)

const (
	rolloutPollInterval = 300 * time.Millisecond
	// rolloutOrderTime is the time for which an order without a clear answer is sent again, and rolloutWatchTime how long a watch goes on
	// without an answer.
	rolloutOrderTime = 6 * time.Second
	rolloutWatchTime = 15 * time.Second
)

func newRolloutCommand() *cli.Command {
	return &cli.Command{
		Name:  "rollout",
		Usage: "move the requests of a service to a new version, and explain what became of it",
		Description: "Example:\n  lovagedeck rollout start customs-desk-07 v2 --within 12s\n  lovagedeck rollout watch customs-desk-07\n" +
			"  lovagedeck rollout explain customs-desk-07",
		Commands: []*cli.Command{
			{
				Name: "start", Usage: "order a roll-out", ArgsUsage: "SERVICE VERSION",
				Flags:  append(newInstanceFlags(), &cli.DurationFlag{Name: "within", Usage: "time `LIMIT` of the roll-out, such as 12s"}),
				Action: runRolloutStart,
			},
			{
				Name: "watch", Usage: "print each change of the newest roll-out until it ends", ArgsUsage: "SERVICE", Flags: newInstanceFlags(),
				Action: runRolloutWatch,
			},
			{
				Name: "explain", Usage: "show the steps of the newest roll-out, the reason of each and what was seen", ArgsUsage: "SERVICE", Flags: newInstanceFlags(),
				Action: runRolloutExplain,
			},
		},
	}
}

func runRolloutStart(_ context.Context, command *cli.Command) error {
	if command.Args().Len() != 2 {
		return usageErrorf("a service and a version are required")
	}
	within := command.Duration("within")
	if within <= 0 {
		return usageErrorf("--within: a time limit above 0 is required")
	}
	client, err := newOperatorClient(command)
	if err != nil {
		return err
	}
	order := operator.RolloutOrder{Service: command.Args().Get(0), Version: command.Args().Get(1), Seconds: within.Seconds()}
	if err := orderRollout(client, order); err != nil {
		return err
	}
	_, err = fmt.Fprintf(command.Root().Writer, "ordered: service %s to version %s within %s\n", order.Service, order.Version, within)
	return err
}

// orderRollout sends an order, and again while its outcome is not known. Copies of an order do not start a second roll-out.
func orderRollout(client *operator.Client, order operator.RolloutOrder) error {
	for startedAt := time.Now(); ; time.Sleep(rolloutPollInterval) {
		err := client.OrderRollout(order)
		var apiError *operator.APIError
		isFinal := errors.As(err, &apiError) && apiError.StatusCode() != fasthttp.StatusServiceUnavailable
		if err == nil || isFinal || time.Since(startedAt) > rolloutOrderTime {
			return err
		}
		printProgressf("sending the order again: %v", err)
	}
}

func runRolloutWatch(_ context.Context, command *cli.Command) error {
	service, client, format, err := rolloutArguments(command)
	if err != nil {
		return err
	}
	w := command.Root().Writer
	shown, answeredAt := uint64(0), time.Now()
	for ; ; time.Sleep(rolloutPollInterval) {
		rollout, err := client.Rollout(service)
		if err != nil {
			if !isRolloutUnavailable(err) || time.Since(answeredAt) > rolloutWatchTime {
				return err
			}
			continue
		}
		answeredAt = time.Now()
		if err := printRolloutSteps(w, rollout, shown); err != nil {
			return err
		}
		shown = rollout.Revision
		if rollout.HasEnded() {
			return printRollout(w, format, rollout)
		}
	}
}

func runRolloutExplain(_ context.Context, command *cli.Command) error {
	service, client, format, err := rolloutArguments(command)
	if err != nil {
		return err
	}
	rollout, err := client.Rollout(service)
	if err != nil {
		return err
	}
	w := command.Root().Writer
	if format == printer.FormatText {
		if err := printRolloutSteps(w, rollout, 0); err != nil {
			return err
		}
	}
	return printRollout(w, format, rollout)
}

func rolloutArguments(command *cli.Command) (service string, client *operator.Client, format printer.Format, err error) {
	if command.Args().Len() != 1 {
		return "", nil, format, usageErrorf("exactly one service is required")
	}
	client, format, err = newClientAndFormat(command)
	return command.Args().First(), client, format, err
}

func isRolloutUnavailable(err error) bool {
	var apiError *operator.APIError
	return !errors.As(err, &apiError) || apiError.StatusCode() == fasthttp.StatusServiceUnavailable
}

// printRolloutSteps prints the steps after a revision.
func printRolloutSteps(w io.Writer, rollout operator.Rollout, after uint64) error {
	for _, step := range rollout.Steps {
		if step.Revision <= after {
			continue
		}
		if _, err := fmt.Fprintf(w, "revision %d: %s\n", step.Revision, step.What); err != nil {
			return err
		}
	}
	return nil
}

func printRollout(w io.Writer, format printer.Format, rollout operator.Rollout) error {
	if format != printer.FormatText {
		return printer.Print(w, format, newRouteSheet(rollout), rollout)
	}
	if _, err := fmt.Fprintf(w, "%s: version %s of service %s, share %.1f%%, after %s of %s\n", rollout.State, rollout.Version, rollout.Service,
		rollout.SharePercent, rollout.Elapsed(), time.Duration(rollout.DurationMs)*time.Millisecond); err != nil {
		return err
	}
	if len(rollout.Routes) == 0 {
		return nil
	}
	if _, err := fmt.Fprintf(w, "%d of %d requests went to the new version; %d are in progress at old leafs; %d instances report\n",
		rollout.SentNew, rollout.Sent, rollout.OldInProgress, rollout.Instances); err != nil {
		return err
	}
	return printer.Print(w, format, newRouteSheet(rollout), nil)
}

func newRouteSheet(rollout operator.Rollout) *printer.Sheet {
	sheet := printer.NewSheet("route", "new-answers", "new-failures", "new-slow", "old-answers", "old-failures", "old-slow")
	for _, route := range rollout.Routes {
		sheet.Add(route.Route, fmt.Sprint(route.NewAnswers), fmt.Sprint(route.NewFailures), fmt.Sprint(route.NewSlow),
			fmt.Sprint(route.OldAnswers), fmt.Sprint(route.OldFailures), fmt.Sprint(route.OldSlow))
	}
	return sheet
}
