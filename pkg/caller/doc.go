// Package caller implements the HTTP API for queries: its server and a client.
package caller
