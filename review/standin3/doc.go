// Command review3 plays the cases of the third review: it starts the programs of the deploy file on loopback addresses, with
// stand-ins for leafs, the platform's list, clients and operators.
package main
