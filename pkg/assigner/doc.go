// Package assigner decides which entry instance owns each leaf and when a new owner may start to send requests to it.
package assigner
