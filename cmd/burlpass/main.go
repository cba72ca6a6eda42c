// Command burlpass is a client-side load-balancing sidecar with the experiments that test it. Without a
// subcommand it runs the sidecar as configured by the EDGE_ environment variables.
package main

import (
	"os"

	"burlpass/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}
