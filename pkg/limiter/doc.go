// Package limiter records the request rates that overloaded leafs state in their responses.
package limiter
