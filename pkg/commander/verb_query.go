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

func newQueryCommand() *cli.Command {
	return &cli.Command{
		Name:      "query",
		Usage:     "send a query and print its answer",
		ArgsUsage: "TEXT",
		Description: "Example:\n  lovagedeck query --caller-address 127.0.0.1:8101 --service customs-desk-01 fig\n" +
			"  lovagedeck query --service registry-admin --effect --with-ticket 'issue 17'",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "caller-address", Value: defaultCallerAddress, Usage: "caller `ADDRESS` of any instance"},
			&cli.StringFlag{Name: "tls-authority", Usage: "`FILE` with the CA certificate; enables TLS"},
			&cli.StringSliceFlag{Name: "service", Usage: "`SERVICE` to query; may be repeated", Required: true},
			&cli.FloatFlag{Name: "deadline-ms", Usage: "deadline in `MS`; the table may set a shorter one"},
			&cli.FloatFlag{Name: "min-coverage", Usage: "minimum `FRACTION` of the shards that must answer, 0 to 1"},
			&cli.StringFlag{Name: "caller", Value: "command-line", Usage: "`NAME` of the caller"},
			&cli.BoolFlag{Name: "effect", Usage: "the query is not idempotent and must run at most once"},
			&cli.BoolFlag{Name: "with-ticket", Usage: "obtain a ticket first, so that the query can be resent safely"},
			&cli.StringFlag{Name: "ticket", Usage: "resend the query with this `TICKET`"},
			newOutputFlag(),
		},
		Action: runQuery,
	}
}

func runQuery(_ context.Context, command *cli.Command) error {
	format, err := parseOutputFormat(command)
	if err != nil {
		return err
	}
	client, err := newCallerClient(command)
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
		printProgressf("ticket %s", query.Ticket)
	}
	answer, err := client.Query(query)
	if err != nil {
		return err
	}
	if err := printAnswer(command, format, answer); err != nil {
		return err
	}
	return checkAnswer(answer)
}

func newCallerClient(command *cli.Command) (*caller.Client, error) {
	config, err := newTLSConfig(command)
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

func checkAnswer(answer caller.Answer) error {
	switch coordinator.Outcome(answer.Outcome) {
	case coordinator.OutcomeComplete, coordinator.OutcomePartial:
		return nil
	case coordinator.OutcomeRefused:
		return errors.Errorf("%s (%s): the query was not run and can be resent after %d ms", answer.Outcome, answer.Reason, answer.RetryAfterMs)
	}
	return errors.Errorf("%s (%s): run `lovagedeck explain %s`", answer.Outcome, answer.Reason, answer.ID)
}
