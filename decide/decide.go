// The types of the API are in api.go; state and server index, which contain no decisions, are in state.go.
// Decisions are in this file and in one file per subject: rules.go, slowstart.go, members.go, choose.go,
// request.go, health.go, load.go.
//
// Normally servers are ranked in tiers by locality, unhealthy ones are left out, and a server is drawn at
// random by nominal size from the best tier that is not empty; the next tier is the fallback.
// docs/design.md lists the exceptions and their conditions.

package decide

import "time"

// Tuning constants; none is set by the deployment. Times are on the caller's clock.
const (
	// Random draws from a list before the best candidate seen is used; bounds the work per attempt.
	maxDraws = 40
	// Weight, in samples, of the initial estimate of a latency.
	priorSamples = 4
	// An attempt is overdue this many mean deviations past the mean latency.
	overdueDeviations = 3

	// Retry budget, as a token bucket.

	retryBudgetRatio = 0.05 // tokens earned by each request
	retryBudgetBurst = 1.0  // most tokens that can be saved

	// A successful answer this recent outweighs a single broken connection.
	recentAnswer = time.Second
	softEjection = time.Second // ejection after a first unanswered attempt
	// Ejection after repeated or hard failures, doubled each time.
	baseEjection = 4 * time.Second
	maxEjection  = 32 * time.Second
	// Weight of a failed connection; 2 is a full ejection, less a soft one.
	hardFailureWeight = 3
	// Consecutive unreadable answers, or breaks soon after an answer, that count as a failure.
	badResultLimit = 4
	// Answers that close a half-open server; a single one is weak evidence.
	requiredTrialSuccesses = 2
	// Probability that a suitable request is used as a trial when one is due.
	trialProbability = 0.5
	// Soft evidence never leaves less than this share of a tier's weight in use.
	panicThreshold = 0.5
	// A tier takes its whole load until less than 1/overprovisioning of its weight is available.
	overprovisioning = 1.4

	// A tier may be down after this many failures without an answer in between, and this long without one.
	outageMisses  = 3
	outageSilence = 800 * time.Millisecond
	// Share sent elsewhere to find out whether a silent tier is down or every tier is slow.
	outageSpillShare = 0.5

	// Servers of a tier that even a balancer with little traffic draws from.
	minSubsetSize = 5
	// Attempts per idle-connection lifetime that justify one more server in the subset.
	sendsPerSubsetServer = 15.0
	// How slowly a tier's reference weight follows a shrinking list.
	referenceWeightDecay = 60 * time.Second

	// Load signal and load shedding.

	loadMemory = 2 * time.Second // time constant of a tier's load signal
	// Load (share of the slack spent waiting) above which work is moved or shed.
	pressureThreshold = 0.3
	// Load above the threshold at which all work is moved or shed.
	pressureRange = 0.8
	// Time in which the sustained pressure can go from zero to all, or back.
	sustainedPressureTime = 8 * time.Second
	// Requests shed in a row without a load sample before the pressure decays.
	maxUnsampledSheds  = 3
	unsampledShedDecay = 0.9 // factor applied to the pressure by each further one
	// A server this many times slower than the others is an outlier.
	outlierRatio   = 2.0
	outlierMaxLoad = 0.5 // most that an outlier adds to the load signal
	// Weight, in requests, of the assumption that a tenant keeps to its share.
	tenantPriorRequests = 20.0

	// Routing to another zone.

	// Pressure difference below which nothing spills; smaller ones are noise of few samples.
	minSpillGap = 0.3
	// Share of the shortest aim that crossing must save in queued work.
	minQueueSaving = 0.1
	// Load above which a single outstanding attempt at each own server is too many.
	minCrossingLoad = 0.05
	// Load difference up to which the cross-zone share does not grow.
	crossZoneMinGap = 0.1
	// Time in which a load difference of 1 moves all requests.
	crossZoneRiseTime = 3 * time.Second
	// Time in which the share falls to 1/e without a load difference.
	crossZoneDecay    = 8 * time.Second
	crossZoneMaxStep  = 500 * time.Millisecond
	crossZoneMaxShare = 0.9
	// Share of a request's worth that crossing must not cost more than.
	maxCrossingCost = 0.5

	// Slow start; the window is Safety.OverloadWindow.

	// Standard deviations of random arrivals that the credit leaves below the limit.
	slowStartMargin = 3.0
	// The same with many balancers, each of which may hold some credit.
	slowStartMarginMany = 3.8
	// Least part of its usual share that a warming server gets.
	minSlowStartShare = 0.5
	maxSlowStartShare = 1.5 // and the most
	// Requests allowed in the window below which the rule tolerates more random variation.
	smallRequestCount = 30.0
	// Share of the window after which an unspent whole credit expires.
	creditRetention = 0.25

	// How steeply own outstanding attempts lower a server's chance to be drawn.
	outstandingExponent = 8.0
	// Relative latency below which a server is not preferred further.
	minLatencyRatio = 0.2
	// Age at which a server's measured latency ratio counts half.
	latencyRatioHalfLife = 2 * time.Second
	holdInterval         = 50 * time.Millisecond

	// Calls to discovery.

	// First calls of all balancers are spread over this time for each of them.
	initialWatchSpread = 60 * time.Millisecond
	// Longest wait after a first failure, as a share of Safety.PropagationLimit.
	firstWatchBackoff = 0.14
	nextWatchBackoff  = 0.3 // and after each further one
)

// Handle processes one event and returns the actions to carry out. The slice is valid until the next call.
func (b *Balancer) Handle(now time.Duration, e Event) []Action {
	b.now, b.actions = max(now, b.now), b.actions[:0]
	switch e.Kind {
	case Members:
		b.handleMembers(&e)
	case Request:
		b.handleRequest(&e)
	case StreamStarted:
		if r := b.requests[e.ID]; r != nil {
			r.done = true // the answer has begun to reach the client: no retry from here on
		}
	case Outcome:
		b.handleOutcome(&e)
	case ClientLeft:
		if r := b.requests[e.ID]; r != nil {
			b.finish(r)
		}
	case ProbeResult:
		b.handleProbeResult(&e)
	case Timer:
		b.handleTimer(e.Token)
	}
	return b.actions
}
