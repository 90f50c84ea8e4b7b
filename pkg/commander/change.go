package commander

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lovagedeck/pkg/operator"
)

const (
	inForceTimeout      = 10 * time.Second
	inForcePollInterval = 50 * time.Millisecond
	maxChangeAttempts   = 3
	changeIDBytes       = 8
)

// newChangeFlags returns the flags of every subcommand that submits a change.
func newChangeFlags() []cli.Flag {
	return append(newInstanceFlags(),
		&cli.StringFlag{Name: "change-id", Usage: "resend the change with this `ID` after its response was lost"},
		&cli.StringFlag{Name: "operator", Value: defaultOperatorName(), Usage: "operator `NAME` recorded in the history"},
		&cli.BoolFlag{Name: "no-wait", Usage: "do not wait until the change is in force"})
}

// submitChange submits a change and waits until it is in force. While the outcome is unknown, it resubmits the change
// with the same ID a limited number of times.
func submitChange(command *cli.Command, client *operator.Client, submit func(changeID, operatorName string) (operator.ChangeResult, error)) error {
	changeID := command.String("change-id")
	if changeID == "" {
		var err error
		if changeID, err = newChangeID(); err != nil {
			return err
		}
	}
	change, err := submitWithRetries(changeID, command.String("operator"), submit)
	var refusal *operator.APIError
	if errors.As(err, &refusal) {
		return errors.Wrap(err, "refused, nothing was changed")
	}
	if err != nil {
		return errors.Wrapf(err, "the outcome of change %s is unknown; resend it with --change-id %s", changeID, changeID)
	}
	if err := checkChange(change); err != nil {
		return err
	}
	w := command.Root().Writer
	_, _ = fmt.Fprintf(w, "accepted: change %s at revision %d\n", change.ChangeID, change.Revision)
	if command.Bool("no-wait") {
		return nil
	}
	return waitInForce(command, client, change.Revision)
}

func submitWithRetries(changeID, operatorName string, submit func(changeID, operatorName string) (operator.ChangeResult, error)) (operator.ChangeResult, error) {
	var change operator.ChangeResult
	var err error
	for range maxChangeAttempts {
		change, err = submit(changeID, operatorName)
		var refusal *operator.APIError
		if errors.As(err, &refusal) {
			return change, err
		}
		if err == nil && change.Outcome != operator.OutcomeUnknown {
			return change, nil
		}
		printProgressf("the outcome is unknown, resending with change ID %s", changeID)
	}
	if err == nil {
		err = errors.New(change.Advice)
	}
	return change, err
}

func checkChange(change operator.ChangeResult) error {
	switch change.Outcome {
	case operator.OutcomeAccepted:
		return nil
	case operator.OutcomeConflict:
		message := "conflict with an earlier change:"
		for _, conflict := range change.Conflicts {
			message += fmt.Sprintf("\n  %s: based on revision %d, but now at revision %d since change %s by %q; current value: %s",
				conflict.Item, conflict.Base, conflict.Current, conflict.ChangeID, conflict.Operator, conflict.Now)
		}
		return errors.Errorf("%s\n%s", message, change.Advice)
	}
	message := string(change.Outcome)
	for _, fault := range change.Errors {
		message += "\n  " + fault
	}
	return errors.New(message)
}

func waitInForce(command *cli.Command, client *operator.Client, revision uint64) error {
	startedAt := time.Now()
	hasReported := false
	for time.Since(startedAt) < inForceTimeout {
		reply, err := client.InForce(revision)
		if err == nil && reply.IsEverywhere {
			_, err := fmt.Fprintf(command.Root().Writer, "in force: on %d/%d instances after %s\n",
				reply.UpToDate, reply.Members, time.Since(startedAt).Round(time.Millisecond))
			return err
		}
		if time.Since(startedAt) > 2*time.Second && !hasReported {
			hasReported = true
			printProgressf("in force on %d/%d instances so far, waiting for the leases of the others", reply.UpToDate, reply.Members)
		}
		time.Sleep(inForcePollInterval)
	}
	return errors.Errorf("the change was accepted, but not confirmed to be in force within %s; run `lovagedeck status`", inForceTimeout)
}

func newChangeID() (string, error) {
	var raw [changeIDBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return "", errors.Wrap(err, "generate a change ID")
	}
	return hex.EncodeToString(raw[:]), nil
}

func defaultOperatorName() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	return "unnamed"
}
