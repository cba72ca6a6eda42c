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
	shareWatch = 0.33 // the longest wait of a watch
	shareLate  = 0.12 // by which its answer may be late: past it the watch is broken
	shareQuick = 0.015
	sharePlain = 0.37 // of a call that need not wait

	// watchSpread is the part of a watch's wait by which waits differ: after a change that all sidecars have heard together
	// they would else ask together for ever.
	watchSpread = 0.2
)

// times are the bounds of calls to discovery.
type times struct {
	watch time.Duration // the longest wait of a watch
	late  time.Duration // by which its answer may be late
	quick time.Duration // the wait of the call that makes up for a silent watch
	plain time.Duration // in which a call has to be answered that need not wait
}

// timesWithin divides the time within which a change has to be heard of.
func timesWithin(told time.Duration) times {
	share := func(part float64) time.Duration { return time.Duration(part * float64(told)) }
	return times{watch: share(shareWatch), late: share(shareLate), quick: share(shareQuick), plain: share(sharePlain)}
}

// wait is the wait of one watch; at, from 0 to 1, is where in the spread.
func (t times) wait(at float64) time.Duration {
	return time.Duration((1 - watchSpread*at) * float64(t.watch))
}
