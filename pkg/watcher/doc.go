// Package watcher notices that the process was paused, so that messages that waited meanwhile are not taken for new ones.
package watcher
