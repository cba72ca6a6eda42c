package routing

import (
	"cmp"
	"context"
	"io"
	"net"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"burlpass/decide"
	"burlpass/internal/logging"
	"burlpass/internal/maintenance"
	"burlpass/internal/protocol"
	"burlpass/internal/transport"
)

// timed is a message that says how much time it is told to have, in microseconds.
type timed struct{ plain }

func (timed) Encode(_ string, remaining time.Duration) [][]byte {
	return [][]byte{[]byte("GET /x HTTP/1.1\r\nX-Expires-In: " + strconv.FormatInt(remaining.Microseconds(), 10) + "u\r\n\r\n")}
}

// town is a router beside three backends, of which the list names one. The test opens the connections to the first.
type town struct {
	*Router
	*gate
	accepted [3]chan net.Conn
	addrs    [3]string
	left     chan struct{} // closed by a client that leaves
	answers  chan protocol.Answer
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newTown(t *testing.T, class decide.Class, listed int, adjust ...func(*Config)) *town {
	w := &town{gate: &gate{closed: map[string]chan struct{}{}, dials: make(chan string, 8)},
		left: make(chan struct{}), answers: make(chan protocol.Answer, 1)}
	for i := range w.accepted {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		w.accepted[i], w.addrs[i] = make(chan net.Conn, 4), ln.Addr().String()
		go func() {
			for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
				t.Cleanup(func() { c.Close() })
				w.accepted[i] <- c
			}
		}()
	}
	class.Aim, class.Deadline, class.Worth = cmp.Or(class.Aim, time.Minute), time.Minute, 1
	c := Config{Decide: decide.Config{Subscribe: true, Classes: []decide.Class{class},
		Safety: decide.Safety{FallMultiple: 3, TipAfter: time.Second, StartShare: 0.5},
		Limits: decide.Limits{MaxAttempts: 4}},
		Network: w.gate, Registry: "127.0.0.1:1", Log: logging.Discard(), Names: Names{Zones: []string{"hall"}},
		Workers: &protocol.Workers{Pool: transport.NewPool(w.gate, transport.NewBudget(9), time.Minute, time.Minute)}}
	for _, f := range adjust { // before the router's goroutines read it
		f(&c)
	}
	w.Router = New(t.Context(), c, w.list(1, w.instance(listed)))
	return w
}

func (w *town) instance(i int) protocol.Instance {
	return protocol.Instance{ID: strconv.Itoa(i), Addr: w.addrs[i], Zone: "hall", Lifecycle: protocol.Up}
}

func (w *town) list(generation uint64, i ...protocol.Instance) *protocol.List {
	return &protocol.List{Generation: generation, Reset: true, Instances: i}
}

// shut makes further connections to the first backend wait until the returned function is called.
func (w *town) shut() (open func()) {
	c := make(chan struct{})
	w.gate.mu.Lock()
	w.closed[w.addrs[0]] = c
	w.gate.mu.Unlock()
	return func() { close(c) }
}

func (w *town) serve() {
	go func() {
		w.answers <- w.Serve(&protocol.Call{Budget: 30 * time.Second, Message: timed{}, Left: w.left})
	}()
}

// untouched expects a connection to end with no byte on it.
func untouched(t *testing.T, c net.Conn) {
	t.Helper()
	b := make([]byte, 512)
	if n, _ := c.Read(b); n > 0 {
		t.Errorf("the backend got %q", b[:n])
	}
}

// begin returns a town with a request whose attempt, its first or a further one, waits for a connection to the first
// backend until open is called. The answer of the attempt before a further one is first, and its connection's end.
func begin(t *testing.T, class decide.Class, retry bool, first string) (w *town, open func()) {
	listed := 0
	if retry {
		listed = 2
	}
	w = newTown(t, class, listed)
	open = w.shut()
	w.serve()
	if retry {
		c := within(t, w.accepted[2])
		firstLine(c)
		w.learn(w.source, w.list(2, w.instance(0)), decide.ListFull)
		io.WriteString(c, first)
		c.Close()
	}
	for within(t, w.dials) != w.addrs[0] { // the others' connections, and discovery's, are opened too
	}
	return w, open
}

// What a sidecar is told while an attempt waits for its connection holds for that attempt, be it the request's first or
// a further one: no byte of it goes out, and the request goes to the backend that is listed now.
func TestToldBeforeTheFirstByte(t *testing.T) {
	both := func(w *town) {
		w.learn(w.source, w.list(10, w.instance(0), w.instance(1)), decide.ListFull)
	}
	for name, meanwhile := range map[string]func(w *town){
		"drained": func(w *town) {
			one := w.instance(0)
			one.Lifecycle = protocol.LifecycleDraining
			w.learn(w.source, w.list(10, one, w.instance(1)), decide.ListDelta)
		},
		"removed": func(w *town) {
			one := w.instance(0)
			one.Lifecycle = protocol.Removed
			w.learn(w.source, &protocol.List{Generation: 10, Instances: []protocol.Instance{one, w.instance(1)}}, decide.ListDelta)
		},
		"left out of a whole list": func(w *town) { w.learn(w.source, w.list(10, w.instance(1)), decide.ListFull) },
		"removed, and back": func(w *town) {
			w.learn(w.source, w.list(10, w.instance(1)), decide.ListFull)
			one := w.instance(0)
			one.StartedMs = time.Now().UnixMilli()
			w.learn(w.source, w.list(11, one, w.instance(1)), decide.ListFull)
			w.Disable("0") // so that the request goes to the other
		},
		"started anew": func(w *town) {
			one := w.instance(0)
			one.StartedMs = time.Now().UnixMilli()
			w.learn(w.source, w.list(10, one, w.instance(1)), decide.ListFull)
			w.Disable("0") // so that the request goes to the other
		},
		"at another address": func(w *town) {
			one := w.instance(0)
			one.Addr = "127.0.0.1:1"
			w.learn(w.source, w.list(10, one, w.instance(1)), decide.ListFull)
			w.Disable("0")
		},
		"disabled by hand": func(w *town) { both(w); w.Disable("0") },
		"disabled by orders": func(w *town) {
			both(w)
			var out maintenance.Set
			out.Disable("0")
			w.Maintain(out)
		},
	} {
		for when, retry := range map[string]bool{"first attempt": false, "further attempt": true} {
			t.Run(name+"/"+when, func(t *testing.T) {
				t.Parallel()
				w, open := begin(t, decide.Class{}, retry, "")
				meanwhile(w)
				open()
				untouched(t, within(t, w.accepted[0]))
				two := within(t, w.accepted[1])
				firstLine(two)
				io.WriteString(two, okAnswer)
				w.answered(t)
			})
		}
	}
}

