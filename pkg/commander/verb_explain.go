package commander

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lovagedeck/pkg/explainer"
	"lovagedeck/pkg/operator"
	"lovagedeck/pkg/printer"
	"lovagedeck/pkg/tracer"
)

func newExplainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "explain in one sentence what delayed a query, and show its requests",
		ArgsUsage:   "QUERY-ID (or --slowest)",
		Description: "Example:\n  lovagedeck explain entry-1.18d5c0de.42\n  lovagedeck explain --slowest\n  lovagedeck explain --logs entry-1.log --logs entry-2.log 9c41d07be2a35f68",
		Flags: append(newInstanceFlags(),
			&cli.BoolFlag{Name: "slowest", Usage: "explain the slowest query of which an instance keeps a trace"},
			&cli.StringSliceFlag{Name: "logs", Usage: "read the request from the log `FILE` of an instance instead of querying the instances; may be repeated"}),
		Action: runExplain,
	}
}

func runExplain(_ context.Context, command *cli.Command) error {
	format, err := parseOutputFormat(command)
	if err != nil {
		return err
	}
	id := command.Args().First()
	if id == "" && !command.Bool("slowest") {
		return usageErrorf("name a query, or give --slowest")
	}
	if logs := command.StringSlice("logs"); len(logs) > 0 {
		return explainFromLogs(command, id, logs)
	}
	client, err := newOperatorClient(command)
	if err != nil {
		return err
	}
	clients, err := newMemberClients(client)
	if err != nil {
		return err
	}
	trace, ok := findTrace(clients, id)
	if !ok {
		return errors.Errorf("no instance keeps a trace of query %q; traces are kept of the slowest, partial and refused queries and of a sample of the others", id)
	}
	return printTrace(command, format, trace)
}

// explainFromLogs prints the outcome of a request and every line that names it in the given logs.
func explainFromLogs(command *cli.Command, id string, logs []string) error {
	if id == "" {
		return usageErrorf("a request ID is required")
	}
	requestLog := explainer.New(id)
	for _, path := range logs {
		if err := readLog(requestLog, path); err != nil {
			return err
		}
	}
	if len(requestLog.Entries()) == 0 {
		return errors.Errorf("no log names request %q; successful requests beyond the rate of the log are left out", id)
	}
	w := command.Root().Writer
	if _, err := fmt.Fprintln(w, requestLog.Summary()); err != nil {
		return err
	}
	for _, line := range requestLog.Lines() {
		if _, err := fmt.Fprintln(w, "  "+line); err != nil {
			return err
		}
	}
	return nil
}

func readLog(requestLog *explainer.RequestLog, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	defer func() { _ = file.Close() }()
	return errors.Wrapf(requestLog.Read(file), "log %s", path)
}

// findTrace queries all instances for the trace with the given ID, or for the slowest trace if the ID is empty.
func findTrace(clients []*operator.Client, id string) (tracer.Trace, bool) {
	var found tracer.Trace
	for _, client := range clients {
		if id != "" {
			if trace, err := client.Trace(id); err == nil {
				return trace, true
			}
			continue
		}
		slowest, err := client.Slowest()
		if err == nil && len(slowest.Traces) > 0 && slowest.Traces[0].Took > found.Took {
			found = slowest.Traces[0]
		}
	}
	return found, found.ID != ""
}

func printTrace(command *cli.Command, format printer.Format, trace tracer.Trace) error {
	w := command.Root().Writer
	if format == printer.FormatText {
		if _, err := fmt.Fprintln(w, tracer.Explain(trace)); err != nil {
			return err
		}
		for _, line := range tracer.Tree(trace) {
			if _, err := fmt.Fprintln(w, line); err != nil {
				return err
			}
		}
		return nil
	}
	sheet := printer.NewSheet("kind", "service", "shard", "leaf", "data-centre", "owner", "start", "total", "queue", "connect", "leaf-time", "result")
	for _, span := range trace.Spans {
		sheet.Add(span.Kind, span.Service, fmt.Sprint(span.Shard), span.Leaf, span.DataCentre, span.Owner, span.Start.String(), span.Duration.String(),
			span.Queue.String(), span.Connect.String(), span.LeafTime.String(), span.Result)
	}
	return printer.Print(w, format, sheet, struct {
		Explanation string       `json:"explanation"`
		Trace       tracer.Trace `json:"trace"`
	}{Explanation: tracer.Explain(trace), Trace: trace})
}
