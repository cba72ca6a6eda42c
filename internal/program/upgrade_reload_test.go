package program

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// reloadBound is the time within which every process follows a reload: what the registry says counts then.
const reloadBound = 4 * time.Second

// countingRegistry answers each request with no news after a while, and counts the requests.
func countingRegistry(t *testing.T) (addr string, requests *atomic.Int64) {
	requests = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		time.Sleep(100 * time.Millisecond)
		io.WriteString(w, `{"generation":1,"reset":false,"instances":[]}`)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), requests
}

// setRegistry makes the configuration file name a registry.
func (u *upgradedSidecar) setRegistry(from, to string) {
	u.t.Helper()
	text, err := os.ReadFile(u.configPath)
	if err == nil {
		err = os.WriteFile(u.configPath, []byte(strings.Replace(string(text), from, to, 1)), 0o600)
	}
	if err != nil {
		u.t.Fatal(err)
	}
}

// expectRequests waits until the registry has got a request, until the end of a bound.
func expectRequests(t *testing.T, requests *atomic.Int64, from string, ordered time.Time) {
	t.Helper()
	for requests.Load() == 0 {
		if time.Since(ordered) > reloadBound {
			t.Fatalf("no request from %s within %v", from, reloadBound)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a process that goes on asking a registry that the sidecar was told to leave: SIGHUP reached another process of
// the sidecar, or came before this one started, whose environment still names the old registry.
func TestReloadHoldsAtEveryProcess(t *testing.T) {
	t.Parallel()
	oldRegistry, oldRequests := countingRegistry(t)
	newRegistry, newRequests := countingRegistry(t)
	u := newUpgradedSidecar(t, "127.0.0.1:1")
	u.registry = oldRegistry
	u.setRegistry(`{"seed"`, fmt.Sprintf(`{"discovery":%q,"seed"`, oldRegistry))
	first, second := u.startReady(), u.startReady()
	expectRequests(t, oldRequests, "either process", time.Now())
	u.setRegistry(oldRegistry, newRegistry)
	first.cmd.Process.Signal(syscall.SIGHUP)
	ordered := time.Now()
	expectRequests(t, newRequests, "either process", ordered)
	first.stop()
	first.awaitExit()
	newRequests.Store(0)
	expectRequests(t, newRequests, "the second process", ordered.Add(exitTimeout(reloadBound)))
	second.stop()
	second.awaitExit()
	newRequests.Store(0)
	oldRequests.Store(0)
	u.startReady()
	expectRequests(t, newRequests, "the third process", time.Now())
	if n := oldRequests.Load(); n > 0 {
		t.Errorf("the third process sent %d requests to the old registry", n)
	}
}
