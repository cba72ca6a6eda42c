package program

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"testing"

	"go.uber.org/goleak"

	"burlpass/internal/lab/faultnet"
	"burlpass/internal/logging"
	"burlpass/internal/transport"
)

// childEnv makes the test binary run as a sidecar that prints its listen address.
const childEnv = "BURLPASS_TEST_CHILD"

// failingSyscallEnv makes a tenth of the system calls of one kind fail in such a sidecar; the value is the kind's number.
const failingSyscallEnv = "BURLPASS_TEST_FAILING"

// TestMain verifies that no test leaks a goroutine.
func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		if err := runChild(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	goleak.VerifyTestMain(m)
}

func runChild() error {
	c, err := Load(os.Getenv)
	if err != nil {
		return err
	}
	c.ApplyLimits()
	log, err := logging.New(os.Stderr, logging.Options{})
	if err != nil {
		return err
	}
	network, err := childNetwork(os.Getenv(failingSyscallEnv))
	if err != nil {
		return err
	}
	sidecar, err := New(network, c, log)
	if err != nil {
		return err
	}
	fmt.Println(sidecar.Addr())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP)
	sidecar.Run(signals)
	return nil
}

func childNetwork(failing string) (transport.Network, error) {
	if failing == "" {
		return transport.System{}, nil
	}
	kind, err := strconv.ParseUint(failing, 10, 8)
	return faultnet.Always(faultnet.Kind(kind), syscallFailureRate), err
}
