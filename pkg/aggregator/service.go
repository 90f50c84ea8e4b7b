// Gather, More and Drop turn a panic into an error of the call, because net/rpc
// would let it end the process.

package aggregator

import "lovagedeck/pkg/linker"

type (
	// Gatherer gathers slices and serves relayed requests for other instances.
	Gatherer interface {
		// GatherSlice starts a slice and returns its first report.
		GatherSlice(query SliceQuery) Report
		// NextSliceReport returns the next report of a slice.
		NextSliceReport(id SliceID) Report
		// CancelSlice ends a slice. If cancelAttempts is set, the attempts at the leafs are cancelled as well.
		CancelSlice(id SliceID, cancelAttempts bool)
		// ServeRelayed serves a request of another instance's caller and returns the response.
		ServeRelayed(query RelayQuery) RelayReply
		// CancelRelayed ends a relayed request whose caller has left.
		CancelRelayed(id SliceID)
		// TakesWork reports whether the instance takes slices and relayed requests.
		TakesWork() bool
	}

	// Service is the net/rpc receiver registered as "Aggregator".
	Service struct {
		gatherer Gatherer
	}
)

// NewService returns a receiver that passes calls to gatherer.
func NewService(gatherer Gatherer) *Service { return &Service{gatherer: gatherer} }

// Gather starts a slice and returns its first report.
func (s *Service) Gather(query SliceQuery, report *Report) (err error) {
	defer linker.RecoverAs(&err)
	*report = s.gatherer.GatherSlice(query)
	return nil
}

// More permits all attempts of a slice and returns its next report.
func (s *Service) More(id SliceID, report *Report) (err error) {
	defer linker.RecoverAs(&err)
	*report = s.gatherer.NextSliceReport(id)
	return nil
}

// Drop ends a slice, and if query.Cut is set, the attempts at the leafs too.
func (s *Service) Drop(query DropQuery, _ *struct{}) (err error) {
	defer linker.RecoverAs(&err)
	s.gatherer.CancelSlice(query.SliceID, query.Cut)
	return nil
}

// Relay serves a request of another instance's caller.
func (s *Service) Relay(query RelayQuery, reply *RelayReply) (err error) {
	defer linker.RecoverAs(&err)
	*reply = s.gatherer.ServeRelayed(query)
	return nil
}

// CancelRelay ends a relayed request whose caller has left.
func (s *Service) CancelRelay(id SliceID, _ *struct{}) (err error) {
	defer linker.RecoverAs(&err)
	s.gatherer.CancelRelayed(id)
	return nil
}

// Ping reports whether the instance takes slices and relayed requests.
func (s *Service) Ping(_ struct{}, ready *bool) error {
	*ready = s.gatherer.TakesWork()
	return nil
}
