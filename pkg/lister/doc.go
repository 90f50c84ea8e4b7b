// Package lister polls the platform's list of live and leaving leafs, which lags behind their actual state, and keeps the
// newest version of it on each instance.
package lister
