// Package emulator stands in for leafs, the platform and the network, and counts every breach of what leafs bear.
package emulator
