package program

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"burlpass/internal/logging"
	"burlpass/internal/maintenance"
)

func testOrders(t *testing.T, stateDir string) *sharedOrders {
	t.Helper()
	s := &Sidecar{config: &Config{Name: "n1", StateDir: stateDir}, log: logging.Discard()}
	return s.loadOrders()
}

func disable(id string) func(*maintenance.Orders) error {
	return func(o *maintenance.Orders) error {
		o.Disabled.Disable(id)
		return nil
	}
}

// An order given while another process holds the lock for too long is refused in time and changes nothing.
func TestOrderBesideHeldLock(t *testing.T) {
	dir := t.TempDir()
	holder, other := testOrders(t, dir), testOrders(t, dir)
	held, release, done := make(chan struct{}), make(chan struct{}), make(chan error)
	go func() {
		done <- holder.change(context.Background(), func(o *maintenance.Orders) error {
			close(held)
			<-release
			o.Disabled.Disable("s0")
			return nil
		})
	}()
	<-held
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	start := time.Now()
	err := other.change(ctx, disable("s1"))
	if took := time.Since(start); !errors.Is(err, errNotSaved) || took > orderBound {
		t.Errorf("%v after %v", err, took)
	}
	close(release)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	other.readAndAdopt()
	if orders := other.current(); !orders.Disabled.Out("s0") || orders.Disabled.Out("s1") {
		t.Errorf("in force: %s", orders.Encode())
	}
}

// A file that is not valid, or empty, changes nothing at a process that has orders in force; the next order replaces it.
func TestInvalidOrdersFile(t *testing.T) {
	for name, content := range map[string]string{"empty": "", "truncated": `{"kind":"burlpass maint`, "other kind": `{"kind":"x","out":["s9"]}`} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			orders := testOrders(t, dir)
			if err := orders.change(t.Context(), disable("s0")); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(dir, "burlpass-n1.maintenance"), []byte(content), 0o600); err != nil {
				t.Fatal(err)
			}
			orders.readAndAdopt()
			if current := orders.current(); !current.Disabled.Out("s0") || current.Disabled.Out("s9") {
				t.Errorf("in force: %s", current.Encode())
			}
			if err := orders.change(t.Context(), disable("s1")); err != nil {
				t.Fatal(err)
			}
			if next := testOrders(t, dir).current(); !next.Disabled.Out("s0") || !next.Disabled.Out("s1") {
				t.Errorf("the next process has %s", next.Encode())
			}
		})
	}
}

// Every process reads the file several times within the grace on drains, whatever the settings.
func TestFollowInterval(t *testing.T) {
	for grace, want := range map[time.Duration]time.Duration{
		0: minFollowInterval, 40 * time.Millisecond: minFollowInterval, 400 * time.Millisecond: 100 * time.Millisecond, time.Hour: maxFollowInterval,
	} {
		if got := followInterval(grace); got != want {
			t.Errorf("grace %v: %v, want %v", grace, got, want)
		}
	}
}
