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

// drawnClass is a class of a drawn deployment.
type drawnClass struct {
	name, effect, group string
	window              time.Duration
}

// refusable tells whether a request of the class may be refused though an attempt of it may have run.
func (k *drawnClass) refusable() bool {
	return k.effect == "safe" || k.effect == "keyed" && k.group == "all"
}

// drawn is a deployment whose settings come from a seed, with real backends that answer as the seed says.
type drawn struct {
	t       *testing.T
	classes []drawnClass
	zones   []string
	most    int // attempts
	copies  bool

	mu       sync.Mutex
	rng      *rand.Rand
	arrivals map[string][]arrived // attempts that have come whole, by trace id
}

// arrived is an attempt at a backend.
type arrived struct {
	zone, cell int
	mayHaveRun bool
}

// Windows of a keyed class, chosen so that no test depends on how long things take: within the one every repeat in the
// group is lawful, within the other none is, since a connection may take longer to come up.
const (
	wideWindow   = time.Minute
	narrowWindow = 100 * time.Millisecond
	drawnConnect = 250 * time.Millisecond
)

func drawDeployment(t *testing.T, seed uint64) *drawn {
	d := &drawn{t: t, rng: rand.New(rand.NewPCG(seed, 9)), arrivals: map[string][]arrived{}}
	for i, k := range []drawnClass{{effect: "safe"}, {effect: "unsafe"}, {effect: "keyed", group: "all"}, {effect: "keyed", group: "zone"},
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
	d.most, d.copies = 1+int(seed)%5, seed%2 == 0
	return d
}

// config is the deployment's file in the platform's form.
func (d *drawn) config(discovery string, backends []string) string {
	var classes, known []string
	for _, k := range d.classes {
		aim := 100 + d.rng.IntN(600)
		classes = append(classes, fmt.Sprintf(`{"name":%q,"repeat":%q,"group":%q,"dedup_window_us":%d,"aim_us":%d,"deadline_us":%d,
			"importance":%d,"late_worth":0.2}`, k.name, k.effect, cmp.Or(k.group, "all"), k.window.Microseconds(), aim*1000,
			(aim+500+d.rng.IntN(1500))*1000, 1+d.rng.IntN(9)))
	}
	for i, addr := range backends {
		known = append(known, fmt.Sprintf(`{"instanceId":"s-%d","hostPort":%q,"zone":%q,"machineType":"m","cell":%d,"lifecycle":"up",
			"weight":1,"startedAtMs":0}`, i, addr, d.zones[i%len(d.zones)], i%4))
	}
	return fmt.Sprintf(`{"seed":"%x","limits":{"cores":1,"memory_mb":192,"sockets":400},"discovery":%q,
		"known":{"generation":1,"reset":true,"instances":[%s]},"settings":{"balancers":2,"ordinal":0,"period_us":0,"zone":%d,
		"zones":["%s"],"machine_types":["m"],"discovery":"subscribe","weights":"rough","tenants":[],"ceilings":{"cancelling":true,
		"connect_timeout_us":%d,"idle_close_us":%d,"max_attempts":%d,"max_retry_after_us":1000000,"may_duplicate":%v,"probing":%v,
		"retry_after":true},"report":{"columns":[],"via":"silent"},"safety":{"answer_slack_us":20000,"ask_within_us":10000000,
		"drain_grace_us":500000,"fall_multiple":3,"start_capacity":0.3,"tip_after_us":1000000,"warm_after_us":9000000},
		"classes":[%s]}}`, d.rng.Uint64(), discovery, strings.Join(known, ","), d.rng.IntN(len(d.zones)), strings.Join(d.zones, `","`),
		drawnConnect.Microseconds(), (1+d.rng.IntN(20))*1_000_000, d.most, d.copies, d.rng.IntN(2) == 0, strings.Join(classes, ","))
}

// backend answers requests with their own id and body, or fails them as the seed says, and notes each one.
func (d *drawn) backend(i int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Trace-Id")
		body, err := io.ReadAll(r.Body)
		if err != nil || id == "" { // never whole, or a probe
			return
		}
		d.mu.Lock()
		chance := d.rng.IntN(100)
		d.arrivals[id] = append(d.arrivals[id], arrived{zone: i % len(d.zones), cell: i % 4, mayHaveRun: chance >= 20})
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
			<-r.Context().Done() // hangs until it is given up
		default:
			fmt.Fprintf(w, "%s %s %s", id, r.URL.Path, body)
		}
	}
}

