// Package accountant asks other entry instances over net/rpc whether requests of tenants are within their allowances, and answers such
// calls.
package accountant
