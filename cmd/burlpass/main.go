// Command burlpass is a client-side load-balancing sidecar. Without a subcommand it runs the sidecar as configured by the
// EDGE_ environment variables. Members of a cluster are run by burlpass-cluster, which replaces it.
package main

import (
	"os"
	"runtime"

	"burlpass/internal/cli"
)

func main() {
	runtime.MemProfileRate = 0 // nobody reads the profile, whose table takes 1.4 MB
	os.Exit(cli.Main(os.Args[1:], os.Getenv, nil, os.Stdout, os.Stderr))
}
