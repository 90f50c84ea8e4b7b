package commander

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"lovagedeck/pkg/printer"
	"lovagedeck/pkg/timeliner"
)

func newTimelineCommand() *cli.Command {
	return &cli.Command{
		Name:        "timeline",
		Usage:       "print the events of all instances in chronological order",
		Description: "Example:\n  lovagedeck timeline --kind leaf-restarted --last 10m",
		Flags: append(newInstanceFlags(),
			&cli.StringFlag{Name: "peer", Usage: "only events with this `PEER`"},
			&cli.StringFlag{Name: "kind", Usage: "only events of this `KIND`"},
			&cli.DurationFlag{Name: "last", Usage: "only events of the last `TIME`, such as 10m"}),
		Action: runTimeline,
	}
}

func runTimeline(_ context.Context, command *cli.Command) error {
	client, format, err := newClientAndFormat(command)
	if err != nil {
		return err
	}
	clients, err := newMemberClients(client)
	if err != nil {
		return err
	}
	filter := timeliner.Filter{Peer: command.String("peer"), Kind: command.String("kind")}
	if last := command.Duration("last"); last > 0 {
		filter.Since = time.Now().Add(-last)
	}
	var events []timeliner.Event
	for _, memberClient := range clients {
		reply, err := memberClient.Events(filter)
		if err != nil {
			printProgressf("timeline: the events of %s are not included: %v", memberClient.Address(), err)
			continue
		}
		events = append(events, reply.Events...)
	}
	timeliner.Sort(events)
	sheet := printer.NewSheet("time", "instance", "kind", "peer", "text")
	for _, event := range events {
		sheet.Add(event.Timestamp.Time().UTC().Format("15:04:05.000000"), event.Instance, event.Kind, event.Peer, event.Text)
	}
	return printer.Print(command.Root().Writer, format, sheet, events)
}
