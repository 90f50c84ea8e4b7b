// Package permitter asks other entry instances over net/rpc for permits to send requests to leafs that limit their request
// rate, and answers such calls.
package permitter
