// Package assigner decides which entry instance owns each leaf and when a new owner may begin.
package assigner
