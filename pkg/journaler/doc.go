// Package journaler keeps the log and the snapshot of a control instance in its data folder.
package journaler
