// Package evictor decides which connections of clients are closed, and in which order, when those of all clients hold too much.
package evictor
