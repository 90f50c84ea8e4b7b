// Package emulator stands in for leafs, the platform and the network, and counts every breach of their limits.
package emulator