// answered expects the request's answer to be a backend's.
func (w *town) answered(t *testing.T) {
	t.Helper()
	if a := within(t, w.answers); a.Verdict != protocol.Served {
		t.Errorf("got %+v", a)
	}
}

// A client that leaves while its attempt waits for a connection: nothing goes out.
func TestLeftBeforeTheFirstByte(t *testing.T) {
	w, open := begin(t, decide.Class{Effect: decide.Unsafe}, false, "")
	close(w.left)
	for !w.gone() {
		runtime.Gosched()
	}
	open()
	untouched(t, within(t, w.accepted[0]))
	within(t, w.answers)
}

// gone tells that all open requests know of their client's leaving.
func (w *town) gone() bool {
	w.Router.mu.Lock()
	defer w.Router.mu.Unlock()
	for _, t := range w.calls {
		if !t.gone.Load() {
			return false
		}
	}
	return true
}

// A choice holds for the process that was chosen: should another have been told of at its address before the attempt
// begins, neither the connection kept from the earlier process nor a new one carries it.
func TestToldBetweenChoiceAndAttempt(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w := newTown(t, decide.Class{}, 0)
	w.serve()
	kept := within(t, w.accepted[0])
	firstLine(kept)
	io.WriteString(kept, okAnswer)
	w.answered(t)

	request := &task{call: &protocol.Call{Budget: time.Minute, Message: timed{}, Left: ctx.Done()}}
	w.enter(request) // the module has chosen
	one := w.instance(0)
	one.StartedMs = time.Now().UnixMilli()
	w.learn(w.source, w.list(2, one), decide.ListFull)
	results := make(chan transport.Result, 1)
	d := w.startAttempt(request, <-request.orders, results)
	untouched(t, kept)
	untouched(t, within(t, w.accepted[0]))
	d.Abort() // changes nothing where it has ended
	if r := <-results; r.Sent {
		t.Errorf("got %+v", r)
	}
}

// An attempt tells its backend at most what is left to the client when its first byte goes out, however long its
// connection took to open.
func TestTimeToldAtTheFirstByte(t *testing.T) {
	const late = 50 * time.Millisecond
	for name, retry := range map[string]bool{"first attempt": false, "further attempt": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, open := begin(t, decide.Class{}, retry, "")
			entered := time.Now() // or after
			time.Sleep(late)      // is what the connection takes
			left := 30*time.Second - time.Since(entered)
			open()
			c := within(t, w.accepted[0])
			_, told, _ := strings.Cut(firstLine(c), "X-Expires-In: ")
			told, _, _ = strings.Cut(told, "\r\n")
			d, err := time.ParseDuration(told + "s")
			if err != nil || d > left {
				t.Errorf("told %v (%v), %v left", d, err, left)
			}
			io.WriteString(c, okAnswer)
			w.answered(t)
		})
	}
}

// The window in which a repeat is dropped counts from the first attempt that may have run, and a repeat that is still
// without its connection at the window's end does not go out. One before which nothing ran has no window.
func TestWindowAtTheFirstByte(t *testing.T) {
	const window = 100 * time.Millisecond
	for name, test := range map[string]struct {
		window time.Duration
		first  string // what the first attempt's backend answers
		goes   bool
	}{
		"over":        {window, "", false},
		"not over":    {time.Hour, "", true},
		"nothing ran": {window, "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, open := begin(t, decide.Class{Effect: decide.Keyed, Window: test.window, Aim: 6 * time.Second}, true, test.first)
			time.Sleep(window) // the window's end is the subject
			open()
			c := within(t, w.accepted[0])
			if !test.goes {
				untouched(t, c)
				if a := within(t, w.answers); a.Verdict != protocol.Refused { // the group is all: harmless
					t.Errorf("got %+v", a)
				}
				return
			}
			firstLine(c)
			io.WriteString(c, okAnswer)
			w.answered(t)
		})
	}
}

// An attempt that finds its request's time over when its connection is there does not go out.
func TestTimeOverAtTheFirstByte(t *testing.T) {
	w := newTown(t, decide.Class{}, 0)
	request := &task{call: &protocol.Call{Budget: time.Minute, Message: timed{}}}
	w.enter(request)
	request.end = time.Now()
	results := make(chan transport.Result, 1)
	d := w.startAttempt(request, <-request.orders, results)
	untouched(t, within(t, w.accepted[0]))
	d.Abort() // changes nothing where it has ended
	if r := <-results; r.Sent {
		t.Errorf("got %+v", r)
	}
}
