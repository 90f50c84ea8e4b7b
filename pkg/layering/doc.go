// Package layering holds the test that keeps decisions free of input and output.
package layering
