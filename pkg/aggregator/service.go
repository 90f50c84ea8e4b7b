// A call that panics costs its slice only: net/rpc would let it end the process.

package aggregator

import "github.com/pkg/errors"

type (
	// Gatherer gathers slices for other instances.
	Gatherer interface {
		// GatherSlice takes a slice and returns its first report.
		GatherSlice(query SliceQuery) Report
		// MoreOfSlice returns the next report of a slice.
		MoreOfSlice(id SliceID) Report
		// DropSlice ends a slice; cut ends the work at the leafs as well.
		DropSlice(id SliceID, cut bool)
		// Ready tells whether slices are taken.
		Ready() bool
	}

	// Service is the net/rpc receiver named Aggregator.
	Service struct {
		gatherer Gatherer
	}
)

// NewService returns the receiver for the instance's gatherer.
func NewService(gatherer Gatherer) *Service { return &Service{gatherer: gatherer} }

// Gather takes a slice and returns at its first report.
func (s *Service) Gather(query SliceQuery, report *Report) (err error) {
	defer recoverAs(&err)
	*report = s.gatherer.GatherSlice(query)
	return nil
}

// More returns at the next report of a slice.
func (s *Service) More(id SliceID, report *Report) (err error) {
	defer recoverAs(&err)
	*report = s.gatherer.MoreOfSlice(id)
	return nil
}

// Drop ends a slice.
func (s *Service) Drop(query DropQuery, _ *struct{}) (err error) {
	defer recoverAs(&err)
	s.gatherer.DropSlice(query.SliceID, query.Cut)
	return nil
}

// Ping tells whether slices are taken.
func (s *Service) Ping(_ struct{}, ready *bool) error {
	*ready = s.gatherer.Ready()
	return nil
}

// recoverAs turns a panic into the error of the call.
func recoverAs(err *error) {
	if fault := recover(); fault != nil {
		*err = errors.Errorf("the call failed: %v", fault)
	}
}
