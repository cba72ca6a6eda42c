// Command burlpass is a client-side load-balancing sidecar: it takes the calls of one application and
// delegates each to one of many workers, as the decision module chooses.
package main

import (
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"

	"burlpass/internal/program"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "burlpass:", err)
		os.Exit(1)
	}
}

func run() error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	config, err := program.Load(os.Getenv)
	if err != nil {
		return err
	}
	config.Limits.Apply()
	sidecar, err := program.New(config, log.New(os.Stderr, "", log.LstdFlags|log.Lmicroseconds))
	if err != nil {
		return err
	}
	sidecar.Run(signals)
	return nil
}
