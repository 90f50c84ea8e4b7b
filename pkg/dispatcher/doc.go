// Package dispatcher runs queries at the entry instance that took them from the caller.
package dispatcher
