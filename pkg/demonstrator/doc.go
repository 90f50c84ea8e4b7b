// Package demonstrator runs the whole tier in one process through the failures it is made for.
package demonstrator
