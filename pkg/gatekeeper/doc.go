// Package gatekeeper serves HTTP callers: it matches each request to a route, sends it to leafs and writes the response.
package gatekeeper
