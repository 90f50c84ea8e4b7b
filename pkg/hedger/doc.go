// Package hedger estimates how long to wait for an answer before a hedge request is sent, and limits hedges and retries by
// budgets per service.
package hedger
