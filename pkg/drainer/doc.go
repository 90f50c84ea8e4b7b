// Package drainer decides which requests an instance that is about to stop still takes, and when callers that it turns away
// should retry.
package drainer
