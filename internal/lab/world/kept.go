package world

import "time"

// Of the calls around a SIGTERM that clients go on sending after.
const (
	termTime   = 700 * time.Millisecond // after SIGTERM whatever comes is to be answered for so long
	longestEnd = 3 * time.Second        // and calls have so long to be answered at most
	keptConns  = 64                     // calls that come at once before the signal, and leave as many connections
	keptAhead  = 400 * time.Millisecond // so long before it
	keptWork   = 5 * time.Millisecond   // of each of these: more would be a burst of load
	keptNear   = 3 * time.Millisecond   // around the end of termTime, where a close crosses calls
	keptLast   = 400 * time.Millisecond // before SIGKILL: calls that cannot be answered by then
)

// KillAfter is how long after SIGTERM a sidecar gets SIGKILL.
func (p *Plan) KillAfter() time.Duration {
	longest := time.Duration(0)
	for _, k := range p.Classes {
		longest = max(longest, k.Deadline)
	}
	return min(longest, longestEnd) + termTime
}

// drawKept draws the calls that come on kept connections from a SIGTERM up to SIGKILL, and those that leave these
// connections: a third of them at any time, a third where connections without a call are closed, a third at the last.
func (p *Plan) drawKept() {
	for _, step := range p.Steps {
		f := &p.Faults[step.Fault]
		if !f.Terminates() || f.Size <= 0 {
			continue
		}
		rnd := source(p.Seed, streamKept+uint64(step.Fault))
		until := p.KillAfter()
		for _, sidecar := range step.Sidecars {
			first := step.Fault * 100_000 // of the calls' numbers, which only have to be fresh
			for n := range keptConns {
				a := p.call(rnd, sidecar, 1_000_000+first+n, max(0, step.At-keptAhead))
				a.Work = min(a.Work, keptWork)
				p.Arrivals = append(p.Arrivals, a)
			}
			for n := range int(f.Size * until.Seconds()) {
				at := step.At
				switch n % 3 {
				case 0:
					at += time.Duration(rnd.Float64() * float64(until))
				case 1:
					at += termTime + time.Duration((2*rnd.Float64()-1)*float64(keptNear))
				case 2:
					at += until - time.Duration(rnd.Float64()*float64(keptLast))
				}
				a := p.call(rnd, sidecar, 2_000_000+first+n, at)
				if a.Kept = true; at < p.Length {
					p.Arrivals = append(p.Arrivals, a)
				}
			}
		}
	}
}
