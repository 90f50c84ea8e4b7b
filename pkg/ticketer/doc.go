// Package ticketer grants tickets, which are idempotency keys, and stores the outcome of the request sent with each ticket
// so that the same request is not run twice when a caller resends it.
package ticketer
