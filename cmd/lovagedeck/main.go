// Command lovagedeck operates, inspects and tests a query tier.
package main

import (
	"os"

	"lovagedeck/pkg/commander"
)

func main() {
	os.Exit(commander.Main(os.Args, os.Stdout, os.Stderr))
}
