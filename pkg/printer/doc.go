// Package printer prints data as aligned text, JSON or CSV.
package printer
