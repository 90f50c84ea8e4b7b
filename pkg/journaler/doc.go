// Package journaler persists the replicated log and the snapshot of a control instance in its data folder.
package journaler
