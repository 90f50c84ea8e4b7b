package commander

import (
	"context"
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lovagedeck/pkg/caller"
	"lovagedeck/pkg/coordinator"
	"lovagedeck/pkg/printer"
)

func verbQuery() *cli.Command {
	return &cli.Command{
		Name:      "query",
		Usage:     "send a query and print its answer",
		ArgsUsage: "TEXT",
		Description: "Example:\n  lovagedeck query --caller-address 127.0.0.1:8101 --service customs-desk-01 fig\n" +
			"  lovagedeck query --service registry-admin --effect --with-ticket 'issue 17'",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "caller-address", Value: defaultCaller, Usage: "`ADDRESS` of any instance for callers"},
			&cli.StringFlag{Name: "tls-authority", Usage: "`FILE` with the authority's certificate; turns TLS on"},
			&cli.StringSliceFlag{Name: "service", Usage: "`SERVICE` to ask; may be given several times", Required: true},
			&cli.FloatFlag{Name: "deadline-ms", Usage: "longest time in `MS`; the table may set a shorter one"},
			&cli.FloatFlag{Name: "min-coverage", Usage: "least answered `SHARE` of the shards, 0 to 1"},
			&cli.StringFlag{Name: "caller", Value: "command-line", Usage: "`NAME` of the caller"},
			&cli.BoolFlag{Name: "effect", Usage: "the query has an effect and must run at most once"},
			&cli.BoolFlag{Name: "with-ticket", Usage: "take a ticket first, so that a resend is safe"},
			&cli.StringFlag{Name: "ticket", Usage: "send again under this `TICKET`"},
			outputFlag(),
		},
		Action: runQuery,
	}
}

func runQuery(_ context.Context, command *cli.Command) error {
	format, err := outputFormat(command)
	if err != nil {
		return err
	}
	client, err := callerClient(command)
	if err != nil {
		return err
	}
	query := caller.Query{
		Caller: command.String("caller"), Services: command.StringSlice("service"),
		Text: strings.Join(command.Args().Slice(), " "), Idempotent: !command.Bool("effect"), Ticket: command.String("ticket"),
	}
	if command.IsSet("deadline-ms") {
		deadline := command.Float("deadline-ms")
		query.DeadlineMs = &deadline
	}
	if command.IsSet("min-coverage") {
		coverage := command.Float("min-coverage")
		query.MinCoverage = &coverage
	}
	if command.Bool("with-ticket") {
		if query.Ticket, err = client.NewTicket(); err != nil {
			return err
		}
		progress("ticket %s", query.Ticket)
	}
	answer, err := client.Query(query)
	if err != nil {
		return err
	}
	if err := printAnswer(command, format, answer); err != nil {
		return err
	}
	return judgeAnswer(answer)
}

func callerClient(command *cli.Command) (*caller.Client, error) {
	config, err := clientTLS(command)
	if err != nil {
		return nil, err
	}
	if config == nil {
		return caller.NewClient(command.String("caller-address")), nil
	}
	return caller.NewClient(command.String("caller-address"), caller.WithClientTLS(config)), nil
}

func printAnswer(command *cli.Command, format printer.Format, answer caller.Answer) error {
	sheet := printer.NewSheet("service", "shard", "state", "hits")
	for _, part := range answer.Parts {
		sheet.Add(part.Service, fmt.Sprint(part.Shard), "answered", string(part.Hits))
	}
	for _, missing := range answer.Coverage.Missing {
		sheet.Add(missing.Service, fmt.Sprint(missing.Shard), "missing", missing.Reason)
	}
	w := command.Root().Writer
	if format == printer.FormatText {
		_, err := fmt.Fprintf(w, "%s: %s %s, %d/%d shards of %s@%d in %.1f ms\n", answer.ID, answer.Outcome, answer.Reason,
			answer.Coverage.Answered, answer.Coverage.Total, answer.Index, answer.Version, answer.TookMs)
		if err != nil {
			return err
		}
	}
	return printer.Print(w, format, sheet, answer)
}

func judgeAnswer(answer caller.Answer) error {
	switch coordinator.Outcome(answer.Outcome) {
	case coordinator.OutcomeComplete, coordinator.OutcomePartial:
		return nil
	case coordinator.OutcomeRefused:
		return errors.Errorf("%s (%s): nothing ran, it can be sent again after %d ms", answer.Outcome, answer.Reason, answer.RetryAfterMs)
	}
	return errors.Errorf("%s (%s): run `lovagedeck explain %s`", answer.Outcome, answer.Reason, answer.ID)
}
