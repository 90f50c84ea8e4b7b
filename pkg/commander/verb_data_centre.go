package commander

import (
	"context"

	"github.com/urfave/cli/v3"

	"lovagedeck/pkg/operator"
	"lovagedeck/pkg/tabulator"
)

func verbDataCentre() *cli.Command {
	return &cli.Command{
		Name:        "data-centre",
		Usage:       "take a data centre out of service or back in",
		Description: "Example:\n  lovagedeck data-centre out ub-b\n  lovagedeck data-centre in ub-b",
		Commands: []*cli.Command{
			{
				Name: "out", Usage: "give the data centre no new work", ArgsUsage: "NAME", Flags: changeFlags(),
				Description: "Example:\n  lovagedeck data-centre out ub-b",
				Action:      func(_ context.Context, c *cli.Command) error { return runDataCentre(c, tabulator.StateOut) },
			},
			{
				Name: "in", Usage: "give the data centre work again", ArgsUsage: "NAME", Flags: changeFlags(),
				Description: "Example:\n  lovagedeck data-centre in ub-b",
				Action:      func(_ context.Context, c *cli.Command) error { return runDataCentre(c, tabulator.StateIn) },
			},
		},
	}
}

func runDataCentre(command *cli.Command, state tabulator.State) error {
	name := command.Args().First()
	if name == "" || command.Args().Len() != 1 {
		return usagef("name one data centre")
	}
	client, table, err := operatorTable(command)
	if err != nil {
		return err
	}
	base, known := baseOf(table, name)
	if !known {
		return usagef("no row or instance names data centre %q", name)
	}
	return send(command, client, func(id, who string) (operator.ChangeResult, error) {
		return client.SetDataCentre(tabulator.SetDataCentre{ChangeID: id, Operator: who, Name: name, State: state, Base: base})
	})
}

func baseOf(table operator.Table, name string) (uint64, bool) {
	for _, centre := range table.DataCentres {
		if centre.Name == name {
			return centre.Revision, true
		}
	}
	return 0, false
}
