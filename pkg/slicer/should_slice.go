// Slices reduce the number of instances that ask each leaf, which is worthwhile
// while an instance asks a leaf too rarely to keep a connection to it and to
// know its state. At higher rates each instance has open connections anyway, and
// a gatherer would be overloaded with a slice of every query of its data centre:
//
//	large site    0.2 requests/s at each instance    slices
//	in 2 years    232 requests/s                     each instance asks the leafs directly

package slicer

const (
	// stopSlicingRate is the average rate in requests per second and instance above which each instance asks the leafs
	// directly. Slicing resumes below resumeSlicingRate: there, each leaf of the local data centre receives some ten requests
	// per second.
	stopSlicingRate   = 20.0
	resumeSlicingRate = 10.0
)

// ShouldSlice reports whether shards should be gathered in slices at the given average number of requests per second and
// instance; isSlicing is the present state, which decides between the two thresholds.
func ShouldSlice(isSlicing bool, requestsPerSecond float64) bool {
	if isSlicing {
		return requestsPerSecond <= stopSlicingRate
	}
	return requestsPerSecond < resumeSlicingRate
}
