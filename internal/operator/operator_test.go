package operator

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestParse(t *testing.T) {
	for line, want := range map[string]string{
		"READY":        "1 ",
		"STATS":        "2 ",
		"DISABLE s-1":  "3 s-1",
		"ENABLE\ts-1 ": "4 s-1",
		"DRAIN":        "5 ",
		"UNDRAIN":      "6 ",
		"":             "no command",
		"ready":        "unknown command",
		"DISABLE":      "id of a worker is missing",
		"DISABLE a b":  "too many words",
		"READY now":    "too many words",
		"REBOOT s-1":   "unknown command",

		"DISABLE-HALL hall-a": "7 hall-a",
		"ENABLE-HALL hall-a":  "8 hall-a",
		"DISABLE-HALL":        "id of a hall is missing",
	} {
		c, err := Parse(line)
		got := string(rune('0'+c.Verb)) + " " + c.ID
		if err != nil {
			got = err.Error()
		}
		if !strings.Contains(got, want) {
			t.Errorf("%q: %q, want %q", line, got, want)
		}
	}
}

// fakeHandler records the commands that the admin listener passes on.
type fakeHandler struct {
	mu       sync.Mutex
	ready    bool
	disabled map[string]bool
	drained  bool
}

func (h *fakeHandler) Ready() bool   { h.mu.Lock(); defer h.mu.Unlock(); return h.ready }
func (h *fakeHandler) Stats() []byte { return []byte(`{"inflight":0}`) }
func (h *fakeHandler) ApplyMaintenance(c Command) (string, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case c.ID == "never":
		return "", errors.New("no such worker has been listed")
	case c.Verb == Disable || c.Verb == DisableZone:
		h.disabled[c.ID] = true
	default:
		delete(h.disabled, c.ID)
	}
	if c.ID == "shared" {
		return "everywhere", nil
	}
	return "", nil
}
func (h *fakeHandler) Drain() error   { return h.setDrained(true) }
func (h *fakeHandler) Undrain() error { return h.setDrained(false) }

func (h *fakeHandler) setDrained(drained bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drained = drained
	return nil
}

func startListener(t *testing.T) (string, *fakeHandler) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &fakeHandler{disabled: map[string]bool{}}
	d := &Listener{Handler: h, Log: slog.New(slog.DiscardHandler)}
	done := make(chan struct{})
	go func() { defer close(done); d.Serve(ln) }()
	t.Cleanup(func() { ln.Close(); <-done })
	return ln.Addr().String(), h
}

func sendLine(t *testing.T, addr, line string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, line)
	b, _ := io.ReadAll(c)
	return string(b)
}

// Checks the response to each command and the handler's state afterwards. Repeated commands have no further effect.
func TestListenerSession(t *testing.T) {
	addr, h := startListener(t)
	steps := []struct{ line, want string }{
		{"READY\n", "NAK not ready\n"},
		{"DISABLE s-1\n", "ACK disabled s-1\n"},
		{"DISABLE s-1\r\n", "ACK disabled s-1\n"},
		{"DISABLE never\n", "NAK no such worker has been listed\n"},
		{"ENABLE s-1\n", "ACK enabled s-1\n"},
		{"DRAIN\n", "ACK draining\n"},
		{"STATS\n", "{\"inflight\":0}\n--\n"},
		{"FLY\n", "NAK unknown command \"FLY\"\n"},
		{strings.Repeat("A", 300) + "\n", "NAK line longer than 256 bytes\n"},
		{"UNDRAIN\n", "ACK serving\n"},
	}
	var got, want []string
	for _, s := range steps {
		got, want = append(got, sendLine(t, addr, s.line)), append(want, s.want)
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	if len(h.disabled) != 0 || h.drained {
		t.Errorf("after the session: disabled %v, drained %v", h.disabled, h.drained)
	}
}

// Connections that send no whole line are closed at their deadline, and many of them must not lock an operator out.
func TestListenerSilentConnections(t *testing.T) {
	addr, h := startListener(t)
	h.ready = true
	var silent []net.Conn
	for range 3 * MaxConns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, "REA") // an incomplete line
		silent = append(silent, c)
	}
	defer func() {
		for _, c := range silent {
			c.Close()
		}
	}()
	if got := sendLine(t, addr, "READY\n"); got != "ACK ready\n" {
		t.Fatalf("READY with %d silent connections open: %q", len(silent), got)
	}
	// The listener closes the last silent connection after its deadline at the latest.
	last := silent[len(silent)-1]
	last.SetReadDeadline(time.Now().Add(10 * LineTimeout))
	if _, err := bufio.NewReader(last).ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("an incomplete line got a response or its connection stayed open: %v", err)
	}
}
