package commander

import (
	"context"

	"github.com/urfave/cli/v3"

	"lovagedeck/pkg/operator"
	"lovagedeck/pkg/tabulator"
)

func newDataCentreCommand() *cli.Command {
	return &cli.Command{
		Name:        "data-centre",
		Usage:       "take a data centre out of service or bring it back",
		Description: "Example:\n  lovagedeck data-centre out ub-b\n  lovagedeck data-centre in ub-b",
		Commands: []*cli.Command{
			{
				Name: "out", Usage: "stop sending new requests to the data centre", ArgsUsage: "NAME", Flags: newChangeFlags(),
				Description: "Example:\n  lovagedeck data-centre out ub-b",
				Action:      func(_ context.Context, command *cli.Command) error { return runDataCentre(command, tabulator.StateOut) },
			},
			{
				Name: "in", Usage: "send requests to the data centre again", ArgsUsage: "NAME", Flags: newChangeFlags(),
				Description: "Example:\n  lovagedeck data-centre in ub-b",
				Action:      func(_ context.Context, command *cli.Command) error { return runDataCentre(command, tabulator.StateIn) },
			},
		},
	}
}

func runDataCentre(command *cli.Command, state tabulator.State) error {
	name := command.Args().First()
	if name == "" || command.Args().Len() != 1 {
		return usageErrorf("exactly one data centre is required")
	}
	client, table, err := fetchTable(command)
	if err != nil {
		return err
	}
	baseRevision, isKnown := findBaseRevision(table, name)
	if !isKnown {
		return usageErrorf("unknown data centre %q: no row or instance belongs to it", name)
	}
	return submitChange(command, client, func(changeID, operatorName string) (operator.ChangeResult, error) {
		return client.SetDataCentre(tabulator.SetDataCentre{ChangeID: changeID, Operator: operatorName, Name: name, State: state, Base: baseRevision})
	})
}

func findBaseRevision(table operator.Table, name string) (uint64, bool) {
	for _, centre := range table.DataCentres {
		if centre.Name == name {
			return centre.Revision, true
		}
	}
	return 0, false
}
