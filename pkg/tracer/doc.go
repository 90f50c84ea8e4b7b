// Package tracer stores the traces of queries and explains in one sentence what delayed a query.
package tracer
