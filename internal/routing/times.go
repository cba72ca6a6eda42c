package routing

import "time"

// Shares of the time after which a change counts as told, however the calls for it went. Discovery may have a change right
// after a watch fell silent, after a call that failed, or in the middle of either; with the module's waits after calls that
// failed (decide: watchFirst, watchRetry) every order of one silence and one further failure ends within that time, where
// discovery then answers at once:
//
//	a watch silent, the call after it silent:   watch + late + quick + plain
//	a watch silent, the call after it refused:  watch + late + quick + plain + watchFirst
//	a call refused, the next one refused:       2 x watchRetry + quick + plain
//	moved: silent, then refused:                2 x plain + watchFirst
//
// A plain call outlasts the time for which a discovery that takes calls in turn lets one wait (2 s are known), and then
// refuses it. Giving it up before and asking again would fill that turn with calls that nobody waits for, and no call would
// be answered any more.
const (
	watchWaitShare    = 0.33 // the longest wait of a watch
	watchGraceShare   = 0.12 // by which its answer may be late: past it the watch is broken
	catchUpWaitShare  = 0.015
	fetchTimeoutShare = 0.37 // of a call that need not wait

	// watchSpread is the part of a watch's wait by which waits differ: after a change that all sidecars have heard together
	// they would else ask together for ever.
	watchJitter = 0.2
)

// times are the bounds of calls to discovery.
type registryTimeouts struct {
	maxWatchWait time.Duration // the longest wait of a watch
	watchGrace   time.Duration // by which its answer may be late
	catchUp      time.Duration // the wait of the call that makes up for a silent watch
	fetchTimeout time.Duration // in which a call has to be answered that need not wait
}

// timesWithin divides the time within which a change has to be heard of.
func newRegistryTimeouts(learnWithin time.Duration) registryTimeouts {
	share := func(fraction float64) time.Duration { return time.Duration(fraction * float64(learnWithin)) }
	return registryTimeouts{maxWatchWait: share(watchWaitShare), watchGrace: share(watchGraceShare), catchUp: share(catchUpWaitShare), fetchTimeout: share(fetchTimeoutShare)}
}

// wait is the wait of one watch; at, from 0 to 1, is where in the spread.
func (t registryTimeouts) watchWait(position float64) time.Duration {
	return time.Duration((1 - watchJitter*position) * float64(t.maxWatchWait))
}
