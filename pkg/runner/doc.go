// Package runner puts the parts of one instance together and runs them.
package runner
