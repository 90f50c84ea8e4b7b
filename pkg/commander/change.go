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
	inForceWait  = 10 * time.Second
	inForcePause = 50 * time.Millisecond
	changeTries  = 3
	idBytes      = 8
)

// changeFlags are the flags of every verb that changes something.
func changeFlags() []cli.Flag {
	return append(instanceFlags(),
		&cli.StringFlag{Name: "change-id", Usage: "send again the change with this `ID`, whose answer was lost"},
		&cli.StringFlag{Name: "operator", Value: defaultOperatorName(), Usage: "`NAME` that the history shows"},
		&cli.BoolFlag{Name: "no-wait", Usage: "do not wait until the change is in force"})
}

// send sends a change, again under the same id while its outcome is unknown, and waits until it is in force.
func send(command *cli.Command, client *operator.Client, try func(id, who string) (operator.ChangeResult, error)) error {
	id := command.String("change-id")
	if id == "" {
		var err error
		if id, err = newChangeID(); err != nil {
			return err
		}
	}
	change, err := trySeveralTimes(id, command.String("operator"), try)
	var refusal *operator.APIError
	if errors.As(err, &refusal) {
		return errors.Wrap(err, "refused, nothing was changed")
	}
	if err != nil {
		return errors.Wrapf(err, "the outcome of change %s is unknown; send it again with --change-id %s", id, id)
	}
	if err := explainChange(change); err != nil {
		return err
	}
	w := command.Root().Writer
	_, _ = fmt.Fprintf(w, "accepted: change %s at revision %d\n", change.ChangeID, change.Revision)
	if command.Bool("no-wait") {
		return nil
	}
	return awaitInForce(command, client, change.Revision)
}

func trySeveralTimes(id, who string, try func(id, who string) (operator.ChangeResult, error)) (operator.ChangeResult, error) {
	var change operator.ChangeResult
	var err error
	for range changeTries {
		change, err = try(id, who)
		var refusal *operator.APIError
		if errors.As(err, &refusal) {
			return change, err
		}
		if err == nil && change.Outcome != operator.OutcomeUnknown {
			return change, nil
		}
		progress("the answer was lost, asking again with change id %s", id)
	}
	if err == nil {
		err = errors.New(change.Advice)
	}
	return change, err
}

func explainChange(change operator.ChangeResult) error {
	switch change.Outcome {
	case operator.OutcomeAccepted:
		return nil
	case operator.OutcomeConflict:
		message := "another change came first:"
		for _, c := range change.Conflicts {
			message += fmt.Sprintf("\n  %s rests on revision %d and is at %d since change %s of %q; it is now: %s",
				c.Item, c.Base, c.Current, c.ChangeID, c.Operator, c.Now)
		}
		return errors.Errorf("%s\n%s", message, change.Advice)
	}
	message := string(change.Outcome)
	for _, fault := range change.Errors {
		message += "\n  " + fault
	}
	return errors.New(message)
}

func awaitInForce(command *cli.Command, client *operator.Client, revision uint64) error {
	begun := time.Now()
	told := false
	for time.Since(begun) < inForceWait {
		reply, err := client.InForce(revision)
		if err == nil && reply.IsEverywhere {
			_, err := fmt.Fprintf(command.Root().Writer, "in force: on %d/%d instances after %s\n",
				reply.UpToDate, reply.Members, time.Since(begun).Round(time.Millisecond))
			return err
		}
		if time.Since(begun) > 2*time.Second && !told {
			told = true
			progress("in force on %d/%d so far, waiting for the leases of the others", reply.UpToDate, reply.Members)
		}
		time.Sleep(inForcePause)
	}
	return errors.Errorf("the change is accepted, but it could not be learnt within %s that it is in force; run `lovagedeck status`", inForceWait)
}

func newChangeID() (string, error) {
	var raw [idBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return "", errors.Wrap(err, "make a change id")
	}
	return hex.EncodeToString(raw[:]), nil
}

func defaultOperatorName() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	return "unnamed"
}
