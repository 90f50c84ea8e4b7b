// Package fellow carries requests and replies between entry instances, many in one call.
package fellow
