// Package retrier holds what is known of the attempts at a request, and decides from that alone whether the request may be sent again.
package retrier
