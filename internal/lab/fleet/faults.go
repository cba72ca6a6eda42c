package fleet

import (
	"time"

	"burlpass/internal/lab/judge"
	"burlpass/internal/lab/world"
)

func (d *day) step(step world.Step) {
	f := &d.Faults[step.Fault]
	extra := f.Restart()
	switch f.Kind {
	case "registry_lag":
		d.registry.Lag(f.Extra, step.Begin)
	case "registry_down":
		d.registry.Fail(step.Begin)
		d.observe(judge.Event{Kind: judge.Reached, On: !d.registry.IsDown()})
		for _, s := range d.sidecars {
			if step.Begin && s.parked {
				s.parked = false
				s.listFailed(s.life)
			}
			if !step.Begin && s.Registry.Pushed && !d.registry.IsDown() {
				s.deliver(s.life)
			}
		}
	case "kill":
		for _, n := range step.Sidecars {
			d.sidecars[n].kill()
			d.after(extra, d.sidecars[n].revive)
		}
	case "hall_loss":
		for _, n := range step.Sidecars {
			if step.Begin {
				d.sidecars[n].kill()
			} else {
				d.sidecars[n].revive()
			}
		}
		for _, n := range step.Workers {
			d.machines[n].lose(step.Begin, f.Silent)
		}
	case "replace":
		for i, n := range step.Workers {
			d.replace(d.machines[n], d.machines[d.Replacement(step.Fault, i)], extra)
		}
	case "shrink":
		for _, n := range step.Workers {
			d.shrink(d.machines[n], step.Begin, f.Extra)
		}
	case "hang":
		for _, n := range step.Workers {
			if m := d.machines[n]; m.model != nil {
				m.finished(m.model.Stall(d.now, step.Begin))
				m.plan()
			}
		}
	case "slow":
		for _, n := range step.Workers {
			if m := d.machines[n]; m.model != nil {
				speed := 1.0
				if step.Begin {
					speed = f.Size
				}
				m.finished(m.model.Slow(d.now, speed))
				m.plan()
			}
		}
	}
}

// drainTime is how long a worker that is to be replaced finishes what it holds after the list has said so.
const drainTime = time.Second

// replace drains a worker, ends it, and starts another in its place.
func (d *day) replace(old, next *machine, extra time.Duration) {
	if old.replaced {
		return
	}
	old.replaced = true
	d.list(old, world.Draining, false)
	d.after(d.Registry.Notice+drainTime, func() {
		old.stop()
		d.list(old, world.Removed, false)
		d.after(extra, next.begin)
	})
}

func (d *day) shrink(m *machine, begin bool, drain time.Duration) {
	if !begin {
		if m.downs--; m.downs == 0 && !m.replaced {
			m.stop()
			m.begin()
		}
		return
	}
	if m.downs++; m.downs > 1 {
		return
	}
	d.list(m, world.Draining, false)
	d.after(drain, func() {
		if m.downs > 0 {
			m.stop()
			d.list(m, world.Removed, false)
		}
	})
}

// list tells the registry of a change; it gets on the list late.
func (d *day) list(m *machine, state world.State, silent bool) {
	d.registry.Change(d.now, world.Entry{Worker: m.n, State: state, Started: m.begun}, silent)
	if at, ok := d.registry.Due(); ok {
		d.at(at, d.publish)
	}
}

// publish brings the list up to date and tells whoever waits for news.
func (d *day) publish() {
	changed := d.registry.Advance(d.now)
	for _, e := range changed {
		d.observe(judge.Event{Kind: judge.Listed, Worker: e.Worker, State: uint8(e.State), Started: e.Started})
	}
	if at, ok := d.registry.Due(); ok {
		d.at(at, d.publish)
	}
	if len(changed) == 0 {
		return
	}
	for _, s := range d.sidecars {
		if s.Registry.Pushed && !d.registry.IsDown() || s.parked {
			s.parked = false
			s.deliver(s.life)
		}
	}
}
