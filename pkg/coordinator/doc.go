// Package coordinator runs one query: it decides which requests are sent, retried, hedged and cancelled, and builds the
// answer.
package coordinator
