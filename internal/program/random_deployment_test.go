package program

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"burlpass/internal/logging"
	"burlpass/internal/transport"
)

// randomClass is a call class of a random deployment.
type randomClass struct {
	name, effect, group string
	window              time.Duration
}

// mayBeRefusedAfterRunning reports whether a call of the class may be refused although an attempt may have run.
func (k *randomClass) mayBeRefusedAfterRunning() bool {
	return k.effect == "safe" || k.effect == "keyed" && k.group == "all"
}

// randomDeployment is a deployment with random settings and real workers that answer or fail at random, all from one seed.
type randomDeployment struct {
	t            *testing.T
	classes      []randomClass
	zones        []string
	maxAttempts  int // attempts
	secondCopies bool

	mu       sync.Mutex
	rng      *rand.Rand
	attempts map[string][]receivedAttempt // attempts received completely, by trace ID
}

// receivedAttempt is an attempt that reached a worker.
type receivedAttempt struct {
	zone, cell int
	mayHaveRun bool
}

// Deduplication windows of a keyed class that make the tests independent of timing: within the wide one every repeat in the
// group is allowed; within the narrow one none is, since connecting may take longer.
const (
	wideWindow           = time.Minute
	narrowWindow         = 100 * time.Millisecond
	randomConnectTimeout = 250 * time.Millisecond
)

func newRandomDeployment(t *testing.T, seed uint64) *randomDeployment {
	d := &randomDeployment{t: t, rng: rand.New(rand.NewPCG(seed, 9)), attempts: map[string][]receivedAttempt{}}
	for i, k := range []randomClass{{effect: "safe"}, {effect: "unsafe"}, {effect: "keyed", group: "all"}, {effect: "keyed", group: "zone"},
		{effect: "keyed", group: "cell"}} {
		k.name = fmt.Sprintf("c%d-%x", i, d.rng.Uint32())
		if k.window = narrowWindow; d.rng.IntN(4) > 0 {
			k.window = wideWindow
		}
		d.classes = append(d.classes, k)
	}
	d.rng.Shuffle(len(d.classes), func(i, j int) { d.classes[i], d.classes[j] = d.classes[j], d.classes[i] })
	for i := range 1 + d.rng.IntN(3) {
		d.zones = append(d.zones, fmt.Sprintf("z%d-%x", i, d.rng.Uint32()))
	}
	d.maxAttempts, d.secondCopies = 1+int(seed)%5, seed%2 == 0
	return d
}

// config returns the deployment's configuration in the platform's JSON.
func (d *randomDeployment) config(registry string, workers []string) string {
	var classes, known []string
	for _, k := range d.classes {
		aim := 100 + d.rng.IntN(600)
		classes = append(classes, fmt.Sprintf(`{"name":%q,"repeat":%q,"group":%q,"dedup_window_us":%d,"aim_us":%d,"deadline_us":%d,
			"importance":%d,"late_worth":0.2}`, k.name, k.effect, cmp.Or(k.group, "all"), k.window.Microseconds(), aim*1000,
			(aim+500+d.rng.IntN(1500))*1000, 1+d.rng.IntN(9)))
	}
	for i, addr := range workers {
		known = append(known, fmt.Sprintf(`{"instanceId":"s-%d","hostPort":%q,"zone":%q,"machineType":"m","cell":%d,"lifecycle":"up",
			"weight":1,"startedAtMs":0}`, i, addr, d.zones[i%len(d.zones)], i%4))
	}
	return fmt.Sprintf(`{"seed":"%x","limits":{"cores":1,"memory_mb":192,"sockets":400},"discovery":%q,
		"known":{"generation":1,"reset":true,"instances":[%s]},"settings":{"balancers":2,"ordinal":0,"period_us":0,"zone":%d,
		"zones":["%s"],"machine_types":["m"],"discovery":"subscribe","weights":"rough","tenants":[],"ceilings":{"cancelling":true,
		"connect_timeout_us":%d,"idle_close_us":%d,"max_attempts":%d,"max_retry_after_us":1000000,"may_duplicate":%v,"probing":%v,
		"retry_after":true},"report":{"columns":[],"via":"silent"},"safety":{"answer_slack_us":20000,"ask_within_us":10000000,
		"drain_grace_us":500000,"fall_multiple":3,"start_capacity":0.3,"tip_after_us":1000000,"warm_after_us":9000000},
		"classes":[%s]}}`, d.rng.Uint64(), registry, strings.Join(known, ","), d.rng.IntN(len(d.zones)), strings.Join(d.zones, `","`),
		randomConnectTimeout.Microseconds(), (1+d.rng.IntN(20))*1_000_000, d.maxAttempts, d.secondCopies, d.rng.IntN(2) == 0, strings.Join(classes, ","))
}

// worker answers calls with their own ID and body or fails them, by the random numbers, and records each one.
func (d *randomDeployment) worker(i int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Trace-Id")
		body, err := io.ReadAll(r.Body)
		if err != nil || id == "" { // an incomplete request, or a probe
			return
		}
		d.mu.Lock()
		chance := d.rng.IntN(100)
		d.attempts[id] = append(d.attempts[id], receivedAttempt{zone: i % len(d.zones), cell: i % 4, mayHaveRun: chance >= 20})
		d.mu.Unlock()
		switch {
		case chance < 20:
			w.Header().Set("X-Never-Ran", "1")
			w.WriteHeader(503)
		case chance < 35:
			w.WriteHeader(500)
		case chance < 45:
			panic(http.ErrAbortHandler) // resets the connection
		case chance < 48:
			<-r.Context().Done() // hangs until the sidecar cancels the attempt
		default:
			fmt.Fprintf(w, "%s %s %s", id, r.URL.Path, body)
		}
	}
}

