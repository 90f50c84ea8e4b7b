// Package emulator emulates leafs, the platform's leaf list and the network between instances, and counts every violation of the leafs' limits.
package emulator
