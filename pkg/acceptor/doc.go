// Package acceptor serves a fiber application over HTTP or HTTPS and shuts it down gracefully. It also reads the bodies of HTTP requests
// within a memory quota, ends TLS handshakes in time, and charges answers that clients have not read.
package acceptor
