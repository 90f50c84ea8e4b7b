// Package linker opens and accepts authenticated connections between instances and runs net/rpc over them.
package linker
