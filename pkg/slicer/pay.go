// Slices pay where an instance asks a leaf too seldom to keep a connection and
// to know it. With many queries at each instance a gatherer would get a slice of
// every query of its data centre, more than it bears, and direct asking has
// warm connections anyway:
//
//	large site    0.2 requests a second at each instance    slices
//	in two years  232                                       each instance asks the leafs itself

package slicer

const (
	// directRate is the number of requests a second at an instance beyond which it asks the leafs itself, and sliceRate that below
	// which shards are gathered in slices again: some ten requests a second reach each leaf of the own data centre then.
	directRate = 20.0
	sliceRate  = 10.0
)

// Pays tells whether shards should be gathered in slices, by the requests a second of an average instance; sliced tells
// whether they are now.
func Pays(sliced bool, perInstance float64) bool {
	if sliced {
		return perInstance <= directRate
	}
	return perInstance < sliceRate
}
