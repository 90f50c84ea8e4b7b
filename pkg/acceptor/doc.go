// Package acceptor serves a fiber application over HTTP or HTTPS and shuts it down gracefully.
package acceptor
