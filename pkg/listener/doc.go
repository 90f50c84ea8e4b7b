// Package listener accepts connections and goes on after a shortage of descriptors or memory, which it tells from other errors of sockets.
package listener
