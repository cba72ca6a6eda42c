package limits

import (
	"context"
	"math/rand/v2"
	"time"

	"burlpass/internal/lease"
)

const (
	askInterval    = 250 * time.Millisecond // between requests
	minAskInterval = 40 * time.Millisecond  // between requests that are sent early
	sampleInterval = 20 * time.Millisecond  // between samples of demand
	askTimeout     = time.Second            // for the answer to one request
	minRetryDelay  = 50 * time.Millisecond  // after the first failed request
	maxRetryDelay  = time.Second
	releaseTimeout = 500 * time.Millisecond // for returning all leases at the end
)

// randomNumber returns the number that distinguishes the starts of a process.
func randomNumber() uint64 { return rand.Uint64() }

// Run requests leases until ctx is done, and then returns them all.
func (l *Limits) Run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	defer l.releaseAll()
	_, start, _ := l.readClocks()
	l.mu.Lock()
	l.lastAnswer = start
	l.mu.Unlock()
	nextAsk, lastAsk := start, start-minAskInterval
	retryDelay := time.Duration(0) // 0 unless the last request failed
	first := true
	for {
		_, now, _ := l.readClocks()
		if now >= nextAsk || retryDelay == 0 && now >= lastAsk+minAskInterval && l.shouldAskNow(now) {
			lastAsk = now
			if l.ask(ctx) {
				retryDelay, nextAsk = 0, lastAsk+askInterval
				if first { // a random phase, so that processes that start together do not always ask together
					nextAsk, first = lastAsk+time.Duration(rand.Int64N(int64(askInterval))), false
				}
			} else {
				_, now, _ = l.readClocks()
				retryDelay = min(maxRetryDelay, max(minRetryDelay, 2*retryDelay))
				nextAsk = now + retryDelay/2 + time.Duration(rand.Int64N(int64(retryDelay/2)))
			}
			l.logCutOff()
		}
		select {
		case <-ticker.C:
			l.logCutOff()
		case <-ctx.Done():
			return
		}
	}
}

// shouldAskNow samples demand, and reports whether the next request should be sent early.
func (l *Limits) shouldAskNow(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sample(now)
	for _, b := range l.buckets {
		if b.askSoon || b.demandChanged() {
			return true
		}
	}
	return false
}

// sample updates the demand of all buckets, unless the last sample is very recent. The caller holds l.mu.
func (l *Limits) sample(now time.Duration) {
	if elapsed := now - l.lastSample; elapsed >= sampleInterval/2 {
		l.lastSample = now
		for _, b := range l.buckets {
			b.sample(elapsed)
		}
	}
}

// ask sends one request and applies the answer. It reports whether that succeeded.
func (l *Limits) ask(ctx context.Context) bool {
	l.mu.Lock()
	at, now, wall := l.readClocks()
	l.sample(now)
	ask := l.holder.Ask(now, wall, func(h *lease.Held) lease.Use {
		b := l.buckets[h.ID]
		before := h.Leased()
		use := b.reportUse()
		if use.Most >= 0 && use.Most < before && b.leased {
			l.logLease(b, now, use.Most)
		}
		return use
	})
	for _, b := range l.buckets {
		l.refresh(b, at, now, wall)
	}
	l.mu.Unlock()
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := l.config.Member.Lease(askCtx, ask)
	if err != nil {
		if l.debug {
			l.log.Debug("lease_failed", "fault", err)
		}
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.applyAnswer(&answer)
}

// applyAnswer applies an answer. It reports false if the answer is ignored. The caller holds l.mu.
func (l *Limits) applyAnswer(answer *lease.Answer) bool {
	at, now, wall := l.readClocks()
	before := make(map[string]int64, len(answer.Given))
	for _, g := range answer.Given {
		if b := l.buckets[g.ID]; b != nil && b.leased {
			before[g.ID] = b.held.Leased()
		}
	}
	if !l.holder.Answer(answer) {
		return false
	}
	l.lastAnswer = now
	for _, g := range answer.Given {
		b := l.buckets[g.ID]
		if b == nil {
			continue
		}
		l.refresh(b, at, now, wall)
		if b.leased {
			l.logLease(b, now, b.held.Leased())
		}
		b.askSoon = g.Short || g.Amount < before[g.ID]-before[g.ID]/20
	}
	return true
}

// logLease logs, at debug level, the amount that this process uses from now until its lease expires.
func (l *Limits) logLease(b *bucket, now time.Duration, amount int64) {
	if l.debug {
		l.log.Debug("lease", "limit", b.id, "holder", l.name, "amount", amount,
			"from", (l.clockOffset + now).Microseconds(), "until", (l.clockOffset + b.held.Until()).Microseconds())
	}
}

// logCutOff logs when this process is cut off from the leader, and when it is back.
func (l *Limits) logCutOff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, now, wall := l.readClocks()
	silence := now - l.lastAnswer
	switch {
	case !l.cutOffLogged && silence >= lease.Length && len(l.buckets) > 0:
		l.cutOffLogged = true
		l.log.Warn("limits_cut_off", "holder", l.name, "silence", silence.Round(time.Millisecond), "limits", len(l.buckets))
	case l.cutOffLogged && silence < lease.Length:
		l.cutOffLogged = false
		l.log.Info("limits_back", "holder", l.name, "limits", len(l.buckets))
	}
	if l.debug { // logs lease_ended even if no call comes
		for _, b := range l.buckets {
			l.refresh(b, at, now, wall)
		}
	}
}

// releaseAll returns all leases.
func (l *Limits) releaseAll() {
	l.mu.Lock()
	at, now, wall := l.readClocks()
	for _, b := range l.buckets {
		if b.leased {
			l.logLease(b, now, 0)
		}
	}
	ask := l.holder.Leave(now, wall, func(h *lease.Held) lease.Use {
		return lease.Use{Under: l.buckets[h.ID].inFlight, Most: 0}
	})
	for _, b := range l.buckets {
		l.refresh(b, at, now, wall)
	}
	l.mu.Unlock()
	if ask.Epoch == 0 {
		return // no lease was ever granted
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if _, err := l.config.Member.Lease(ctx, ask); err != nil && l.debug {
		l.log.Debug("lease_failed", "fault", err)
	}
}
