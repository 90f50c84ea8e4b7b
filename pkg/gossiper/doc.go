// Package gossiper spreads observations of leafs among the instances of a data centre by gossip over UDP.
package gossiper
