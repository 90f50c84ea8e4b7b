package commander

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"lovagedeck/pkg/operator"
	"lovagedeck/pkg/printer"
)

func verbStatus() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show every instance, control instance and data centre",
		Description: "Example:\n  lovagedeck status --instance 127.0.0.1:8301",
		Flags:       instanceFlags(),
		Action:      runStatus,
	}
}

func runStatus(_ context.Context, command *cli.Command) error {
	client, format, err := operatorCall(command)
	if err != nil {
		return err
	}
	first, err := client.Status()
	if err != nil {
		return err
	}
	statuses := []operator.Status{}
	for _, member := range first.Members {
		status, err := client.WithAddress(member.OperatorAddress).Status()
		if err != nil {
			status = operator.Status{Instance: member.Instance, DataCentre: member.DataCentre}
		}
		statuses = append(statuses, status)
	}
	if len(statuses) == 0 {
		statuses = append(statuses, first)
	}
	w := command.Root().Writer
	if err := printer.Print(w, format, instanceSheet(statuses), statuses); err != nil || format != printer.FormatText {
		return err
	}
	_, _ = fmt.Fprintln(w)
	if err := printer.Print(w, format, controlSheet(first), nil); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(w)
	sheet := printer.NewSheet("data-centre", "state", "revision")
	for _, centre := range first.DataCentres {
		sheet.Add(centre.Name, string(centre.State), fmt.Sprint(centre.Revision))
	}
	return printer.Print(w, format, sheet, nil)
}

func instanceSheet(statuses []operator.Status) *printer.Sheet {
	sheet := printer.NewSheet("instance", "data-centre", "ready", "revision", "epoch", "leafs-owned", "queries-open")
	for _, s := range statuses {
		ready := "yes"
		if !s.IsReady {
			ready = "no"
		}
		sheet.Add(s.Instance, s.DataCentre, ready, fmt.Sprint(s.Revision), fmt.Sprint(s.Epoch), fmt.Sprint(s.OwnedLeafs), fmt.Sprint(s.OpenQueries))
	}
	return sheet
}

func controlSheet(status operator.Status) *printer.Sheet {
	sheet := printer.NewSheet("control", "node", "role", "term", "commit", "log", "revision", "sessions", "voters", "learners", "failed")
	for _, c := range status.Control {
		sheet.Add(c.Address, c.Node, c.Role, fmt.Sprint(c.Term), fmt.Sprint(c.Commit), fmt.Sprint(c.LogLength), fmt.Sprint(c.Revision),
			fmt.Sprint(c.Sessions), strings.Join(c.Voters, " "), strings.Join(c.Learners, " "), c.Error)
	}
	return sheet
}
