package fleet

import (
	"slices"
	"time"

	"burlpass/decide"
	"burlpass/internal/lab/judge"
	"burlpass/internal/lab/world"
)

// machine is a worker and its table of connections.
type machine struct {
	*day
	n        int
	model    *world.Worker // nil until it has started
	life     int
	begun    time.Duration
	silent   bool
	downs    int
	replaced bool
	conns    int
	jobs     map[uint64]*attempt
	planned  int // the event that looks at it next; older ones count for nothing
	counts   WorkerCounts
}

func (m *machine) start(began time.Duration) {
	m.life++
	m.begun = began
	if m.model == nil {
		m.model = world.NewWorker(m.Fleet[m.n], m.Kinds[m.Fleet[m.n].Kind], m.Rules, began, m.now)
	} else {
		m.model.Restart(m.now)
	}
}

func (m *machine) begin() {
	m.start(m.now)
	m.list(m, world.Up, false)
}

func (m *machine) up() bool { return m.model != nil && m.model.Up() && !m.silent }

// stop ends the process: its connections break, and with them what it holds.
func (m *machine) stop() {
	if m.model == nil || !m.model.Up() {
		return
	}
	m.model.Stop(m.now)
	m.life++
	m.conns = 0
	serials := make([]uint64, 0, len(m.jobs))
	for serial := range m.jobs {
		serials = append(serials, serial)
	}
	slices.Sort(serials)
	for _, serial := range serials {
		a := m.jobs[serial]
		delete(m.jobs, serial)
		if !m.silent {
			m.after(m.oneWay(a.sidecar.hall(), m.Fleet[m.n].Hall), func() { a.close(decide.Reset, false) })
		}
	}
}

// lose takes part in the loss of a hall, or in its return.
func (m *machine) lose(begin, silent bool) {
	if !begin {
		if m.downs--; m.downs == 0 && !m.replaced {
			m.stop()
			m.silent = false
			m.begin()
		}
		return
	}
	if m.downs++; m.downs > 1 {
		return
	}
	m.list(m, world.Removed, silent)
	if m.silent = silent; !silent {
		m.stop()
	}
}

// plan looks at the worker again when its next job is done.
func (m *machine) plan() {
	at, ok := m.model.Due()
	if !ok {
		return
	}
	m.planned++
	turn := m.planned
	m.at(at, func() {
		if m.planned == turn {
			m.finished(m.model.Advance(m.now))
			m.plan()
		}
	})
}

// finished answers what has been done.
func (m *machine) finished(done []world.Finished) {
	for _, f := range done {
		a := m.jobs[f.ID]
		if a == nil {
			continue
		}
		delete(m.jobs, f.ID)
		status := decide.OK
		if k := m.Kinds[m.Fleet[m.n].Kind]; k.ErrorRate > 0 && m.chance.Float64() < k.ErrorRate {
			status = decide.Errored
			m.model.Failed()
		}
		m.observe(judge.Event{Kind: judge.Ran, Serial: int64(a.serial), Body: a.serial})
		if !m.silent {
			m.after(m.oneWay(a.sidecar.hall(), m.Fleet[m.n].Hall), func() { a.close(status, true) })
		}
	}
}

// offer hands a job to the worker.
func (m *machine) offer(j world.Job) world.Verdict {
	m.finished(m.model.Advance(m.now))
	m.observe(judge.Event{Kind: judge.Pushed, Worker: m.n, Sidecar: j.From, Started: m.begun, Work: j.Work})
	before := m.model.Fallen()
	v := m.model.Offer(m.now, j)
	if m.model.Fallen() && !before {
		m.observe(judge.Event{Kind: judge.Fell, Worker: m.n, From: m.model.FellFrom, Started: m.begun})
		m.stop()
		m.list(m, world.Removed, false)
	}
	m.plan()
	return v
}
