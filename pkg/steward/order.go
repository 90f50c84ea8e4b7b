// An operator that gets no answer sends its order again to another instance and
// goes on. A copy that was held up, in a socket of a paused instance, on its way
// to the leader or in a queue, must not be executed after a newer order.

package steward

import (
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/tabulator"
)

const (
	// maxOrderAttempts limits how often an order is based on a newer state after another order came first.
	maxOrderAttempts = 3
	// callerProbeTimeout is how long a connection is read to find out whether the caller has closed it.
	callerProbeTimeout = time.Millisecond
)

var (
	// ErrCallerLeft is returned if the operator closed the connection before its order was executed.
	ErrCallerLeft = errors.New("the caller has closed the connection")
	// ErrOvertaken is returned if other orders for the same data centre were executed first.
	ErrOvertaken = errors.New("other orders for the data centre came first")
)

// IsCallerWaiting reports whether the caller has not closed its connection. It may read a byte of a next request, so the
// connection must not be used for one.
func IsCallerWaiting(conn net.Conn) bool {
	if err := conn.SetReadDeadline(time.Now().Add(callerProbeTimeout)); err != nil {
		return false
	}
	var next [1]byte
	_, err := conn.Read(next[:])
	var timeout net.Error
	return err == nil || errors.As(err, &timeout) && timeout.Timeout()
}

// setDataCentre executes an order of an operator on the state that was in force while the operator still waited. A newer order
// changes the revision of the data centre, so that this one is not applied after it.
func (c *Control) setDataCentre(name string, state tabulator.State, isWaiting func() bool) error {
	startedAt := c.now()
	result, err := c.proposeDataCentre(name, state, isWaiting)
	c.logOrder(describeDataCentre(name, state), result, err, startedAt)
	return err
}

func (c *Control) proposeDataCentre(name string, state tabulator.State, isWaiting func() bool) (tabulator.Result, error) {
	for range maxOrderAttempts {
		current, isFresh := c.server.DataCentre(name)
		switch {
		case !isWaiting():
			return tabulator.Result{Revision: current.Revision}, ErrCallerLeft
		case !isFresh:
			return tabulator.Result{}, ErrUnconfirmed
		case current.State == state:
			return tabulator.Result{Verdict: tabulator.VerdictAccepted, Revision: current.Revision, Repeated: true}, nil
		}
		result, err := c.submit(tabulator.SetDataCentre{
			ChangeID: c.settings.Instance + "-" + strconv.FormatUint(rand.Uint64(), 36), Name: name, State: state, Base: current.Revision,
		})
		if result.Verdict != tabulator.VerdictConflict {
			return result, err
		}
	}
	return tabulator.Result{}, ErrOvertaken
}
