// Package splitter decides which version of a service gets a request while a roll-out moves the requests to a new version.
package splitter
