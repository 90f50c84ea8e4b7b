// Package printer prints data as text, JSON or comma-separated values.
package printer
