// Package ticketer remembers the outcomes of requests that were sent under a ticket, so that a resend runs nothing twice.
package ticketer
