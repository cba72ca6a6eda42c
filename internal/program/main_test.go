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

// childEnv makes the test's binary a sidecar that prints where it listens.
const childEnv = "BURLPASS_TEST_CHILD"

// failingEnv gives such a sidecar a network a tenth of whose calls of a kind fail; the kind as a number.
const failingSyscallEnv = "BURLPASS_TEST_FAILING"

// Whatever a test has ended leaves no goroutine behind.
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
	c.Limits.Apply()
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
	signal.Notify(signals, syscall.SIGTERM)
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
