package routing

import "time"

// Shares of the time within which the sidecar must learn of a change (decide.Safety.PropagationLimit), whatever happens to its
// exchanges with the registry. The registry may have a change right after a watch stopped responding, after an exchange that
// failed, or in the middle of either. Together with the balancer's delays after failed exchanges (decide: watchFirst,
// watchRetry), every sequence of one timeout and one further failure ends within that time if the registry then answers at
// once:
//
//	watch times out, next exchange times out:       maxWatchWait + watchGrace + catchUp + fetchTimeout
//	watch times out, next exchange is refused:      maxWatchWait + watchGrace + catchUp + fetchTimeout + watchFirst
//	exchange is refused, next exchange is refused:  2 x watchRetry + catchUp + fetchTimeout
//	registry moved: a timeout, then a refusal:      2 x fetchTimeout + watchFirst
//
// A registry that serves one exchange at a time lets an exchange wait in its queue (up to 2 s have been seen) and then
// refuses it. fetchTimeout is longer than that wait: giving up earlier and asking again would fill the queue with exchanges
// that nobody waits for, and none would be answered any more.
const (
	watchWaitShare    = 0.33 // longest wait of a watch
	watchGraceShare   = 0.12 // delay of a watch's answer beyond its wait after which the watch has failed
	catchUpWaitShare  = 0.015
	fetchTimeoutShare = 0.37 // for an exchange that is answered without waiting for a change

	// watchJitter is the share of a watch's wait that is random. Without it, sidecars that learned of a change at the same
	// time would go on asking at the same time.
	watchJitter = 0.2
)

// registryTimeouts bounds the exchanges with the registry.
type registryTimeouts struct {
	maxWatchWait time.Duration // longest wait of a watch
	watchGrace   time.Duration // delay of a watch's answer beyond its wait
	catchUp      time.Duration // wait of the watch that follows a timed-out one
	fetchTimeout time.Duration // for an exchange that is answered without waiting for a change
}

// newRegistryTimeouts divides the time within which the sidecar must learn of a change.
func newRegistryTimeouts(learnWithin time.Duration) registryTimeouts {
	share := func(fraction float64) time.Duration { return time.Duration(fraction * float64(learnWithin)) }
	return registryTimeouts{maxWatchWait: share(watchWaitShare), watchGrace: share(watchGraceShare),
		catchUp: share(catchUpWaitShare), fetchTimeout: share(fetchTimeoutShare)}
}

// watchWait returns the wait of one watch. position, from 0 to 1, selects a point in the jitter range.
func (t registryTimeouts) watchWait(position float64) time.Duration {
	return time.Duration((1 - watchJitter*position) * float64(t.maxWatchWait))
}
