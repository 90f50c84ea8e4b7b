// Package commander is the command line of lovagedeck, one file for each verb.
package commander
