// Command burlpass-cluster is burlpass with all that a member of a cluster needs.
package main

import (
	"os"

	"burlpass/internal/cli"
	"burlpass/internal/membership/member"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Getenv, member.Open, os.Stdout, os.Stderr))
}
