package hard

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"burlpass/internal/cluster/api"
	"burlpass/internal/cluster/observer"
	"burlpass/internal/clustertest/run"
	"burlpass/internal/record"
)

// wakesLate stops an observer for a time in which so much is written that its source no longer has the entries. What it shows
// when it wakes is old and says so; then it catches up.
func wakesLate(late time.Duration) func(s *Scene) {
	return func(s *Scene) {
		sleeper, other := s.Observers()[0], s.Observers()[1]
		before := s.put("before")
		s.shows(before.Version, sleeper, other)
		began := time.Now()
		s.Stop(sleeper)
		s.must(s.Fill(200, append(s.Voters(), other)...))
		s.shows(s.put("while-it-slept").Version, other)
		time.Sleep(time.Until(began.Add(late)))
		newest := s.put("just-before-it-wakes")
		s.Continue(sleeper)
		woke := time.Now()
		for first := true; ; first = false {
			r, ok := s.Read(sleeper, false)
			slept := time.Since(began).Milliseconds()
			switch {
			case !ok && time.Since(woke) < soon:
				continue
			case !ok:
				s.t.Fatalf("%s shows nothing", sleeper)
			case r.Version < before.Version:
				s.t.Fatalf("%s shows version %d, and has shown %d", sleeper, r.Version, before.Version)
			case first:
				s.Note("the first answer is version %d, age %d ms, after a sleep of %d ms", r.Version, r.AgeMs, slept)
			}
			if r.Version >= newest.Version {
				break
			}
			// Its state was the newest when it fell asleep at the latest, but for what it had not heard by then.
			if r.Version <= before.Version && r.AgeMs < late.Milliseconds()-1000 {
				s.t.Fatalf("%s slept for %d ms and shows version %d with an age of %d ms", sleeper, slept, r.Version, r.AgeMs)
			}
			if time.Since(woke) > soon {
				s.t.Fatalf("%s is at version %d, and %d was acknowledged", sleeper, r.Version, newest.Version)
			}
		}
	}
}

// comeBack has observers that live in this process come at once with nothing, lose everybody at once, and come back at once.
func comeBack(n int) func(s *Scene) {
	return func(s *Scene) {
		s.must(s.Fill(100))
		leader := s.leader()
		g := &gate{conns: map[net.Conn]bool{}}
		all := make([]*light, n)
		began := time.Now()
		for i := range all {
			all[i] = s.light(fmt.Sprint("l", i), g)
		}
		s.all(all, s.put("first").Version, leader, "a first state", began)
		g.set(true)
		s.must(s.Fill(300))
		cut := s.put("cut")
		for _, l := range all {
			if l.at() >= cut.Version {
				s.t.Errorf("%s has heard of version %d though it was cut off", l.name, cut.Version)
			}
		}
		began = time.Now()
		g.set(false)
		s.all(all, cut.Version, leader, "back after a cut", began)
		var ends sync.WaitGroup
		for _, l := range all {
			ends.Go(l.close)
		}
		ends.Wait()
	}
}

// light is an observer in this process, with an address at which others can follow it.
type light struct {
	name   string
	o      *observer.Observer
	server *http.Server
	via    *http.Transport
	done   chan struct{}
}

func (s *Scene) light(name string, g *gate) *light {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	s.must(err)
	l := &light{name: name, via: &http.Transport{DialContext: g.dial, MaxIdleConnsPerHost: 2}, done: make(chan struct{})}
	c := observer.Config{Cluster: "plant", Name: name, Addr: ln.Addr().String(), Via: l.via, Bounds: record.DefaultBounds(),
		Domains: []record.Domain{record.Orders()}}
	for _, v := range s.Voters() {
		c.Sources = append(c.Sources, observer.Source{Name: v, Addr: s.Addr(v)})
	}
	l.o, err = observer.Open(context.Background(), c)
	s.must(err)
	l.server = api.NewServer(api.Handler(l.o, api.Options{}))
	go func() {
		defer close(l.done)
		_ = l.server.Serve(ln)
	}()
	s.t.Cleanup(l.close)
	return l
}

func (l *light) at() uint64 { return l.o.Status().Version }

func (l *light) close() {
	_ = l.o.Close()
	_ = l.server.Close()
	<-l.done
	l.via.CloseIdleConnections()
}

// all waits until all show a version, records what each shows meanwhile, and looks at the leader's followers.
func (s *Scene) all(list []*light, version uint64, leader, what string, began time.Time) {
	s.t.Helper()
	most := 0
	s.until(fmt.Sprint(len(list), " observers: ", what), joins, func() bool {
		most = max(most, s.followers(leader))
		behind := 0
		for _, l := range list {
			s.Record(l.name, func() (run.Status, bool) {
				st := l.o.Status()
				return run.Status{Version: st.Version, Hash: st.Hash, AgeMs: st.AgeMs}, st.AgeMs >= 0
			})
			if l.at() < version {
				behind++
			}
		}
		return behind == 0
	})
	s.Note("%d observers: %s, all at version %d after %v; the leader had at most %d followers", len(list), what, version, time.Since(began), most)
	s.t.Logf("%d observers: %s after %v; the leader had at most %d followers", len(list), what, time.Since(began).Round(time.Millisecond), most)
	if most > api.DefaultFollowers {
		s.t.Errorf("the leader has %d followers", most)
	}
}

// followers reads a member's figure.
func (s *Scene) followers(member string) int {
	ctx, cancel := context.WithTimeout(context.Background(), soon)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Addr(member)+"/metrics", nil)
	s.must(err)
	resp, err := http.DefaultClient.Do(r)
	s.must(err)
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), "burlpass_cluster_followers "); ok {
			n, err := strconv.Atoi(text)
			s.must(err)
			return n
		}
	}
	s.t.Fatal("no figure of followers")
	return 0
}

// gate is what all connections of the observers in this process go through.
type gate struct {
	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func (g *gate) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut {
		return nil, cmp.Or(c.Close(), errors.New("cut"))
	}
	own := &gated{c, g}
	g.conns[own] = true
	return own, nil
}

// set cuts everything, or allows it again.
func (g *gate) set(cut bool) {
	g.mu.Lock()
	g.cut = cut
	var open []net.Conn
	for c := range g.conns {
		open = append(open, c)
	}
	g.mu.Unlock()
	if cut {
		for _, c := range open {
			c.Close()
		}
	}
}

type gated struct {
	net.Conn
	g *gate
}

func (c *gated) Close() error {
	c.g.mu.Lock()
	delete(c.g.conns, c)
	c.g.mu.Unlock()
	return c.Conn.Close()
}
