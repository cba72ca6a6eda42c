package program

import (
	"runtime/metrics"

	"burlpass/internal/protocol"
)

// runDelayMetric is the runtime's histogram of the time that goroutines have waited, ready to run, since the process began.
const runDelayMetric = "/sched/latencies:seconds"

// runDelayBounds are the upper bounds of the reported counts, in milliseconds.
var runDelayBounds = []float64{1, 5, 25, 100, 500}

// readRunDelays returns how long runnable work has waited for the processor.
func readRunDelays() []protocol.DelayCount {
	samples := []metrics.Sample{{Name: runDelayMetric}}
	metrics.Read(samples)
	if samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		return nil
	}
	return sumBuckets(samples[0].Value.Float64Histogram(), runDelayBounds)
}

// sumBuckets adds up the buckets of a histogram of seconds between the given bounds.
func sumBuckets(histogram *metrics.Float64Histogram, boundsMs []float64) []protocol.DelayCount {
	counts := make([]protocol.DelayCount, len(boundsMs)+1)
	for i, bound := range boundsMs {
		counts[i].UnderMs = bound
	}
	for i, n := range histogram.Counts {
		startMs := histogram.Buckets[i] * 1000
		at := 0
		for at < len(boundsMs) && startMs >= boundsMs[at] {
			at++
		}
		counts[at].Count += n
	}
	return counts
}
