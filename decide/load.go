package decide

import (
	"math"
	"time"
)

// sampleLoad adds a sample to the load signal of a server's tier: the share of the slack that was spent
// waiting.
func (b *Balancer) sampleLoad(s *server, value float64) {
	t := s.tier
	if s.pool != &t.active && t.active.totalWeight > panicThreshold*t.referenceWeight {
		return // a failed server does not represent a tier that mostly works
	}
	t.unsampledSheds = 0
	if s.latencyRatio > outlierRatio {
		// A single slow server is not load of the tier; draws avoid it.
		value = min(value, outlierMaxLoad)
	}
	rate := min(max(float64(b.now-t.loadUpdatedAt)/float64(loadMemory), 0.08), 0.3)
	t.load += rate * (min(max(value, -0.5), 1) - t.load)
	t.sustainedPressure += min((b.now-t.loadUpdatedAt).Seconds()/sustainedPressureTime.Seconds(), 0.2) *
		min(max(t.load/pressureThreshold-1, -1), 1)
	t.sustainedPressure = min(max(t.sustainedPressure, 0), 0.95)
	t.loadUpdatedAt = b.now
}

// pressure is the share of its work that a tier should lose, from 0 to 1. It decays with the age of the
// last sample.
func (b *Balancer) pressure(t *tier) float64 {
	fade := math.Exp2(-float64(b.now-t.loadUpdatedAt) / float64(2*loadMemory))
	return min(max((t.load*fade-pressureThreshold)/pressureRange, 0)+t.sustainedPressure*fade, 1)
}

// shedProbability is the probability that a request is refused at once. Work of the least worth is shed
// first, until the share of work given by the pressure is gone.
func (b *Balancer) shedProbability(r *request) float64 {
	age := min((b.now - b.rateUpdatedAt).Seconds(), 100)
	fade := math.Exp2(-age / (5 * loadMemory.Seconds()))
	b.requestRate = b.requestRate*fade + math.Ln2/(5*loadMemory.Seconds())
	b.rateUpdatedAt = b.now
	for t := range b.tenantRequests {
		b.tenantRequests[t] *= fade
	}
	b.tenantRequests[r.tenant]++
	ownWorth := b.worthPerWork(r.class, r.tenant)
	lessWorth, equalWorth, total := 0.0, 0.0, 0.0
	for i := range b.classes {
		k := &b.classes[i]
		for t := range k.workByTenant {
			if k.workByTenant[t] *= fade; k == r.class && t == r.tenant {
				k.workByTenant[t] += k.baseLatency
			}
			total += k.workByTenant[t]
			if d := b.worthPerWork(k, t); d < ownWorth {
				lessWorth += k.workByTenant[t]
			} else if d == ownWorth {
				equalWorth += k.workByTenant[t]
			}
		}
	}
	pressure, otherPressure := b.pressure(&b.tiers[0]), b.pressure(&b.tiers[1])
	if len(b.tiers[0].active.members) == 0 { // without servers in the own zone only the other tier counts
		pressure = otherPressure
	} else if len(b.tiers[1].active.members) > 0 && b.worthCrossing(r) {
		pressure = min(pressure, otherPressure)
	}
	if pressure > 0 != b.shedding && b.now >= b.nextShedLog {
		b.shedding, b.nextShedLog = pressure > 0, b.now+10*time.Second
		b.log("shedding %v, share %.2f", b.shedding, pressure)
	}
	return min(max((pressure*total-lessWorth)/equalWorth, 0), 1)
}

// worthPerWork is the worth of a request per unit of work. Requests beyond a tenant's share are worth less.
// The share is taken of the requests that this balancer sees, as if all tenants together sent exactly the
// sum of their quotas.
func (b *Balancer) worthPerWork(k *class, tenant int) float64 {
	worth := k.Worth
	if tenant < len(b.config.Tenants) && b.totalQuota > 0 && b.config.Tenants[tenant].Quota > 0 {
		sent, fairShare := tenantPriorRequests, b.config.Tenants[tenant].Quota/b.totalQuota
		for _, n := range b.tenantRequests {
			sent += n
		}
		within := min(1, fairShare*sent/(b.tenantRequests[tenant]+fairShare*tenantPriorRequests))
		worth *= within + (1-within)*b.config.OverShareWorth
	}
	if b.config.WorthByWork {
		return worth
	}
	return worth / max(k.baseLatency, 1e-4)
}
