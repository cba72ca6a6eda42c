// Command guest plays one simulated day: it reads a request as JSON from standard input and writes the outcome to
// standard output. Compiled to wasip1 and run under a virtual clock, it gives the same outcome for the same request.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"burlpass/internal/sim"
)

func main() {
	var q sim.Request
	if err := json.NewDecoder(os.Stdin).Decode(&q); err != nil {
		fmt.Fprintln(os.Stderr, "request:", err)
		os.Exit(2)
	}
	script := q.Script
	if script == nil {
		script = sim.Draw(q.Seed)
	}
	if err := json.NewEncoder(os.Stdout).Encode(sim.Play(script, q.Trace)); err != nil {
		os.Exit(3)
	}
	os.Exit(0)
}
