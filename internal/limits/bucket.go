package limits

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"burlpass/internal/lease"
)

const (
	fastWindow = 150 * time.Millisecond // time constant for detecting a change of demand
	slowWindow = 600 * time.Millisecond // time constant for smoothing demand

	// defaultRetryAfter is the delay that a refused call is told if no better estimate exists.
	defaultRetryAfter = 500 * time.Millisecond
)

// bucket enforces one limit at this process. It is protected by Limits.mu.
type bucket struct {
	id          string
	countsCalls bool
	held        *lease.Held
	amount      int64 // in force, in the limit's unit
	leased      bool
	unlimited   bool // no limit applies
	limiter     *rate.Limiter

	inFlight                 int64 // calls in flight
	peakInFlight             int64 // maximum of inFlight since the last sample
	offered                  int64 // calls since the last sample, including refused ones
	refused                  int64
	fastDemand, smoothDemand float64 // demand, in calls per second or in calls in flight
	reportedDemand           float64 // demand in the last request
	askSoon                  bool    // the last answer calls for an early next request
}

// newBucket returns an empty bucket.
func newBucket(id string, countsCalls bool) *bucket {
	b := &bucket{id: id, countsCalls: countsCalls}
	b.limiter = rate.NewLimiter(0, 0)
	return b
}

// setAmount puts an amount in force. The bucket starts empty if the amount was or becomes 0: the tokens that processes without a lease had
// saved would add up to more than the limit.
func (b *bucket) setAmount(at time.Time, amount int64, unlimited bool) {
	previous := b.amount
	b.amount, b.unlimited = amount, unlimited
	if b.countsCalls {
		return
	}
	perSecond, burst := float64(amount)/1000, max(1, int(amount/25_000)) // the calls of 40 ms
	if previous == 0 || amount == 0 {
		b.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		b.limiter.AllowN(at, burst)
		return
	}
	b.limiter.SetLimitAt(at, rate.Limit(perSecond))
	b.limiter.SetBurstAt(at, burst)
}

// wait returns how long until one more call can be admitted; 0 if it can be now.
func (b *bucket) wait(at time.Time) time.Duration {
	switch {
	case b.unlimited:
		return 0
	case b.countsCalls && b.inFlight < b.amount:
		return 0
	case b.countsCalls || b.amount == 0:
		return defaultRetryAfter
	}
	if missing := 1 - b.limiter.TokensAt(at); missing > 0 {
		return max(time.Millisecond, time.Duration(missing/float64(b.amount)*1000*float64(time.Second)))
	}
	return 0
}

// take consumes the token of one call, after wait has returned 0.
func (b *bucket) take(at time.Time) {
	if !b.unlimited {
		b.limiter.AllowN(at, 1)
	}
}

// sample updates the demand from the calls that were offered in the elapsed time.
func (b *bucket) sample(elapsed time.Duration) {
	observed := float64(b.offered) / elapsed.Seconds()
	if b.countsCalls {
		observed = float64(max(b.peakInFlight, b.inFlight) + b.refused)
	}
	b.offered, b.refused, b.peakInFlight = 0, 0, b.inFlight
	toward := func(average *float64, window time.Duration) {
		*average += (observed - *average) * (1 - math.Exp(-elapsed.Seconds()/window.Seconds()))
	}
	toward(&b.fastDemand, fastWindow)
	toward(&b.smoothDemand, slowWindow)
	if math.Abs(b.fastDemand-b.smoothDemand) > 2*demandNoise(b.smoothDemand, b.fastDemand) {
		b.smoothDemand = b.fastDemand
	}
	if b.smoothDemand < 0.05 {
		b.smoothDemand = 0
	}
}

// demandNoise returns the standard deviation of fastDemand for calls that arrive at random (a Poisson process).
func demandNoise(a, b float64) float64 { return math.Sqrt(max(a, b) / (2 * fastWindow.Seconds())) }

// demandChanged reports whether demand has changed enough since the last request for the next one to be sent early.
func (b *bucket) demandChanged() bool {
	if (b.reportedDemand == 0) != (b.smoothDemand == 0) && b.amount < b.unit() {
		return true
	}
	return math.Abs(b.smoothDemand-b.reportedDemand) > 0.1*b.reportedDemand+2*demandNoise(b.smoothDemand, b.reportedDemand) &&
		(b.smoothDemand*float64(b.unit()) > float64(b.amount) || b.smoothDemand < b.reportedDemand)
}

// unit returns one call in the limit's unit.
func (b *bucket) unit() int64 {
	if b.countsCalls {
		return 1
	}
	return 1000
}

// reportUse returns the usage for the next request. If demand has fallen, the process limits itself to less from now on, so that others can
// have the rest at once.
func (b *bucket) reportUse() lease.Use {
	unit := float64(b.unit())
	margin := 0.05*b.smoothDemand + demandNoise(b.smoothDemand, b.smoothDemand)/4
	use := lease.Use{Demand: int64(math.Ceil((b.smoothDemand + margin) * unit))}
	if b.smoothDemand == 0 {
		use.Demand = 0
	}
	use.Most = int64(max(unit, math.Ceil((b.smoothDemand+margin)*unit)))
	if b.countsCalls {
		use.Under = b.inFlight
		use.Most = max(use.Most, b.inFlight)
	}
	if b.reportedDemand >= b.smoothDemand*0.9 && b.reportedDemand <= b.smoothDemand*1.1 { // demand is steady: keep what was granted on top
		use.Most = -1
	}
	b.reportedDemand, b.askSoon = b.smoothDemand, false
	return use
}
