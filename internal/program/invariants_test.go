package program

import (
	"bufio"
	"io"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"burlpass/internal/protocol"
	"burlpass/internal/routing"
)

// A process that is stopped for longer than the invariants allow breaks them and logs that.
func TestStoppedProcessReportsInvariants(t *testing.T) {
	t.Parallel()
	r, w := io.Pipe()
	t.Cleanup(func() { w.Close() }) // after the process has exited
	lines := make(chan string, 1000)
	go func() {
		for s := bufio.NewScanner(r); s.Scan(); {
			lines <- s.Text()
		}
	}()
	c, addr := startSidecarWithLog(t, nonReadingWorker(t), 256, w)
	for _, sent := range []string{bookingCall()[:80], strings.Replace(bookingCall(), "2500m", "500m", 1)} {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, sent); err != nil {
			t.Fatal(err)
		}
	}
	waitUntilReceived(t, addr)
	c.Process.Signal(syscall.SIGSTOP)
	time.Sleep(stalledClientLimit + 200*time.Millisecond) // the injected fault
	c.Process.Signal(syscall.SIGCONT)
	for missing := []string{"stopped_client_ended", "answered_in_time"}; len(missing) > 0; { // in either order
		select {
		case line := <-lines:
			missing = slices.DeleteFunc(missing, func(rule string) bool {
				return strings.Contains(line, "event=invariant_broken rule="+rule)
			})
			if strings.Contains(line, "rule=answered_in_time") && !strings.Contains(line, "id=stopped-") {
				t.Errorf("no call ID in %s", line)
			}
		case <-time.After(waitLimit):
			t.Fatalf("no log lines of %v", missing)
		}
	}
}

// A call that cannot be ended delays the exit up to its limit and no longer, and the log reports it.
func TestForcedExitReportsInvariant(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	gate := func(*protocol.Call) routing.CallPolicy {
		<-release
		return routing.CallPolicy{}
	}
	playScenario(t, scenario{gate: gate, script: `
		a send GET /availability/x id=t1 expires=2000m
		sidecar send TERM
		log expect event=invariant_broken rule=exit_in_time
		log expect event=stop_forced invariants_broken=1
		sidecar wait`})
}