// client sends requests one after another, on one connection for as long as that lasts, and judges the answers.
func (d *drawn) client(addr string, name int, rng *rand.Rand) {
	var conn net.Conn
	var r *bufio.Reader
	for n := range 30 {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", addr); err != nil {
				d.t.Error(err)
				return
			}
			conn.SetDeadline(time.Now().Add(patience))
			r = bufio.NewReader(conn)
		}
		k := &d.classes[rng.IntN(len(d.classes))]
		id, body := fmt.Sprintf("%d-%d-%x", name, n, rng.Uint64()), ""
		head := "POST"
		if k.effect == "safe" {
			head = "GET"
		} else {
			body = filler(rng.IntN(3000), rng.IntN(1000))
		}
		path := fmt.Sprintf("/%s/%d", k.name, rng.IntN(1000))
		head += " " + path + " HTTP/1.1\r\nHost: h\r\nX-Trace-Id: " + id + "\r\nX-Expires-In: " + fmt.Sprint(400+rng.IntN(1200)) + "m\r\n"
		if k.effect == "keyed" {
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
			d.t.Errorf("%s: %v, another answer than its own: %.80q", id, err, got)
		}
		d.judge(id, k, answer.StatusCode)
		if answer.Close {
			conn.Close()
			conn = nil
		}
	}
	conn.Close()
}

// judge holds what the backends saw of a request against the rules. All of it has come: no attempt outlives the answer.
func (d *drawn) judge(id string, k *drawnClass, status int) {
	d.mu.Lock()
	tries := d.arrivals[id]
	d.mu.Unlock()
	ran := -1 // the first that may have run
	for i, try := range tries {
		if ran >= 0 && !d.lawful(k, tries[ran], try) {
			d.t.Errorf("%s of %+v: attempt %d has an effect twice: %+v", id, *k, i, tries)
		}
		if ran < 0 && try.mayHaveRun {
			ran = i
		}
	}
	if status == 503 && ran >= 0 && !k.refusable() {
		d.t.Errorf("%s of %+v: refused though it may have run: %+v", id, *k, tries)
	}
	if len(tries) > d.most {
		d.t.Errorf("%s: %d attempts, %d are allowed", id, len(tries), d.most)
	}
}

// lawful tells whether an attempt may follow one that may have run.
func (d *drawn) lawful(k *drawnClass, first, next arrived) bool {
	switch {
	case k.effect == "safe":
		return true
	case k.effect == "unsafe" || k.window < drawnConnect:
		return false
	case k.group == "zone":
		return first.zone == next.zone
	case k.group == "cell":
		return first.cell == next.cell
	}
	return true
}

// Whole sidecars under drawn settings: nothing unsafe runs twice, a keyed request is repeated within its window and group
// alone, refusals are lawful, and every client gets the answer to its own request.
func TestDrawnDeployments(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { t.Parallel(); drawDeployment(t, seed).play(seed) })
	}
}

func (d *drawn) play(seed uint64) {
	t := d.t
	var backends []string
	for i := range 12 {
		s := httptest.NewServer(d.backend(i))
		t.Cleanup(s.Close)
		backends = append(backends, s.Listener.Addr().String())
	}
	discovery := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })) // no news
	t.Cleanup(discovery.Close)
	c := &Config{Path: "drawn.json", Listen: "127.0.0.1:0", Registry: discovery.Listener.Addr().String()}
	if _, err := c.parse([]byte(d.config(c.Registry, backends))); err != nil {
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
		clients.Go(func() { d.client(sidecar.Addr().String(), name, rand.New(rand.NewPCG(seed, uint64(name)))) })
	}
	clients.Wait()
	signals <- syscall.SIGTERM
	<-exited
	repeated := 0
	for _, tries := range d.arrivals {
		repeated += min(len(tries)-1, 1)
	}
	if d.most > 1 && repeated == 0 {
		t.Error("no request was sent twice: the rules were not put to the test")
	}
}
