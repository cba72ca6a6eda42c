// The interface of this module (types, events, actions) is in api.go; its state and the index of servers,
// which decide nothing, are in state.go. Every decision is in this file and in those of one subject each:
// rules.go, members.go, choose.go, request.go, health.go, load.go.
//
// Ordinary path: rank servers by locality match to the sidecar's zone, leave out unhealthy ones, draw at
// random (by nominal size) in the best non-empty tier, step down tier by tier. docs/design.md lists the
// exceptions and when each acts.

package decide

import "time"

// Settings. None comes from a deployment; times are on the caller's clock.
const (
	draws        = 40              // draws in a tier before the best seen is taken; bounds the work of a send
	priorSamples = 4               // answers that the first guess of a class's latency counts for
	overdueDevs  = 3               // mean deviations past the mean at which an attempt is overdue
	retryShare   = 0.05            // retry budget: retries earned by each request
	retryBurst   = 1.0             // and the most that can be saved up
	answerFresh  = time.Second     // an answer that recent outweighs one broken connection
	softEject    = time.Second     // a first unanswered attempt keeps a server out this long
	baseEject    = 4 * time.Second // ejection after repeated or hard failures, doubled each time
	maxEject     = 32 * time.Second
	hardStrike   = 3    // evidence of a failed connection; 2 ejects, less suspends
	badRun       = 4    // unreadable answers, or breaks soon after an answer, in a row that are a failure
	trialWins    = 2    // answers a half-open server must give; one alone is weak evidence
	trialChance  = 0.5  // chance that a safe request is used as a trial when one is due
	panicShare   = 0.5  // soft evidence never leaves less than this share of a tier's weight in use
	headroom     = 1.4  // a tier carries its load until less than 1/headroom of its weight is able
	deadMisses   = 3    // failures without any answer in between that declare a tier dead
	subsetLeast  = 5    // servers of a tier that even the quietest sidecar draws from
	subsetUses   = 15.0 // sends to a server, within the time an idle connection lasts, that justify one more
	doubtSpill   = 0.5  // share sent elsewhere to find out whether a silent tier is lost or all are slow
	deadSilence  = 800 * time.Millisecond
	refDecay     = 60 * time.Second // how slowly a tier's remembered weight follows a shrinking list
	loadTau      = 2 * time.Second  // memory of a tier's load signal
	loadLow      = 0.3              // share of the slack used by waiting at which load is moved or shed
	loadSpan     = 0.8              // and the further share at which all of it is
	loadReset    = 8 * time.Second  // time in which the lasting pressure can go from none to all, or back
	unfeltMost   = 3                // requests shed with no attempt felt between, taken on trust
	unfeltFade   = 0.9              // and what each further one leaves of the pressure
	outlierSlow  = 2.0              // a server this many times slower than the others is an outlier
	outlierFelt  = 0.5              // and adds no more than this to the load signal
	shareOdds    = 20.0             // requests that a tenant's fair part is taken on trust for
	spillLeast   = 0.3              // difference in pressure under which nothing spills: noise of few samples
	busyWork     = 0.1              // part of the shortest aim that crossing must save, in work ahead
	busyFelt     = 0.05             // waiting at which one own attempt at each server is too many
	leanLeast    = 0.1              // difference in waiting under which no further share leaves the own zone
	leanTime     = 3 * time.Second  // time in which a difference of the whole slack moves all
	leanFade     = 8 * time.Second  // in which the share falls to a third where no difference is felt
	leanStep     = 500 * time.Millisecond
	leanMost     = 0.9
	spillGain    = 0.5  // part of a request's worth that a crossing must not cost more than
	coldRoom     = 3.0  // deviations of chance that the credit of warming servers leaves under the multiple
	coldRoomMany = 3.8  // the same where sidecars are many, of which each saves some
	coldLeast    = 0.5  // of its usual share that a warming server is given in any case
	coldMost     = 1.5  // and at most
	fewRequests  = 30.0 // allowed within the span, under which the rule leaves more to chance
	creditKept   = 0.25 // of the span in which a server falls: a whole credit not spent by then is lost
	outPower     = 8.0  // a server is drawn this steeply less with own attempts out there
	fastest      = 0.2  // latency against the rest below which a server is not preferred further
	holdStep     = 50 * time.Millisecond
	watchSlot    = 60 * time.Millisecond // first calls for the list are spread over this for each sidecar
	watchFirst   = 0.14                  // most wait after a first failure, of Safety.ToldWithin
	watchRetry   = 0.3                   // and after each further one
	healthMemory = 2 * time.Second       // age at which what was learned of a server's speed counts half
)

// Handle takes one event and returns what to do about it; the slice is valid until the next call.
func (b *Balancer) Handle(now time.Duration, e Event) []Action {
	b.now, b.acts = max(now, b.now), b.acts[:0]
	switch e.Kind {
	case Members:
		b.members(&e)
	case Request:
		b.request(&e)
	case First:
		if r := b.requests[e.ID]; r != nil {
			r.over = true // the client owns a stream that has begun
		}
	case Outcome:
		b.outcome(&e)
	case Left:
		if r := b.requests[e.ID]; r != nil {
			b.finish(r)
		}
	case Probed:
		b.probed(&e)
	case Timer:
		b.timer(e.Token)
	}
	return b.acts
}
