// Command burlpass-cluster is burlpass with all that a member of a cluster needs.
package main

import (
	"os"
	"runtime"

	"burlpass/internal/cli"
	"burlpass/internal/membership/member"
)

func main() {
	runtime.MemProfileRate = 0 // nobody reads the profile, whose table takes 1.4 MB
	os.Exit(cli.Main(os.Args[1:], os.Getenv, member.Open, os.Stdout, os.Stderr))
}
