package fleet

import (
	"slices"
	"time"

	"burlpass/decide"
	"burlpass/internal/lab/judge"
	"burlpass/internal/lab/world"
)

// conn is a connection to one life of a worker.
type conn struct {
	m    *machine
	life int
	used time.Duration // since when it is idle
}

// attempt is one attempt, or a probe.
type attempt struct {
	sidecar *sidecar
	life    int
	call    *call // nil for a probe
	local   uint64
	number  int
	m       *machine
	c       *conn
	fresh   bool
	serial  uint64
	sent    time.Duration
	arrived bool
	closed  bool
}

// connect finds a connection and calls next when the first byte can go out.
func (a *attempt) connect(next func()) {
	s, m := a.sidecar, a.m
	for list := s.idle[m.n]; len(list) > 0; list = s.idle[m.n] {
		c := list[len(list)-1]
		s.idle[m.n] = list[:len(list)-1]
		if c.life == m.life || m.silent {
			a.c = c
			next()
			return
		}
	}
	way := s.oneWay(s.hall(), s.Fleet[m.n].Hall)
	switch {
	case m.silent:
		s.after(s.Conn.Connect, func() { a.close(decide.ConnectFailed, false) })
	case !m.up():
		s.counts.Lost++
		s.after(2*way, func() { a.close(decide.ConnectFailed, false) })
	case m.conns >= s.Conn.Most:
		s.counts.TurnedOff++
		s.after(2*way, func() { a.close(decide.ConnectFailed, false) })
	default:
		m.conns++
		m.counts.Handshakes++
		s.counts.Handshakes++
		m.counts.MostConns = max(m.counts.MostConns, m.conns)
		s.counts.ConnsAtOnce = max(s.counts.ConnsAtOnce, s.openConns())
		a.c, a.fresh = &conn{m: m, life: m.life}, true
		s.after(2*way+s.Conn.Handshake, func() {
			if !a.closed {
				next()
			}
		})
	}
}

func (d *day) openConns() (n int) {
	for _, m := range d.machines {
		n += m.conns
	}
	return n
}

// arrive is the call's last byte at the worker's machine.
func (a *attempt) arrive(work time.Duration) {
	s, m := a.sidecar, a.m
	first := s.now
	s.after(s.oneWay(s.hall(), s.Fleet[m.n].Hall), func() {
		switch {
		case a.closed || m.silent:
			return
		case !m.up() || a.c.life != m.life:
			status := decide.Reset
			if !a.fresh {
				status = decide.StaleConnection
			}
			a.close(status, false)
			return
		}
		a.arrived = true
		if a.call != nil {
			s.observe(judge.Event{Kind: judge.Arrived, Call: a.call.id, Serial: int64(a.serial), Sidecar: s.n, Worker: m.n, First: first})
		}
		if a.fresh {
			work += s.Conn.Handshake
		}
		m.jobs[a.serial] = a
		switch m.offer(world.Job{ID: a.serial, Work: work, From: s.n, Probe: a.call == nil}) {
		case world.Full:
			delete(m.jobs, a.serial)
			m.counts.TurnedAway++
			s.observe(judge.Event{Kind: judge.Unrun, Serial: int64(a.serial)})
			s.after(s.oneWay(s.hall(), s.Fleet[m.n].Hall), func() { a.close(decide.Full, true) })
		case world.Down:
			delete(m.jobs, a.serial)
			a.close(decide.Reset, false)
		}
	})
}

// drop ends an attempt on the sidecar's side without a word to the module; its connection is not used again.
func (a *attempt) drop() {
	if a.closed {
		return
	}
	a.closed = true
	a.sidecar.observe(judge.Event{Kind: judge.Closed, Serial: int64(a.serial)})
	if a.m.jobs[a.serial] == a {
		delete(a.m.jobs, a.serial)
		a.m.finished(a.m.model.Abandon(a.sidecar.now, a.serial))
		a.m.plan()
	}
	a.hangUp()
}

func (a *attempt) hangUp() {
	if a.c != nil && a.c.life == a.m.life {
		a.m.conns--
	}
	a.c = nil
}

// close ends an attempt with an outcome, keeps its connection where it may be used again, and tells the module.
func (a *attempt) close(status decide.Status, keep bool) {
	s := a.sidecar
	if a.closed || s.life != a.life {
		return
	}
	if keep && a.c != nil {
		a.closed = true
		s.observe(judge.Event{Kind: judge.Closed, Serial: int64(a.serial)})
		s.keep(a.c)
	} else {
		a.drop()
	}
	if a.call == nil {
		s.tell(decide.Event{Kind: decide.ProbeResult, Server: decide.ServerID(a.m.n + 1), Status: status, Latency: s.now - a.sent, Load: a.load()})
		return
	}
	c := a.call
	e := decide.Event{Kind: decide.Outcome, ID: a.local, Attempt: a.number, Server: decide.ServerID(a.m.n + 1), Status: status,
		Latency: s.now - a.sent, NewConnection: a.fresh, Done: c.over}
	if status == decide.OK && !c.over {
		c.over, e.Done = true, true
		s.observe(judge.Event{Kind: judge.Answered, Call: c.id, Sidecar: s.n, Status: 200, Body: a.serial})
		s.ended(c, world.Served, 0)
	}
	s.tell(e)
	if c.over {
		s.forget(a.local, c)
	}
}

// keep makes a connection idle; it is closed when it has been so for long.
func (s *sidecar) keep(c *conn) {
	if c.life != c.m.life {
		return
	}
	c.used = s.now
	s.idle[c.m.n] = append(s.idle[c.m.n], c)
	since, life := s.now, s.life
	s.after(time.Duration(idleShare*float64(s.Conn.Idle)), func() {
		if i := slices.Index(s.idle[c.m.n], c); s.life == life && i >= 0 && c.used == since {
			s.idle[c.m.n] = slices.Delete(s.idle[c.m.n], i, i+1)
			if c.life == c.m.life {
				c.m.conns--
			}
		}
	})
}

// release closes the idle connections to a worker.
func (s *sidecar) release(worker int) {
	for _, c := range s.idle[worker] {
		if c.life == c.m.life {
			c.m.conns--
		}
	}
	delete(s.idle, worker)
}

// probe asks a worker for its load.
func (s *sidecar) probe(worker int) {
	s.serial++
	s.counts.Probes++
	a := &attempt{sidecar: s, life: s.life, m: s.machines[worker], serial: s.serial, sent: s.now}
	a.m.counts.Probes++
	s.observe(judge.Event{Kind: judge.Probed, Sidecar: s.n, Worker: worker})
	s.after(probeTime, func() { a.close(decide.TimedOut, false) })
	a.connect(func() { a.arrive(s.Probe.Work) })
}

// load is the report that a probe brings back.
func (a *attempt) load() []float32 {
	if a.m.model == nil || !a.arrived {
		return nil
	}
	l := a.m.model.Report()
	return []float32{float32(l.Util), float32(l.Errors), float32(l.Queue)}
}
