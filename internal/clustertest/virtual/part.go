package virtual

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"burlpass/internal/cluster/api"
	"burlpass/internal/cluster/frames"
	"burlpass/internal/cluster/observer"
	"burlpass/internal/cluster/voter"
	"burlpass/internal/logging"
	"burlpass/internal/record"
)

// part is a member's part in the cluster, put together as internal/cluster does it on sockets.
type part struct {
	server *http.Server
	served chan struct{}
	member func() error // closes it
	demand *demand      // nil without leases
}

// Small bounds, as the build for real processes has them.
const (
	smallSnapshot  = 700 * time.Millisecond
	smallThreshold = 40
	smallTrailing  = 20
	smallEntries   = 30
	smallFollowers = 3
)

// open starts a life's part.
func open(w *World, l *life, line func(string)) (*part, error) {
	log, err := logging.New(lines(line), logging.Options{})
	if err != nil {
		return nil, err
	}
	dial := frames.Dial(l.host.Dial)
	p := &part{served: make(chan struct{})}
	options := api.Options{Metrics: api.NewMetrics(), Log: log}
	entries := 0
	if w.plan.Small {
		options.Followers, entries = smallFollowers, smallEntries
	}
	mount := func(*http.ServeMux) {}
	var m api.Member
	if slices.Contains(w.plan.Voters, l.member) {
		c := voter.Config{Cluster: "plant", Name: l.member, Folder: l.own, Log: log, Bounds: record.DefaultBounds(),
			Domains: []record.Domain{record.Orders()}, Dial: dial, Now: l.now, Entries: entries, Limits: fleetLimits}
		if w.plan.Small {
			c.Timings.Snapshot, c.Timings.Threshold, c.Timings.Trailing = smallSnapshot, smallThreshold, smallTrailing
		}
		for _, name := range w.plan.Voters {
			c.Voters = append(c.Voters, voter.Peer{Name: name, Addr: name + ":7000"})
		}
		v, err := voter.Open(context.Background(), c)
		if err != nil {
			return nil, err
		}
		m, p.member, mount = v, v.Close, v.Mount
	} else {
		via := api.NewTransport(dialTime, dial)
		c := observer.Config{Cluster: "plant", Name: l.member, Addr: l.member + ":7000", Folder: l.own, Log: log, Metrics: options.Metrics,
			Via: via, Bounds: record.DefaultBounds(), Domains: []record.Domain{record.Orders()}, Entries: entries}
		for _, name := range slices.Concat(w.plan.Voters, w.plan.Observers) {
			if name != l.member {
				c.Sources = append(c.Sources, observer.Source{Name: name, Addr: name + ":7000"})
			}
		}
		o, err := observer.Open(context.Background(), c)
		if err != nil {
			return nil, err
		}
		m, p.member = o, func() error {
			defer via.CloseIdleConnections()
			return o.Close()
		}
	}
	mux := api.Handler(m, options)
	mount(mux)
	p.server = api.NewServer(mux)
	go func() {
		defer close(p.served)
		_ = p.server.Serve(frames.Listen(l.host))
	}()
	if w.ledger != nil {
		w.mu.Lock()
		p.demand = use(w.ledger, m, l.member, rand.New(rand.NewPCG(w.rnd.Uint64(), 2)))
		w.mu.Unlock()
	}
	return p, nil
}

const dialTime = 500 * time.Millisecond // as internal/cluster has it

func (p *part) close() {
	if p.demand != nil {
		p.demand.close()
	}
	_ = p.member()
	_ = p.server.Close()
	<-p.served
}

// now is the member's clock, off by the milliseconds in the file clock beside its folder.
func (l *life) now() time.Time {
	text, _ := os.ReadFile(filepath.Join(filepath.Dir(l.folder), "clock"))
	ms, _ := strconv.ParseInt(string(text), 10, 64)
	return time.Now().Add(time.Duration(ms) * time.Millisecond)
}

// lines hands on what is logged.
type lines func(string)

func (f lines) Write(text []byte) (int, error) {
	f(string(bytes.TrimRight(text, "\n")))
	return len(text), nil
}
