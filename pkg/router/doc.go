// Package router validates the routes of a routing document and finds the route of a request.
package router
