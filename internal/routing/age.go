package routing

import (
	"time"

	"burlpass/internal/protocol"
)

// Discovery tells a backend's start as Unix time, and a machine's wall clock may be stepped, by seconds or by an hour, before
// this process starts as well as after. What this process has seen itself bounds what the clocks say, to the cold side: a
// backend that is held to be younger than it is gets less for a while, one that is held to be older falls over.

// newsAge is how old a start is held to be at most that discovery tells of while this process listens.
const maxNewStartAge = 2 * time.Second

// start is when a backend's process started, as discovery tells it and on the module's clock.
type processStart struct {
	reportedMs int64
	at         time.Duration
}

// started is an instance's start on the module's clock; 0 means long ago. news tells that a list from before, which discovery
// itself had given, did not have this start. A start keeps its time however often it is listed, and also where its instance
// was left out in between. It is called under the lock.
func (r *Router) startTime(instance *protocol.Instance, hadList bool) time.Duration {
	if instance.StartedMs == 0 {
		return 0
	}
	if known, ok := r.startTimes[instance.ID]; ok && known.reportedMs == instance.StartedMs {
		return known.at
	}
	now := r.now()
	at := min(time.Duration(instance.StartedMs)*time.Millisecond, now) // a start to come is one of now
	if hadList {
		at = max(at, now-maxNewStartAge)
	}
	if _, ok := r.startTimes[instance.ID]; ok || len(r.startTimes) < maxSeenWorkers {
		r.startTimes[instance.ID] = processStart{instance.StartedMs, at}
	}
	return at
}
