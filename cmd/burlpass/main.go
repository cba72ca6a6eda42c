// Command burlpass is a client-side load-balancing sidecar and the laboratory that it is proved in. Without a
// sub-command it serves as its EDGE_ variables say.
package main

import (
	"os"

	"burlpass/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}
