// Command lovagedeckd runs one instance of the query tier.
package main

import (
	"os"

	"lovagedeck/pkg/supervisor"
	"lovagedeck/platform"
)

func main() {
	os.Exit(supervisor.Main(os.Args, os.Stdout, os.Stderr, platform.New()))
}
