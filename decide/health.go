package decide

import (
	"math"
	"time"
)

// recordResult updates latency, load and health state from the result of an attempt.
func (b *Balancer) recordResult(r *request, a *attempt, e *Event) {
	k, s := r.class, a.target
	lat := e.Latency.Seconds()
	slack := b.slack(r)
	switch e.Status {
	case OK:
		b.updateClassLatency(k, lat)
		b.sampleLoad(s, (lat-k.baseLatency)/slack)
		b.updateServerLatency(s, k, lat)
		s.failures, s.unreadable, s.lastSuccess = 0, 0, b.now
		s.tier.recordAnswer(b.now)
		if s.pool == &s.tier.halfOpen && !a.overdue {
			if s.trialSuccesses++; s.trialSuccesses >= requiredTrialSuccesses {
				s.ejections, s.trialSuccesses = max(s.ejections-1, 0), 0
				b.move(s, &s.tier.active)
			}
		}
	case Full:
		s.tier.recordAnswer(b.now) // a rejection is an answer too
		b.sampleLoad(s, 1.5)
	case TimedOut:
		b.sampleLoad(s, max((lat-k.baseLatency)/slack, 1))
		b.recordFailure(s, b.timeoutWeight(s))
		if !a.overdue {
			b.recordMiss(s)
		}
	case Cancelled:
		if a.overdue && !r.done {
			b.sampleLoad(s, (lat-k.baseLatency)/slack)
		}
		if a.overdue {
			b.recordFailure(s, 1)
		}
	case ConnectFailed, Reset:
		b.recordMiss(s)
		late := e.Status == ConnectFailed && b.config.ConnectTime > 0 && e.Latency >= b.config.ConnectTime
		if late && s.tier.misses < outageMisses { // weaker than a refusal while others answer
			b.recordFailure(s, 1)
		} else {
			b.recordConnectionFailure(s)
		}
	case Errored:
		b.recordFailure(s, 1)
	case Unreadable: // the server runs; only repeated unreadable answers make it useless
		s.tier.recordAnswer(b.now)
		if s.unreadable++; s.unreadable >= badResultLimit {
			b.recordFailure(s, hardFailureWeight)
		}
	}
}

// slack is the time in seconds that a request can wait and still meet its aim.
func (b *Balancer) slack(r *request) float64 {
	return max((r.aim-r.arrivedAt).Seconds()-r.class.baseLatency, 0.25*r.class.Aim.Seconds())
}

// updateClassLatency updates the mean, the deviation and the base latency of a class.
func (b *Balancer) updateClassLatency(k *class, latency float64) {
	k.samples++
	rate := max(1/(k.samples+priorSamples), 1.0/32)
	k.latencyDeviation += rate * (math.Abs(latency-k.meanLatency) - k.latencyDeviation)
	k.meanLatency += rate * (latency - k.meanLatency)
	if k.meanLatency < k.baseLatency {
		k.baseLatency = k.meanLatency
	} else {
		k.baseLatency += 0.002 * (min(k.meanLatency, 0.4*k.Aim.Seconds()) - k.baseLatency)
	}
}

// updateServerLatency compares a server's latency with the mean of the class.
func (b *Balancer) updateServerLatency(s *server, k *class, latency float64) {
	ratio := min(latency/max(k.meanLatency, 1e-3), 10)
	s.latencyRatio += 0.5 * (ratio - s.latencyRatio)
	s.latencyRatioAt = b.now
	kind := b.statsFor(s)
	kind.samples++
	kind.meanLatency += max(1/(kind.samples+priorSamples), 1.0/64) * (ratio - kind.meanLatency)
}

// suspectsOutage reports whether a tier may be down (a zone that failed or is unreachable): several
// attempts in a row got no answer, and there has been none for a while. Overload can look the same.
func (b *Balancer) suspectsOutage(t *tier) bool {
	return t.misses >= outageMisses && b.now-t.silentSince >= outageSilence
}

// recordMiss counts an attempt that got no answer in time. A tier that may be down is ejected as a whole
// only if another one has answered since. Otherwise the cause may be overload, which moving all requests
// would spread.
func (b *Balancer) recordMiss(s *server) {
	t, other := s.tier, &b.tiers[0]
	if t == other {
		other = &b.tiers[1]
	}
	t.misses++
	if !b.suspectsOutage(t) || s.pool != &t.active || other.lastAnswer <= t.lastAnswer ||
		len(other.active.members) == 0 {
		return
	}
	b.log("tier of rank %d: no answer while another answers, all %d ejected",
		b.rank(t), len(t.active.members))
	for len(t.active.members) > 0 {
		b.eject(t.active.members[len(t.active.members)-1], baseEjection)
	}
}

// recordConnectionFailure counts a connection that failed or broke during an attempt. Isolated breaks
// happen at every server, so a few of them soon after an answer are tolerated. A dead process breaks all
// its connections and reaches the limit quickly.
func (b *Balancer) recordConnectionFailure(s *server) {
	if s.pool == &s.tier.active && s.failures < badResultLimit-1 && s.lastSuccess > 0 &&
		b.now-s.lastSuccess < recentAnswer {
		s.failures++
		return
	}
	b.recordFailure(s, hardFailureWeight)
}

// recordFailure counts weighted evidence of failure and ejects the server. Evidence that overload causes as
// well (no answer in time) never ejects servers beyond the panic threshold.
func (b *Balancer) recordFailure(s *server, weight int) {
	t := s.tier
	s.failures += weight
	switch s.pool {
	case &t.halfOpen:
		s.trialSuccesses = 0
		s.ejections++
		b.eject(s, baseEjection)
	case &t.active:
		if weight < hardFailureWeight && t.active.totalWeight-s.weight <
			panicThreshold*(t.active.totalWeight+t.ejected.totalWeight+t.halfOpen.totalWeight) {
			return
		}
		if s.failures < 2 {
			b.eject(s, softEjection)
		} else {
			b.eject(s, baseEjection)
			s.ejections++
		}
	}
}

// timeoutWeight is the weight of a timeout as evidence of failure: lower while the tier is under load.
func (b *Balancer) timeoutWeight(s *server) int {
	if b.pressure(s.tier) > 0 {
		return 1
	}
	return 2
}

// eject takes a server out of use for d, doubled for each ejection in a row, with jitter.
func (b *Balancer) eject(s *server, d time.Duration) {
	b.move(s, &s.tier.ejected)
	d = b.jitter(min(d<<min(s.ejections, 8), maxEjection))
	s.ejectedUntil = b.now + d
	b.setTimer(d, timerServer, 0, uint64(s.ID))
}

// untilProbed is the end of an ejection that lasts until the result of a probe.
const untilProbed = time.Duration(math.MaxInt64)

// readmit ends an ejection. Where probes are allowed one is sent first, so that no request is risked on a
// dead server.
func (b *Balancer) readmit(s *server) {
	if s.failures < 2 && s.ejections == 0 {
		b.move(s, &s.tier.active)
		return
	}
	if b.config.Limits.Probe {
		s.ejectedUntil = untilProbed
		b.addAction(Action{Kind: Probe, Server: s.ID})
		return
	}
	b.move(s, &s.tier.halfOpen)
}

func (b *Balancer) handleProbeResult(e *Event) {
	s := b.servers[e.Server]
	if s == nil || s.pool != &s.tier.ejected {
		return
	}
	if e.Status != OK {
		s.ejections++
		b.eject(s, baseEjection)
		return
	}
	b.move(s, &s.tier.halfOpen)
}
