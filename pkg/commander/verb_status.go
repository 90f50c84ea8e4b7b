package commander

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"lovagedeck/pkg/operator"
	"lovagedeck/pkg/printer"
)

func newStatusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show the state of all instances, control instances and data centres",
		Description: "Example:\n  lovagedeck status --instance 127.0.0.1:8301",
		Flags:       newInstanceFlags(),
		Action:      runStatus,
	}
}

func runStatus(_ context.Context, command *cli.Command) error {
	client, format, err := newClientAndFormat(command)
	if err != nil {
		return err
	}
	contacted, err := client.Status()
	if err != nil {
		return err
	}
	statuses := []operator.Status{}
	for _, member := range contacted.Members {
		status, err := client.WithAddress(member.OperatorAddress).Status()
		if err != nil {
			status = operator.Status{Instance: member.Instance, DataCentre: member.DataCentre}
		}
		statuses = append(statuses, status)
	}
	if len(statuses) == 0 {
		statuses = append(statuses, contacted)
	}
	w := command.Root().Writer
	if err := printer.Print(w, format, newInstanceSheet(statuses), statuses); err != nil || format != printer.FormatText {
		return err
	}
	_, _ = fmt.Fprintln(w)
	if err := printer.Print(w, format, newControlSheet(contacted), nil); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(w)
	sheet := printer.NewSheet("data-centre", "state", "revision")
	for _, centre := range contacted.DataCentres {
		sheet.Add(centre.Name, string(centre.State), fmt.Sprint(centre.Revision))
	}
	return printer.Print(w, format, sheet, nil)
}

func newInstanceSheet(statuses []operator.Status) *printer.Sheet {
	sheet := printer.NewSheet("instance", "data-centre", "ready", "revision", "epoch", "leafs-owned", "queries-open")
	for _, status := range statuses {
		ready := "yes"
		if !status.IsReady {
			ready = "no"
		}
		sheet.Add(status.Instance, status.DataCentre, ready, fmt.Sprint(status.Revision), fmt.Sprint(status.Epoch), fmt.Sprint(status.OwnedLeafs), fmt.Sprint(status.OpenQueries))
	}
	return sheet
}

func newControlSheet(status operator.Status) *printer.Sheet {
	sheet := printer.NewSheet("control", "node", "role", "term", "commit", "log", "revision", "sessions", "voters", "learners", "failed")
	for _, control := range status.Control {
		sheet.Add(control.Address, control.Node, control.Role, fmt.Sprint(control.Term), fmt.Sprint(control.Commit), fmt.Sprint(control.LogLength), fmt.Sprint(control.Revision),
			fmt.Sprint(control.Sessions), strings.Join(control.Voters, " "), strings.Join(control.Learners, " "), control.Error)
	}
	return sheet
}
