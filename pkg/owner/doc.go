// Package owner admits, sends and answers the requests for the leafs that this instance owns.
package owner
