// Package linker opens and accepts the authenticated connections between instances and carries net/rpc on them.
package linker
