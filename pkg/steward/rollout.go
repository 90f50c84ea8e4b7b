// An operator that gets no answer to the order of a roll-out sends it again, to
// another instance, for a limited time. An order that was accepted is
// acknowledged again, whatever has become of it, and does not start anew.

package steward

import (
	"fmt"
	"math"
	"sync"
	"time"
	"unicode"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lovagedeck/pkg/controller"
	"lovagedeck/pkg/operator"
	"lovagedeck/pkg/router"
	"lovagedeck/pkg/tabulator"
)

const (
	// RolloutRunning means that the requests are divided between the versions.
	RolloutRunning = tabulator.RolloutRunning
	// RolloutCompleted means that all requests go to the new version.
	RolloutCompleted = tabulator.RolloutCompleted
	// RolloutRolledBack means that no requests go to the new version.
	RolloutRolledBack = tabulator.RolloutRolledBack
)

const (
	maxVersionLength   = 200
	minRolloutDuration = 100 * time.Millisecond
	maxRolloutDuration = 30 * 24 * time.Hour
)

var (
	// ErrInvalidOrder is returned for an order that can never be executed.
	ErrInvalidOrder = errors.New("the order is not valid")
	// ErrOrderConflict is returned for an order that contradicts one that is in progress.
	ErrOrderConflict = errors.New("another order is in progress")
)

type (
	// RolloutState is the state of a roll-out.
	RolloutState = tabulator.RolloutState

	// RolloutOrder orders that the requests of a service be moved to the leafs of a version within a number of seconds.
	RolloutOrder struct {
		Service string
		Version string
		Seconds float64
	}

	// Rollout is the state of the newest roll-out of a service.
	Rollout struct {
		State   RolloutState
		Version string
	}

	// serviceCache holds the decoded routing document that services were last looked up in.
	serviceCache struct {
		mu      sync.Mutex
		version uint64
		table   *router.Table
	}
)

// StartRollout appends the order of a roll-out to the replicated log and waits until it is applied. It returns an error if the order is
// refused or its outcome is unknown, or if the operator no longer waits.
func (c *Control) StartRollout(order RolloutOrder, isWaiting func() bool) error {
	startedAt := c.now()
	result, err := c.startRollout(order, isWaiting)
	what := fmt.Sprintf("roll-out of %.100q to version %.100q within %g s", order.Service, order.Version, order.Seconds)
	c.logOrder(what, result, err, startedAt)
	return err
}

// Rollout returns the newest roll-out of a service, if there has been one. It returns ErrUnconfirmed if no majority of the control
// instances confirmed that it is the newest.
func (c *Control) Rollout(service string) (rollout Rollout, isKnown bool, err error) {
	current, _, isFresh := c.server.Rollout(service)
	if !isFresh {
		return Rollout{}, false, ErrUnconfirmed
	}
	return Rollout{State: current.State, Version: current.Version}, current.Order != 0, nil
}

// DescribeRollout returns the newest roll-out of a service with its steps and its evidence, as known to the leader.
func (c *Control) DescribeRollout(service string) (controller.RolloutReply, error) {
	return c.server.DescribeRollout(service)
}

// OrderRollout executes an order that came to the API of this product, and closes the connection after the answer.
func (c *Control) OrderRollout(request *fasthttp.RequestCtx, order operator.RolloutOrder) (statusCode int, err error) {
	conn := request.Conn()
	request.SetConnectionClose()
	err = c.StartRollout(RolloutOrder{Service: order.Service, Version: order.Version, Seconds: order.Seconds}, func() bool { return IsCallerWaiting(conn) })
	switch {
	case errors.Is(err, ErrInvalidOrder):
		return fasthttp.StatusBadRequest, err
	case errors.Is(err, ErrOrderConflict):
		return fasthttp.StatusConflict, err
	}
	return fasthttp.StatusServiceUnavailable, err
}

