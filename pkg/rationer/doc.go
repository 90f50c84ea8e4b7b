// Package rationer keeps the requests of a tenant over all instances within its allowance. One instance keeps the token bucket of a
// tenant; the others ask it, and hold a few tokens in advance if they ask often.
//
// The load it answers: one tenant sends many times its usual, to one instance or to all of them.
package rationer
