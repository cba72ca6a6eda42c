package program

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Guards against a new process that counts as ready, so that the old one is ended, while it cannot read what the sidecar was
// ordered.
func TestNotReadyWithoutOrders(t *testing.T) {
	t.Parallel()
	u := newUpgradedSidecar(t, "127.0.0.1:1,127.0.0.1:2")
	first := u.startReady()
	first.order("DISABLE s0")
	first.stop()
	first.awaitExit() // else it would restore the file
	path := filepath.Join(u.stateDir, "burlpass-n1.maintenance")
	if err := os.Rename(path, path+".kept"); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(path, 0o700); err != nil { // a read of it fails
		t.Fatal(err)
	}
	second := u.start()
	for {
		if _, err := second.workersDown(); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if reply, err := second.send("READY"); err != nil || reply != "NAK not ready" {
		t.Errorf("READY without the orders: %q, %v", reply, err)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".kept", path); err != nil {
		t.Fatal(err)
	}
	second.awaitReady()
	second.expectDown(1, time.Now())
}

// Guards against orders in force that the next process would not find: a file that something else has removed is written
// again.
func TestRemovedOrdersAreRestored(t *testing.T) {
	t.Parallel()
	u := newUpgradedSidecar(t, "127.0.0.1:1,127.0.0.1:2")
	first := u.startReady()
	first.order("DISABLE s0")
	first.order("DISABLE-HALL hall-b")
	path := filepath.Join(u.stateDir, "burlpass-n1.maintenance")
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(waitLimit); ; time.Sleep(5 * time.Millisecond) {
		content, err := os.ReadFile(path)
		if err == nil {
			if err := diffError(`{"kind":"burlpass maintenance 1","out":["s0"],"halls":["hall-b"]}`+"\n", string(content)); err != nil {
				t.Error(err)
			}
			break
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
}
