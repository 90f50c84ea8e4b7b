// Package caller takes queries from callers over HTTP and answers them.
package caller
