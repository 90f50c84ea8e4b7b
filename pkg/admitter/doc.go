// Package admitter limits the requests that are sent to one leaf: each request is sent, queued or refused, depending on
// the concurrency limit of the leaf, its queue and the overload threshold.
package admitter
