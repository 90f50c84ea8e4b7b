// Package soak tests the real programs as separate processes under random faults that are injected from outside.
package soak
