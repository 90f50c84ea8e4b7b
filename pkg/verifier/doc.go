// Package verifier rejects HTTP responses with an invalid head, which fasthttp reads as others: it takes the status 000 for 200, and those
// up to 099 for interim responses.
package verifier
