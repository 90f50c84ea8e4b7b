package commander

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lovagedeck/pkg/controller"
	"lovagedeck/pkg/operator"
	"lovagedeck/pkg/printer"
)

const (
	promoteTimeout       = 60 * time.Second
	promoteRetryInterval = 300 * time.Millisecond
)

func newControlCommand() *cli.Command {
	return &cli.Command{
		Name:        "control",
		Usage:       "show and change the control instances",
		Description: "Example:\n  lovagedeck control status\n  lovagedeck control add control-3/8d1f0c2a\n  lovagedeck control remove control-3/first",
		Commands: []*cli.Command{
			{
				Name: "status", Usage: "show the control instances", Flags: newInstanceFlags(),
				Description: "Example:\n  lovagedeck control status", Action: runControlStatus,
			},
			{
				Name: "add", Usage: "add a node as a non-voter and promote it to voter once it holds all committed entries", ArgsUsage: "NODE",
				Flags: newInstanceFlags(), Description: "Example:\n  lovagedeck control add control-3/8d1f0c2a", Action: runControlAdd,
			},
			{
				Name: "remove", Usage: "remove a node", ArgsUsage: "NODE", Flags: newInstanceFlags(),
				Description: "Example:\n  lovagedeck control remove control-3/first", Action: runControlRemove,
			},
		},
	}
}

func runControlStatus(_ context.Context, command *cli.Command) error {
	client, format, err := newClientAndFormat(command)
	if err != nil {
		return err
	}
	status, err := client.Status()
	if err != nil {
		return err
	}
	return printer.Print(command.Root().Writer, format, newControlSheet(status), status.Control)
}

func runControlAdd(_ context.Context, command *cli.Command) error {
	client, node, err := newClientAndNode(command)
	if err != nil {
		return err
	}
	if err := configureControl(client, controller.ActionAddLearner, node); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(command.Root().Writer, "%s follows as a non-voter\n", node)
	for startedAt := time.Now(); time.Since(startedAt) < promoteTimeout; time.Sleep(promoteRetryInterval) {
		err = configureControl(client, controller.ActionPromote, node)
		if err == nil {
			_, err := fmt.Fprintf(command.Root().Writer, "%s votes\n", node)
			return err
		}
		if time.Since(startedAt) > 2*time.Second {
			printProgressf("waiting to promote the node: %v", err)
		}
	}
	return errors.Wrapf(err, "%s was not promoted to voter", node)
}

func runControlRemove(_ context.Context, command *cli.Command) error {
	client, node, err := newClientAndNode(command)
	if err != nil {
		return err
	}
	if err := configureControl(client, controller.ActionRemove, node); err != nil {
		return err
	}
	_, err = fmt.Fprintf(command.Root().Writer, "%s is removed\n", node)
	return err
}

func newClientAndNode(command *cli.Command) (*operator.Client, string, error) {
	node := command.Args().First()
	if node == "" || command.Args().Len() != 1 {
		return nil, "", usageErrorf("exactly one node is required, as INSTANCE/DISK; `lovagedeck control status` and the file identity.json show it")
	}
	client, err := newOperatorClient(command)
	return client, node, err
}

func configureControl(client *operator.Client, action controller.ConfigAction, node string) error {
	change, err := client.Configure(operator.ConfigureBody{Action: action, Node: node})
	if err != nil {
		return err
	}
	return checkChange(change)
}
