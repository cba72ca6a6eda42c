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

// handler keeps what the door told it.
type handler struct {
	mu      sync.Mutex
	ready   bool
	out     map[string]bool
	drained bool
}

func (h *handler) Ready() bool   { h.mu.Lock(); defer h.mu.Unlock(); return h.ready }
func (h *handler) Stats() []byte { return []byte(`{"inflight":0}`) }
func (h *handler) Order(c Command) (string, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case c.ID == "never":
		return "", errors.New("no such worker has been listed")
	case c.Verb == Disable || c.Verb == DisableHall:
		h.out[c.ID] = true
	default:
		delete(h.out, c.ID)
	}
	if c.ID == "shared" {
		return "everywhere", nil
	}
	return "", nil
}
func (h *handler) Drain()   { h.mu.Lock(); defer h.mu.Unlock(); h.drained = true }
func (h *handler) Undrain() { h.mu.Lock(); defer h.mu.Unlock(); h.drained = false }

func start(t *testing.T) (string, *handler) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &handler{out: map[string]bool{}}
	d := &Listener{Handler: h, Log: slog.New(slog.DiscardHandler)}
	done := make(chan struct{})
	go func() { defer close(done); d.Serve(ln) }()
	t.Cleanup(func() { ln.Close(); <-done })
	return ln.Addr().String(), h
}

func ask(t *testing.T, addr, line string) string {
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

// A session at the door: each line's answer, and what the state is after it. Repeated calls change nothing more.
func TestDoorSession(t *testing.T) {
	addr, h := start(t)
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
		got, want = append(got, ask(t, addr, s.line)), append(want, s.want)
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	if len(h.out) != 0 || h.drained {
		t.Errorf("after the session: out %v, drained %v", h.out, h.drained)
	}
}

// Silent callers and half lines are closed at their deadline, and a crowd of them never keeps an operator out.
func TestDoorSilentCrowd(t *testing.T) {
	addr, h := start(t)
	h.ready = true
	var silent []net.Conn
	for range 3 * MaxConns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, "REA") // half a line
		silent = append(silent, c)
	}
	defer func() {
		for _, c := range silent {
			c.Close()
		}
	}()
	if got := ask(t, addr, "READY\n"); got != "ACK ready\n" {
		t.Fatalf("behind %d silent callers: %q", len(silent), got)
	}
	// The last of the silent ones is closed by the door, at the latest after its deadline.
	last := silent[len(silent)-1]
	last.SetReadDeadline(time.Now().Add(10 * LineTime))
	if _, err := bufio.NewReader(last).ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("a half line was answered or kept: %v", err)
	}
}
