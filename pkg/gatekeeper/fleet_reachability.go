// An instance that no leaf answers tries to open connections to some leafs, to
// find out whether it is cut off from all of them, and later, whether the cut
// has ended.

package gatekeeper

import (
	"net"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/detector"
	"lovagedeck/pkg/exchanger"
)

const (
	// leafsPerCheck is the number of leafs that a check tries to connect to.
	leafsPerCheck = 3
	// checkTimeout is how long a check waits for a connection. Upstreams take 1 to 6 ms.
	checkTimeout = 100 * time.Millisecond
	// checkInterval is the longest time between two checks of an instance that is cut off, and half of it the shortest.
	checkInterval = 300 * time.Millisecond
	// evaluationInterval is the time between two evaluations while requests wait for their answers.
	evaluationInterval = 60 * time.Millisecond
)

const (
	sourceAnswer     contactSource = "answer"
	sourceConnection contactSource = "connection"
	sourceCheck      contactSource = "check"
)

// contactSource says how an instance found out that it reaches leafs, or reaches none.
type contactSource string

// recordStart records an attempt for the detector and makes sure that it is evaluated while the attempt waits.
func (f *fleet) recordStart(a *attempt, now time.Duration) {
	f.detector.OnStart(a.id, a.upstream.leaf.Fields().ID, a.latency.typical, now)
	if !f.isEvaluating {
		f.isEvaluating = true
		time.AfterFunc(evaluationInterval, f.evaluateReachability)
	}
}

// recordEnd records for the detector what the end of an attempt shows.
func (f *fleet) recordEnd(a *attempt, result exchanger.Result, now time.Duration) {
	switch {
	case result.Response != nil:
		f.detector.OnEnd(a.id, now)
		f.recordContact(sourceAnswer, now)
	case result.Err == nil || errors.Is(result.Err, exchanger.ErrPoolClosed) || errors.Is(result.Err, exchanger.ErrNotPermitted) || errors.Is(result.Err, exchanger.ErrResting):
		f.detector.OnEnd(a.id, now)
	default:
		f.detector.OnLost(a.id)
		if errors.Is(result.Err, exchanger.ErrUnreachable) {
			f.detector.OnUnconnected(a.upstream.leaf.Fields().ID)
		}
	}
}

// recordContact records that a leaf answered or accepted a connection.
func (f *fleet) recordContact(source contactSource, now time.Duration) {
	if f.detector.State() == detector.InTouch {
		f.detector.OnContact(source != sourceAnswer, now)
		return
	}
	silence, silentLeafs := f.detector.Silence(now)
	if f.detector.OnContact(source != sourceAnswer, now) {
		f.onReachabilityChange(silence, silentLeafs, source)
	}
}

// onConnected records that a leaf accepted a connection.
func (f *fleet) onConnected() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordContact(sourceConnection, f.now())
}

// reachesLeafs returns 0 while this instance is cut off from the leafs, else 1.
func (f *fleet) reachesLeafs() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.detector.State() == detector.CutOff {
		return 0
	}
	return 1
}

// evaluateReachability starts a check if no leaf answers, and runs again while attempts wait for their answers.
func (f *fleet) evaluateReachability() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkIfSilent()
	f.isEvaluating = f.detector.HasWaiting()
	if f.isEvaluating {
		time.AfterFunc(evaluationInterval, f.evaluateReachability)
	}
}

// checkIfSilent starts to check the reachability of leafs if no leaf answers.
func (f *fleet) checkIfSilent() {
	if f.isChecking || !f.detector.NeedsCheck(f.now()) {
		return
	}
	f.isChecking = true
	go f.checkLoop()
}

// checkLoop tries to reach leafs until one is reached or nothing is suspicious any more.
func (f *fleet) checkLoop() {
	for f.check() {
		f.mu.Lock()
		pause := checkInterval
		if f.detector.State() != detector.CutOff {
			pause = evaluationInterval
		}
		pause = time.Duration((1 + f.random.Float64()) / 2 * float64(pause))
		f.mu.Unlock()
		time.Sleep(pause)
	}
}

