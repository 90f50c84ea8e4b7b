// Package commander implements the subcommands of the lovagedeck command line, each in a file of its own.
package commander