func (c *Control) startRollout(order RolloutOrder, isWaiting func() bool) (tabulator.Result, error) {
	command, err := order.command()
	if err != nil {
		return tabulator.Result{}, err
	}
	for range maxOrderAttempts {
		current, sinceOrder, isFresh := c.server.Rollout(order.Service)
		switch {
		case !isWaiting():
			return tabulator.Result{Revision: current.Revision}, ErrCallerLeft
		case !isFresh:
			return tabulator.Result{}, ErrUnconfirmed
		case current.IsSameOrder(command) && c.isCopy(current, sinceOrder):
			return tabulator.Result{Verdict: tabulator.VerdictAccepted, Revision: current.Revision, Repeated: true}, nil
		case current.IsRunning():
			return tabulator.Result{Revision: current.Revision}, errors.Wrapf(ErrOrderConflict, "service %s: a roll-out to version %s within %s runs",
				current.Service, current.Version, current.Duration)
		}
		if err := c.checkService(order.Service); err != nil {
			return tabulator.Result{}, err
		}
		command.Base, command.WallMs = current.Order, time.Now().UnixMilli()
		result, err := c.submit(command)
		if result.Verdict != tabulator.VerdictConflict {
			return result, err
		}
	}
	return tabulator.Result{}, ErrOvertaken
}

// isCopy reports whether an order that equals the newest one counts as a copy of it. A version that was rolled back can be ordered again
// once no copy of the order can be on its way.
func (c *Control) isCopy(current tabulator.Rollout, sinceOrder time.Duration) bool {
	return current.State != tabulator.RolloutRolledBack || sinceOrder < c.settings.resendWindow()
}

// command returns the command of a valid order, or an error that names the invalid field.
func (o RolloutOrder) command() (tabulator.StartRollout, error) {
	duration := time.Duration(o.Seconds * float64(time.Second))
	switch {
	case o.Service == "":
		return tabulator.StartRollout{}, errors.Wrap(ErrInvalidOrder, "service: empty")
	case o.Version == "":
		return tabulator.StartRollout{}, errors.Wrap(ErrInvalidOrder, "version: empty")
	case len(o.Version) > maxVersionLength || !isPrintable(o.Version):
		return tabulator.StartRollout{}, errors.Wrapf(ErrInvalidOrder, "version: more than %d bytes or unprintable characters", maxVersionLength)
	case math.IsNaN(o.Seconds) || o.Seconds < minRolloutDuration.Seconds() || o.Seconds > maxRolloutDuration.Seconds():
		return tabulator.StartRollout{}, errors.Wrapf(ErrInvalidOrder, "duration: %g s, want %s to %s", o.Seconds, minRolloutDuration, maxRolloutDuration)
	}
	return tabulator.StartRollout{Service: o.Service, Version: o.Version, Duration: duration}, nil
}

func isPrintable(text string) bool {
	for _, char := range text {
		if !unicode.IsGraphic(char) {
			return false
		}
	}
	return true
}

// checkService returns an error unless the newest routing document contains the service.
func (c *Control) checkService(service string) error {
	if c.decode == nil {
		return nil
	}
	version, body, err := c.Document()
	if err != nil {
		return err
	}
	if version == 0 {
		return errors.New("there is no routing document yet")
	}
	table, err := c.services.decode(c.decode, version, body)
	if err != nil {
		return err
	}
	if _, isKnown := table.Service(service); !isKnown {
		return errors.Wrapf(ErrInvalidOrder, "service: %.100q is not in routing document %d", service, version)
	}
	return nil
}

func (s *serviceCache) decode(decode DecodeFunc, version uint64, body []byte) (*router.Table, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != nil && s.version == version {
		return s.table, nil
	}
	table, err := decode(version, body)
	if err != nil {
		return nil, errors.Wrapf(err, "decode routing document %d", version)
	}
	s.version, s.table = version, table
	return table, nil
}
