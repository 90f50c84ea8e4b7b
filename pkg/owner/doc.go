// Package owner holds the leafs that this instance owns: it admits requests for them, sends them and replies.
package owner
