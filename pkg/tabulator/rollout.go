// A roll-out moves the requests of a service to the leafs of a new version.

package tabulator

import (
	"fmt"
	"time"
)

const (
	// RolloutRunning means that the requests are divided between the versions.
	RolloutRunning RolloutState = "running"
	// RolloutCompleted means that all requests go to the new version, and that none is in progress at another one.
	RolloutCompleted RolloutState = "completed"
	// RolloutRolledBack means that no requests go to the new version.
	RolloutRolledBack RolloutState = "rolled-back"
)

// WholeShare is the Share of a roll-out whose new version gets all requests.
const WholeShare = 10_000

type (
	// RolloutState is the state of a roll-out.
	RolloutState string

	// Rollout is the newest roll-out of a service.
	Rollout struct {
		Service string
		// Version is the new version.
		Version string
		// Duration is the time within which the roll-out ends.
		Duration time.Duration
		State    RolloutState
		// Share is the part of the requests that the new version gets, in 1/WholeShare.
		Share int
		// Order is the revision at which the roll-out was ordered. It identifies the roll-out.
		Order uint64
		// Revision is the revision of the last change.
		Revision uint64
		// Elapsed is the time between the order and the last change, as known to the leader.
		Elapsed time.Duration
		// WallMs is the time of the order by the calendar clock of the control instance that took it, in Unix milliseconds, or 0. It
		// serves only instances that were restarted since, whose steady clock began anew.
		WallMs int64
		// Reason explains the last change to operators.
		Reason string
	}
)

// Rollout returns the newest roll-out of a service.
func (v *View) Rollout(service string) (Rollout, bool) {
	rollout, ok := v.rollouts[service]
	return rollout, ok
}

// Rollouts returns the newest roll-out of each service that has had one. The map must not be changed.
func (v *View) Rollouts() map[string]Rollout { return v.rollouts }

// IsRunning reports whether the roll-out has not ended.
func (r Rollout) IsRunning() bool { return r.State == RolloutRunning }

// SharePercent returns the part of the requests that the new version gets, in percent.
func (r Rollout) SharePercent() float64 { return float64(r.Share) * 100 / WholeShare }

// IsSameOrder reports whether the roll-out was ordered with the same service, version and duration.
func (r Rollout) IsSameOrder(order StartRollout) bool {
	return r.Service == order.Service && r.Version == order.Version && r.Duration == order.Duration
}

// Rollout returns the newest roll-out of a service.
func (m *Machine) Rollout(service string) (Rollout, bool) {
	rollout, ok := m.state.Rollouts[service]
	return rollout, ok
}

// Rollouts returns the newest roll-out of each service that has had one. The map must not be changed.
func (m *Machine) Rollouts() map[string]Rollout { return m.state.Rollouts }

// startRollout starts a roll-out on the state that the order is based on. A repeated order is accepted and changes nothing.
func (m *Machine) startRollout(c StartRollout) Result {
	if c.Service == "" || c.Version == "" || c.Duration <= 0 {
		return Result{Verdict: VerdictInvalid, Revision: m.state.Revision, Faults: []string{"a roll-out needs a service, a version and a duration"}}
	}
	current, isKnown := m.state.Rollouts[c.Service]
	isBasedOnCurrent := c.Base == current.Order && !current.IsRunning()
	switch {
	case isBasedOnCurrent:
	case isKnown && current.IsSameOrder(c):
		return Result{Verdict: VerdictAccepted, Revision: current.Revision, Repeated: true}
	default:
		return Result{Verdict: VerdictConflict, Revision: current.Revision, Faults: []string{describeRollout(current)}}
	}
	revision := m.advanceTableRevision()
	m.state.Rollouts[c.Service] = Rollout{
		Service: c.Service, Version: c.Version, Duration: c.Duration, State: RolloutRunning, Order: revision, Revision: revision, WallMs: c.WallMs, Reason: "ordered",
	}
	m.addHistory(HistoryEntry{
		Revision: revision, Verdict: VerdictAccepted, Rollout: c.Service,
		What: fmt.Sprintf("roll-out of %s to version %s within %s ordered", c.Service, c.Version, c.Duration),
	})
	return Result{Verdict: VerdictAccepted, Revision: revision}
}

// advanceRollout changes a running roll-out. A leader that has been replaced is based on an older revision and changes nothing.
func (m *Machine) advanceRollout(c AdvanceRollout) Result {
	current, isKnown := m.state.Rollouts[c.Service]
	if !isKnown || current.Revision != c.Base || !current.IsRunning() {
		return Result{Verdict: VerdictConflict, Revision: current.Revision, Faults: []string{describeRollout(current)}}
	}
	revision := m.advanceTableRevision()
	current.State, current.Share, current.Reason, current.Revision = c.State, min(max(c.Share, 0), WholeShare), c.Reason, revision
	current.Elapsed = max(current.Elapsed, c.Elapsed)
	m.state.Rollouts[c.Service] = current
	m.addHistory(HistoryEntry{
		Revision: revision, Verdict: VerdictAccepted, Rollout: c.Service, What: fmt.Sprintf("roll-out of %s to version %s: %s", c.Service, current.Version, c.Reason),
	})
	return Result{Verdict: VerdictAccepted, Revision: revision}
}

// RolloutSteps returns the recorded changes of the newest roll-out of a service, oldest first.
func (m *Machine) RolloutSteps(service string) []HistoryEntry {
	var steps []HistoryEntry
	for _, entry := range m.state.History {
		if entry.Rollout == service && entry.Revision >= m.state.Rollouts[service].Order {
			steps = append(steps, entry)
		}
	}
	return steps
}

func describeRollout(rollout Rollout) string {
	if rollout.Order == 0 {
		return "the service has had no roll-out"
	}
	return fmt.Sprintf("the newest roll-out of %s is to version %s within %s, %s", rollout.Service, rollout.Version, rollout.Duration, rollout.State)
}
