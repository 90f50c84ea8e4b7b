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

func verbExplain() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "say in a sentence what held a query up, and show its requests",
		ArgsUsage:   "QUERY-ID (or --slowest)",
		Description: "Example:\n  lovagedeck explain entry-1.18d5c0de.42\n  lovagedeck explain --slowest\n  lovagedeck explain --logs entry-1.log --logs entry-2.log 9c41d07be2a35f68",
		Flags: append(instanceFlags(),
			&cli.BoolFlag{Name: "slowest", Usage: "explain the slowest query that any instance keeps"},
			&cli.StringSliceFlag{Name: "logs", Usage: "read the request from the log `FILE` of an instance instead of asking instances"}),
		Action: runExplain,
	}
}

func runExplain(_ context.Context, command *cli.Command) error {
	format, err := outputFormat(command)
	if err != nil {
		return err
	}
	id := command.Args().First()
	if id == "" && !command.Bool("slowest") {
		return usagef("name a query, or give --slowest")
	}
	if logs := command.StringSlice("logs"); len(logs) > 0 {
		return explainFromLogs(command, id, logs)
	}
	client, err := operatorClient(command)
	if err != nil {
		return err
	}
	clients, err := allInstances(client)
	if err != nil {
		return err
	}
	trace, ok := findTrace(clients, id)
	if !ok {
		return errors.Errorf("no instance keeps query %q; the slowest, partial and refused ones and a sample of the others are kept", id)
	}
	return printTrace(command, format, trace)
}

// explainFromLogs prints what the logs of all instances say of a request.
func explainFromLogs(command *cli.Command, id string, logs []string) error {
	if id == "" {
		return usagef("name a request")
	}
	course := explainer.New(id)
	for _, path := range logs {
		if err := readLog(course, path); err != nil {
			return err
		}
	}
	if len(course.Entries()) == 0 {
		return errors.Errorf("no log names request %q; successful requests beyond the rate of the log are left out", id)
	}
	w := command.Root().Writer
	if _, err := fmt.Fprintln(w, course.Summary()); err != nil {
		return err
	}
	for _, line := range course.Lines() {
		if _, err := fmt.Fprintln(w, "  "+line); err != nil {
			return err
		}
	}
	return nil
}

func readLog(course *explainer.RequestLog, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	defer func() { _ = file.Close() }()
	return errors.Wrapf(course.Read(file), "log %s", path)
}

// findTrace asks every instance for a query, or for the slowest one where no identifier is given.
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
	for _, s := range trace.Spans {
		sheet.Add(s.Kind, s.Service, fmt.Sprint(s.Shard), s.Leaf, s.DataCentre, s.Owner, s.Start.String(), s.Duration.String(),
			s.Queue.String(), s.Connect.String(), s.LeafTime.String(), s.Result)
	}
	return printer.Print(w, format, sheet, struct {
		Explanation string       `json:"explanation"`
		Trace       tracer.Trace `json:"trace"`
	}{Explanation: tracer.Explain(trace), Trace: trace})
}