// runClient makes calls one after another, reusing its connection while it stays open, and checks the responses.
func (d *randomDeployment) runClient(addr string, name int, rng *rand.Rand) {
	var conn net.Conn
	var r *bufio.Reader
	for n := range 30 {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", addr); err != nil {
				d.t.Error(err)
				return
			}
			conn.SetDeadline(time.Now().Add(scenarioTimeout))
			r = bufio.NewReader(conn)
		}
		class := &d.classes[rng.IntN(len(d.classes))]
		id, body := fmt.Sprintf("%d-%d-%x", name, n, rng.Uint64()), ""
		head := "POST"
		if class.effect == "safe" {
			head = "GET"
		} else {
			body = filler(rng.IntN(3000), rng.IntN(1000))
		}
		path := fmt.Sprintf("/%s/%d", class.name, rng.IntN(1000))
		head += " " + path + " HTTP/1.1\r\nHost: h\r\nX-Trace-Id: " + id + "\r\nX-Expires-In: " + fmt.Sprint(400+rng.IntN(1200)) + "m\r\n"
		if class.effect == "keyed" {
			head += "Idempotency-Key: " + id + "\r\n"
		}
		fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		answer, err := http.ReadResponse(r, nil)
		if err != nil {
			d.t.Errorf("%s: %v", id, err)
			return
		}
		got, err := io.ReadAll(answer.Body)
		if want := id + " " + path + " " + body; err != nil || answer.StatusCode == 200 && string(got) != want {
			d.t.Errorf("%s: %v, not its own response: %.80q", id, err, got)
		}
		d.checkAttempts(id, class, answer.StatusCode)
		if answer.Close {
			conn.Close()
			conn = nil
		}
	}
	conn.Close()
}

// checkAttempts checks the attempts of an answered call against the rules. All of them have arrived, since no attempt outlives
// the response.
func (d *randomDeployment) checkAttempts(id string, class *randomClass, status int) {
	d.mu.Lock()
	attempts := d.attempts[id]
	d.mu.Unlock()
	firstMayHaveRun := -1 // index of the first attempt that may have run
	for i, attempt := range attempts {
		if firstMayHaveRun >= 0 && !d.mayFollow(class, attempts[firstMayHaveRun], attempt) {
			d.t.Errorf("%s of %+v: attempt %d repeats an effect: %+v", id, *class, i, attempts)
		}
		if firstMayHaveRun < 0 && attempt.mayHaveRun {
			firstMayHaveRun = i
		}
	}
	if status == 503 && firstMayHaveRun >= 0 && !class.mayBeRefusedAfterRunning() {
		d.t.Errorf("%s of %+v: refused though it may have run: %+v", id, *class, attempts)
	}
	if len(attempts) > d.maxAttempts {
		d.t.Errorf("%s: %d attempts, at most %d allowed", id, len(attempts), d.maxAttempts)
	}
}

// mayFollow reports whether attempt next may follow attempt first, which may have run.
func (d *randomDeployment) mayFollow(class *randomClass, first, next receivedAttempt) bool {
	switch {
	case class.effect == "safe":
		return true
	case class.effect == "unsafe" || class.window < randomConnectTimeout:
		return false
	case class.group == "zone":
		return first.zone == next.zone
	case class.group == "cell":
		return first.cell == next.cell
	}
	return true
}

// Runs whole sidecars with random settings: no unsafe call runs twice, keyed calls are repeated only within their window and
// group, only calls that may be refused are, and every client gets the response to its own call.
func TestRandomDeployments(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { t.Parallel(); newRandomDeployment(t, seed).run(seed) })
	}
}

func (d *randomDeployment) run(seed uint64) {
	t := d.t
	var workers []string
	for i := range 12 {
		s := httptest.NewServer(d.worker(i))
		t.Cleanup(s.Close)
		workers = append(workers, s.Listener.Addr().String())
	}
	registry := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })) // never reports a change
	t.Cleanup(registry.Close)
	c := &Config{Path: "random.json", Listen: "127.0.0.1:0", Registry: registry.Listener.Addr().String()}
	if _, err := c.parseJSON([]byte(d.config(c.Registry, workers))); err != nil {
		t.Fatal(err)
	}
	sidecar, err := New(transport.System{}, c, logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	signals, exited := make(chan os.Signal, 1), make(chan struct{})
	go func() { defer close(exited); sidecar.Run(signals) }()
	var clients sync.WaitGroup
	for name := range 6 {
		clients.Go(func() { d.runClient(sidecar.Addr().String(), name, rand.New(rand.NewPCG(seed, uint64(name)))) })
	}
	clients.Wait()
	signals <- syscall.SIGTERM
	<-exited
	repeatedCalls := 0
	for _, attempts := range d.attempts {
		repeatedCalls += min(len(attempts)-1, 1)
	}
	if d.maxAttempts > 1 && repeatedCalls == 0 {
		t.Error("no call was attempted twice, so the rules were not tested")
	}
}
