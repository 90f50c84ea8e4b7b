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
	promoteWait  = 60 * time.Second
	promotePause = 300 * time.Millisecond
)

func verbControl() *cli.Command {
	return &cli.Command{
		Name:        "control",
		Usage:       "show and change the control instances",
		Description: "Example:\n  lovagedeck control status\n  lovagedeck control add control-3/8d1f0c2a\n  lovagedeck control remove control-3/first",
		Commands: []*cli.Command{
			{
				Name: "status", Usage: "show the control instances", Flags: instanceFlags(),
				Description: "Example:\n  lovagedeck control status", Action: runControlStatus,
			},
			{
				Name: "add", Usage: "add a node as a non-voter and give it its vote once it holds everything committed", ArgsUsage: "NODE",
				Flags: instanceFlags(), Description: "Example:\n  lovagedeck control add control-3/8d1f0c2a", Action: runControlAdd,
			},
			{
				Name: "remove", Usage: "remove a node", ArgsUsage: "NODE", Flags: instanceFlags(),
				Description: "Example:\n  lovagedeck control remove control-3/first", Action: runControlRemove,
			},
		},
	}
}

func runControlStatus(_ context.Context, command *cli.Command) error {
	client, format, err := operatorCall(command)
	if err != nil {
		return err
	}
	status, err := client.Status()
	if err != nil {
		return err
	}
	return printer.Print(command.Root().Writer, format, controlSheet(status), status.Control)
}

func runControlAdd(_ context.Context, command *cli.Command) error {
	client, node, err := controlTarget(command)
	if err != nil {
		return err
	}
	if err := configure(client, controller.ActionAddLearner, node); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(command.Root().Writer, "%s follows as a non-voter\n", node)
	for begun := time.Now(); time.Since(begun) < promoteWait; time.Sleep(promotePause) {
		err = configure(client, controller.ActionPromote, node)
		if err == nil {
			_, err := fmt.Fprintf(command.Root().Writer, "%s votes\n", node)
			return err
		}
		if time.Since(begun) > 2*time.Second {
			progress("waiting: %v", err)
		}
	}
	return errors.Wrapf(err, "%s stays a non-voter", node)
}

func runControlRemove(_ context.Context, command *cli.Command) error {
	client, node, err := controlTarget(command)
	if err != nil {
		return err
	}
	if err := configure(client, controller.ActionRemove, node); err != nil {
		return err
	}
	_, err = fmt.Fprintf(command.Root().Writer, "%s is removed\n", node)
	return err
}

func controlTarget(command *cli.Command) (*operator.Client, string, error) {
	node := command.Args().First()
	if node == "" || command.Args().Len() != 1 {
		return nil, "", usagef("name one node as INSTANCE/DISK; `lovagedeck control status` and the file identity.json show it")
	}
	client, err := operatorClient(command)
	return client, node, err
}

func configure(client *operator.Client, action controller.ConfigAction, node string) error {
	change, err := client.Configure(operator.ConfigureRequest{Action: action, Node: node})
	if err != nil {
		return err
	}
	return explainChange(change)
}
