// Package slicer assigns the shards of queries to the instances that gather their answers, and tracks which of these
// instances respond in time.
//
// A slice is the part of a query that one gathering instance handles: that instance asks the leafs of its shards and reports
// the answers to the instance that received the query.
package slicer
