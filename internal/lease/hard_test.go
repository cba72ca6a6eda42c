package lease

import (
	"time"

	"pgregory.net/rapid"
)

// change is a change of leaders with all that makes it hard near to it: a question on its way, one process that stands still, the
// others wanting all.
func (w *world) change(p *process) {
	later := func(what string) {
		w.now += rapid.SampledFrom([]time.Duration{time.Millisecond, 100 * time.Millisecond, Length - Length/50, Length + 5*Length/Drift}).Draw(w.t, what)
		w.check()
	}
	all := func() {
		for _, q := range w.holders {
			for range 2 {
				if q != p && w.now >= q.wakes {
					q.demand["r"], q.demand["c"] = 20_000, 8
					w.round(q)
				}
			}
			w.admit(q)
			w.check()
		}
	}
	p.demand["r"], p.demand["c"] = 20_000, 8
	w.round(p)
	w.round(p)
	later("given")
	w.admit(p)
	w.ask(p)
	later("asked")
	all()
	if rapid.Bool().Draw(w.t, "elected") {
		w.elect()
	}
	late := w.asks
	w.asks = nil
	later("changed")
	w.asks = late
	for range rapid.IntRange(0, 1).Draw(w.t, "comes") {
		w.divide(w.leader)
		w.send(w.pending[len(w.pending)-1])
		w.hear()
		w.check()
	}
	all()
	later("on")
	all()
	w.asks = nil
	w.ask(p)
	w.divide(rapid.SampledFrom(w.dividers).Draw(w.t, "divider"))
	if b := w.pending[len(w.pending)-1]; w.twice() || b.of != w.leader {
		if w.prove(b); b.proved {
			w.send(b)
			w.hear()
		}
	}
}

// lower is a limit that is lowered while all of it is out; one process hears of it and then stands still.
func (w *world) lower(p *process) {
	w.limits = []Limit{{ID: "r", Kind: Rate, Amount: 20_000}, {ID: "c", Kind: Calls, Amount: 8}}
	for range 2 {
		w.put()
		for range 4 {
			for _, q := range w.holders {
				q.h.Set(w.limits)
				q.demand["r"], q.demand["c"] = 20_000, 8
				w.round(q)
				w.admit(q)
				w.check()
			}
		}
		w.limits = []Limit{{ID: "r", Kind: Rate, Amount: 5000}, {ID: "c", Kind: Calls, Amount: 2}}
		w.now += Length * time.Duration(rapid.IntRange(0, 1).Draw(w.t, "before"))
		w.put()
		w.now += 400 * time.Millisecond * time.Duration(rapid.IntRange(0, 1).Draw(w.t, "hears"))
		w.check()
		w.round(p)
		for range 4 {
			w.now += rapid.SampledFrom([]time.Duration{100 * time.Millisecond, demandTimeout, Length / 3}).Draw(w.t, "lowered")
			w.check()
			for _, q := range w.holders {
				if q != p {
					w.round(q)
					w.admit(q)
					w.check()
				}
			}
		}
	}
}
