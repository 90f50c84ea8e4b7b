// Package tracer keeps the course of queries and says in a sentence what held one up.
package tracer
