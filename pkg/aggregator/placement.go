// Before a plain request is sent, the instance that has it asks the placing
// instance of the service which leaf to use. An instance of a former build does
// not know the call; the caller then places the request itself.

package aggregator

import (
	"net/rpc"
	"time"

	"github.com/pkg/errors"

	"lovagedeck/pkg/estimator"
	"lovagedeck/pkg/linker"
)

const (
	// PlacementService is the name under which a PlacementReceiver is registered.
	PlacementService = "Placement"

	callPlace  = PlacementService + ".Place"
	callPlaced = PlacementService + ".Placed"
)

type (
	// PlaceQuery asks which leaf should get a request.
	PlaceQuery struct {
		// Request is the request ID given by the caller, and From the instance that has the request.
		Request string
		From    string
		// Key is the group of requests that the request is expected to cost as much as.
		Key estimator.Key
		// Prior is the cost assumed while nothing is known of the group.
		Prior time.Duration
		// Tried holds the leafs that the request was already sent to.
		Tried []string
		// IsNonIdempotent is set if the request must not run twice.
		IsNonIdempotent bool
		// RequiresHealthy is set if only leafs that are expected to respond promptly may be named.
		RequiresHealthy bool
		// TimeLeft is the time after which the request has ended for certain.
		TimeLeft time.Duration
		// Admission asks whether the request is turned away, or is nil if it must not be.
		Admission *AdmissionQuery
	}

	// AdmissionQuery is what is known of a request that competes with others for room and that no leaf has run.
	AdmissionQuery struct {
		// Rank is the difference of its priority to the highest one that competes, and Usage the part of its allowance that its tenant
		// has used lately.
		Rank  int
		Usage float64
		// Objective is the shortest one of the requests that compete.
		Objective time.Duration
	}

	// PlaceReply names a leaf. Leaf is empty if the instance knows of none, or if the request is turned away.
	PlaceReply struct {
		Leaf string
		// Ticket names the request in the PlacedNotice.
		Ticket uint64
		// Cost is the expected work of the request, and Wait the expected time until a slot is free for it.
		Cost, Wait time.Duration
		// SightAge is the time since the instance last heard of a request to the leaf.
		SightAge time.Duration
		// IsTurnedAway is set if the request is turned away, and can be repeated after RetryAfter; IsTooLate if no leaf is expected to
		// serve it in time. MaxWait is the longest wait with which it would be sent.
		IsTurnedAway, IsTooLate bool
		RetryAfter, MaxWait     time.Duration
	}

	// PlacedNotice states that a placed request has ended.
	PlacedNotice struct {
		Ticket uint64
		// Work is the time that the leaf worked on the request, or 0 if it brought no answer.
		Work time.Duration
	}

	// PlacingInstance places plain requests for other instances.
	PlacingInstance interface {
		// PlaceRequest returns the leaf that should get a request.
		PlaceRequest(query PlaceQuery) PlaceReply
		// EndPlacedRequest records that a placed request has ended.
		EndPlacedRequest(notice PlacedNotice)
	}

	// PlacementReceiver is the net/rpc receiver of a PlacingInstance.
	PlacementReceiver struct {
		instance PlacingInstance
	}
)

// NewPlacementReceiver returns a receiver that passes calls to the instance.
func NewPlacementReceiver(instance PlacingInstance) *PlacementReceiver {
	return &PlacementReceiver{instance: instance}
}

// Place returns the leaf that should get a request.
func (r *PlacementReceiver) Place(query PlaceQuery, reply *PlaceReply) (err error) {
	defer linker.RecoverAs(&err)
	*reply = r.instance.PlaceRequest(query)
	return nil
}

// Placed records that a placed request has ended.
func (r *PlacementReceiver) Placed(notice PlacedNotice, _ *struct{}) (err error) {
	defer linker.RecoverAs(&err)
	r.instance.EndPlacedRequest(notice)
	return nil
}

// Place asks an instance which leaf should get a request, and returns an error if it has not replied within the timeout.
func (p *Peers) Place(instance string, query PlaceQuery, timeout time.Duration) (PlaceReply, error) {
	client := p.availableClient(instance)
	if client == nil {
		return PlaceReply{}, errors.Errorf("place a request: no connection to instance %s", instance)
	}
	var reply PlaceReply
	call := client.Go(callPlace, query, &reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		return reply, errors.Wrapf(call.Error, "place a request: instance %s", instance)
	case <-timer.C:
		return PlaceReply{}, errors.Errorf("place a request: no reply of instance %s within %s", instance, timeout)
	}
}

// EndPlaced tells an instance that a request that it has placed has ended, without waiting for its reply. If the notice is lost, the
// instance assumes the end after the time that was left.
func (p *Peers) EndPlaced(instance string, notice PlacedNotice) {
	if client := p.availableClient(instance); client != nil {
		go func() { _ = client.Call(callPlaced, notice, &struct{}{}) }()
	}
}
