package routing

import (
	"time"

	"burlpass/internal/protocol"
)

// The registry reports a worker's start as Unix time. The wall clocks of both machines may be stepped, by seconds or by an
// hour, before this process starts as well as after. What this process has observed itself therefore bounds the reported
// start, erring towards a younger worker: a worker taken for younger than it is gets less load for a while, one taken for
// older is overloaded.

// maxNewStartAge is the greatest age assumed for a start that the registry first reports while this process is connected.
const maxNewStartAge = 2 * time.Second

// processStart is the start time of a worker's process, as reported by the registry and on the balancer's clock.
type processStart struct {
	reportedMs int64
	at         time.Duration
}

// startTime returns an instance's start on the balancer's clock; 0 means long ago. hadList is true if the registry has sent
// an earlier list, which did not have this start. A start keeps its time however often it is listed, also if its instance
// was missing from a list in between. The caller holds r.mu.
func (r *Router) startTime(instance *protocol.Instance, hadList bool) time.Duration {
	if instance.StartedMs == 0 {
		return 0
	}
	if known, ok := r.startTimes[instance.ID]; ok && known.reportedMs == instance.StartedMs {
		return known.at
	}
	now := r.now()
	at := min(time.Duration(instance.StartedMs)*time.Millisecond, now) // a start in the future counts as now
	if hadList {
		at = max(at, now-maxNewStartAge)
	}
	if _, ok := r.startTimes[instance.ID]; ok || len(r.startTimes) < maxSeenWorkers {
		r.startTimes[instance.ID] = processStart{instance.StartedMs, at}
	}
	return at
}
