// Command burlpass-lab plays days of trouble against sidecars, on real sockets and on virtual time.
package main

import (
	"os"

	"burlpass/internal/labcli"
)

func main() {
	os.Exit(labcli.Main(os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}
