// Package acceptor serves a fiber application on a listener until it is closed.
package acceptor
