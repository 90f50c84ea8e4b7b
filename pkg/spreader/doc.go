// Package spreader selects the observations of leafs that an instance forwards to its peers in the same data centre.
//
// With many instances, each one sends a leaf less than one request per second and would be slow to detect by itself that
// the leaf is slow or fails. Instead, an instance sends its observations to a few peers for a few rounds, and each peer forwards
// those that are new to it.
package spreader
