// Package reference holds balancers as users would write them otherwise, on net/http/httputil: round robin, least
// outstanding and power of two choices over all workers that the registry lists as up. They take the same EDGE_
// variables as burlpass, so that a day can be played with them and its report shows what the balancing is worth.
package reference

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Policies are the names that Run takes.
var policies = map[string]func(*balancer) *worker{
	"round-robin":       (*balancer).roundRobin,
	"least-outstanding": (*balancer).leastOutstanding,
	"two-choices":       (*balancer).twoChoices,
}

// Policies lists the names of the policies.
func Policies() []string { return []string{"round-robin", "least-outstanding", "two-choices"} }

type worker struct {
	id, addr string
	out      atomic.Int64
}

type balancer struct {
	mu      sync.Mutex
	workers []*worker
	up      map[string]string // address by instance
	version uint64
	next    atomic.Uint64
}

type instance struct {
	ID        string `json:"instanceId"`
	Addr      string `json:"hostPort"`
	Lifecycle string `json:"lifecycle"`
}

type list struct {
	Generation uint64     `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// learn takes in a list or its changes.
func (b *balancer) learn(l *list) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Reset {
		b.up = map[string]string{}
	}
	for _, i := range l.Instances {
		if i.Lifecycle == "up" {
			b.up[i.ID] = i.Addr
		} else {
			delete(b.up, i.ID)
		}
	}
	b.version = l.Generation
	old := map[string]*worker{}
	for _, w := range b.workers {
		old[w.id+" "+w.addr] = w
	}
	b.workers = nil
	for id, addr := range b.up {
		w := old[id+" "+addr]
		if w == nil {
			w = &worker{id: id, addr: addr}
		}
		b.workers = append(b.workers, w)
	}
}

func (b *balancer) all() []*worker {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.workers
}

func (b *balancer) roundRobin() *worker {
	all := b.all()
	if len(all) == 0 {
		return nil
	}
	return all[b.next.Add(1)%uint64(len(all))]
}

func (b *balancer) leastOutstanding() (best *worker) {
	all := b.all()
	for i, at := 0, rand.IntN(max(1, len(all))); i < len(all); i++ {
		if w := all[(at+i)%len(all)]; best == nil || w.out.Load() < best.out.Load() {
			best = w
		}
	}
	return best
}

func (b *balancer) twoChoices() *worker {
	all := b.all()
	if len(all) == 0 {
		return nil
	}
	x, y := all[rand.IntN(len(all))], all[rand.IntN(len(all))]
	if y.out.Load() < x.out.Load() {
		return y
	}
	return x
}

// Run serves with a policy until a signal of the channel.
func Run(policy string, getenv func(string) string, signals <-chan os.Signal) error {
	choose := policies[policy]
	if choose == nil {
		return fmt.Errorf("unknown policy %q; one of %s is expected", policy, strings.Join(Policies(), ", "))
	}
	text, err := os.ReadFile(getenv("EDGE_CONFIG"))
	if err != nil {
		return err
	}
	var file struct {
		Known *list `json:"known"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return err
	}
	if file.Known == nil {
		return errors.New("EDGE_CONFIG: no known list")
	}
	b := &balancer{up: map[string]string{}}
	b.learn(file.Known)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.watch(ctx, getenv("EDGE_DISCOVERY"))

	ln, err := net.Listen("tcp", getenv("EDGE_LISTEN"))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: b.handler(choose), IdleTimeout: 5 * time.Second, ReadHeaderTimeout: 3 * time.Second}
	go func() {
		for s := range signals {
			if s == syscall.SIGHUP {
				continue
			}
			server.SetKeepAlivesEnabled(false)
			time.Sleep(700 * time.Millisecond)
			server.Shutdown(ctx)
			return
		}
	}()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	time.Sleep(100 * time.Millisecond) // Shutdown returns after this; its last answers are out by then
	return nil
}

// watch follows the registry.
func (b *balancer) watch(ctx context.Context, registry string) {
	client := &http.Client{Timeout: 12 * time.Second}
	for ctx.Err() == nil {
		b.mu.Lock()
		since := b.version
		b.mu.Unlock()
		answer, err := client.Get(fmt.Sprintf("http://%s/catalog/members?since=%d&timeout_ms=10000", registry, since))
		if err == nil {
			var l list
			if answer.StatusCode == 200 {
				err = json.NewDecoder(answer.Body).Decode(&l)
			} else {
				err = errors.New(answer.Status)
			}
			answer.Body.Close()
			if err == nil {
				b.learn(&l)
			}
		}
		pause := 50 * time.Millisecond
		if err != nil {
			pause = 500 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

type chosen struct{}

func (b *balancer) handler(choose func(*balancer) *worker) http.Handler {
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			w := r.In.Context().Value(chosen{}).(*worker)
			r.SetURL(&url.URL{Scheme: "http", Host: w.addr})
			r.Out.URL.RawPath, r.Out.URL.RawQuery = r.In.URL.RawPath, r.In.URL.RawQuery
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 3500 * time.Millisecond,
			DialContext: (&net.Dialer{Timeout: 250 * time.Millisecond}).DialContext},
		ErrorHandler: func(w http.ResponseWriter, r *http.Request, err error) {
			status := http.StatusBadGateway
			if errors.Is(err, context.DeadlineExceeded) {
				status = http.StatusGatewayTimeout
			}
			w.WriteHeader(status)
		},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/_health" {
			return
		}
		to := choose(b)
		if to == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		ctx := context.WithValue(r.Context(), chosen{}, to)
		if us, err := strconv.ParseInt(strings.TrimSuffix(r.Header.Get("X-Expires-In"), "u"), 10, 64); err == nil {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, time.Duration(us)*time.Microsecond-5*time.Millisecond)
			defer cancel()
		}
		to.out.Add(1)
		defer to.out.Add(-1)
		proxy.ServeHTTP(w, r.WithContext(ctx))
	})
}
