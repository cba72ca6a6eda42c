package lease

import (
	"slices"
	"time"
)

// divideScratch holds slices that divide reuses between calls.
type divideScratch struct {
	requested  []int64
	recipients []*allocation
}

// turnLength returns how long a holder's turn lasts if there is less than a quantum for each holder.
func (l *limit) turnLength() time.Duration {
	length := 2 * time.Second
	if q := l.quantum(); l.Kind == Rate && l.leasable > 0 && l.leasable < q {
		length = max(length, min(time.Hour, time.Duration(q)*2*time.Second/time.Duration(l.leasable)))
	}
	return length
}

// divide sets the target of each holder: max-min fair by demand, and never less than a quantum. Half of what remains goes to holders without
// demand, so that their next call is admitted, and on top to those with demand; the other half is kept for the next requests.
func (l *limit) divide(now time.Duration, recovering bool) {
	l.recipients, l.requested, l.totalDemand = l.recipients[:0], l.requested[:0], 0
	quantum := l.quantum()
	idleHolders := 0
	for _, p := range l.byArrival {
		p.target = 0
		bound := l.leasable
		if recovering {
			bound = min(bound, p.claim)
		}
		if l.cappedUntil != 0 {
			bound = min(bound, p.cap)
		}
		active := now < p.lastSeen+demandTimeout
		if active {
			l.totalDemand += p.demand
		}
		switch {
		case !active || bound == 0:
		case p.demand == 0:
			idleHolders++
		default:
			l.recipients, l.requested = append(l.recipients, p), append(l.requested, min(max(p.demand, quantum), bound))
		}
	}
	if slots := max(1, l.leasable/quantum); int64(len(l.recipients)) > slots {
		l.pickTurns(now, int(slots))
	}
	remaining := l.leasable
	for i, n := range maxMinShares(l.leasable, l.requested) {
		l.recipients[i].target = n
		remaining -= n
	}
	l.spreadSpare(remaining/2, idleHolders, now) // the other half is kept for the next requests
}

// pickTurns limits the recipients to those whose turn it is: first the holders whose turn still lasts, then those whose last turn began
// earliest.
func (l *limit) pickTurns(now time.Duration, slots int) {
	length := l.turnLength()
	rank := func(p *allocation) time.Duration {
		if p.turnStart != 0 && now < p.turnStart+length {
			return -1
		}
		return p.lastTurn
	}
	slices.SortStableFunc(l.recipients, func(x, y *allocation) int { return int(max(-1, min(1, rank(x)-rank(y)))) })
	for _, p := range l.recipients[slots:] {
		if p.turnStart != 0 && now >= p.turnStart+length {
			p.turnStart = 0
		}
	}
	for _, p := range l.recipients[:slots] {
		if p.turnStart != 0 && now >= p.turnStart+length { // nobody waits longer: it gets the next turn too
			p.turnStart, p.lastTurn = now, now
		}
	}
	l.recipients, l.requested = l.recipients[:slots], l.requested[:0]
	for _, p := range l.recipients {
		l.requested = append(l.requested, min(max(p.demand, l.quantum()), l.leasable))
	}
}

// spreadSpare distributes an amount that nobody has demanded: a quantum to each holder without demand, if it is enough for all of them, and
// what remains on top of the targets of the others.
func (l *limit) spreadSpare(spare int64, idleHolders int, now time.Duration) {
	quantum := l.quantum()
	if idleHolders > 0 && spare/int64(idleHolders) >= quantum {
		for _, p := range l.byArrival {
			if now < p.lastSeen+demandTimeout && p.demand == 0 && spare >= quantum {
				p.target = quantum
				spare -= quantum
			}
		}
	}
	if n := int64(len(l.recipients)); n > 0 {
		for _, p := range l.recipients {
			p.target += min(p.target/2, spare/n)
		}
	}
}

// maxMinShares computes the max-min fair division of whole units: no share exceeds its demand, and a share below its demand is at most one
// unit smaller than any other.
func maxMinShares(amount int64, wants []int64) []int64 {
	shares := make([]int64, len(wants))
	sorted := slices.Clone(wants)
	slices.Sort(sorted)
	level, remainder := int64(-1), int64(0) // negative: every demand is met
	for i, w := range sorted {
		n := int64(len(sorted) - i)
		if w*n > amount {
			level, remainder = amount/n, amount%n
			break
		}
		amount -= w
	}
	for i, w := range wants {
		shares[i] = w
		if level < 0 || w <= level {
			continue
		}
		shares[i] = level
		if remainder > 0 {
			shares[i]++
			remainder--
		}
	}
	return shares
}