// check tries to open connections to some leafs and reports whether another check is needed.
func (f *fleet) check() bool {
	f.mu.Lock()
	startedAt, addresses := f.now(), f.leafsToCheck()
	f.mu.Unlock()
	isReached := f.reachesAny(addresses)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	switch {
	case isReached:
		f.recordContact(sourceCheck, now)
	case f.mayBeStale == nil || !f.mayBeStale():
		leafs := make([]string, 0, len(addresses))
		for leaf := range addresses {
			leafs = append(leafs, leaf)
		}
		silence, silentLeafs := f.detector.Silence(now)
		if f.detector.OnCheckFailed(leafs, len(f.leafs), startedAt, now) {
			f.onReachabilityChange(silence, silentLeafs, sourceCheck)
		}
	}
	f.isChecking = f.detector.NeedsCheck(now)
	return f.isChecking
}

// leafsToCheck returns the addresses of some random leafs by their IDs.
func (f *fleet) leafsToCheck() map[string]string {
	addresses := make(map[string]string, leafsPerCheck)
	for id, u := range f.leafs {
		if len(addresses) == leafsPerCheck {
			break
		}
		if !u.leaf.IsReplaced() && !f.outOfService[u.leaf.Fields().DataCentre] {
			addresses[id] = u.pool.Address()
		}
	}
	return addresses
}

// reachesAny reports whether one of the leafs accepts a connection within checkTimeout, and closes the connections.
func (f *fleet) reachesAny(addresses map[string]string) bool {
	results := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { results <- f.connects(address) }()
	}
	for range addresses {
		if <-results {
			return true
		}
	}
	return false
}

func (f *fleet) connects(address string) bool {
	conn, err := f.config.Dial(address, checkTimeout)
	if err != nil {
		return false
	}
	f.closeChecked(conn)
	return true
}

func (f *fleet) closeChecked(conn net.Conn) {
	if err := conn.Close(); err != nil {
		f.log.Info("gatekeeper: closing the connection of a check failed", "address", conn.RemoteAddr().String(), "error", err.Error())
	}
}

// onReachabilityChange adapts to and logs that the instance is cut off from the leafs, or reaches them again.
func (f *fleet) onReachabilityChange(silence time.Duration, silentLeafs int, source contactSource) {
	switch f.detector.State() {
	case detector.CutOff:
		close(f.cutOffNotice)
	case detector.Returning:
		f.cutOffNotice = make(chan struct{})
		f.forgetObservations()
		f.requestPrewarm()
	case detector.InTouch:
		f.helpers.size = initialHelpers
		f.updatePeers()
	}
	f.log.Info("gatekeeper: reachability of leafs changed", "state", f.detector.State().String(), "silence-ms", silence.Milliseconds(),
		"silent-leafs", silentLeafs, "known-leafs", len(f.leafs), "source", string(source))
}

// forgetObservations drops what this instance has seen of the leafs while it was cut off, which says nothing about them.
func (f *fleet) forgetObservations() {
	for _, u := range f.leafs {
		u.leaf.ForgetObservations()
	}
}

// noticeOfCutOff returns a channel that is closed when this instance is cut off from the leafs.
func (f *fleet) noticeOfCutOff() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutOffNotice
}

// mayBeCutOff reports whether no leaf has answered since the given time, so that an attempt at another leaf is pointless until a
// check has shown whether this instance is cut off.
func (f *fleet) mayBeCutOff(since time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peers != nil && len(f.helpers.names) > 0 && !f.detector.HasContactSince(since)
}

// canConnect reports whether connections to leafs can be opened, as far as is known.
func (f *fleet) canConnect() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.detector.CanConnect(len(f.leafs))
}
