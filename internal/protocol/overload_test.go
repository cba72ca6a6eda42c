package protocol

import (
	"testing"
	"time"
)

// A lasting delay leads to refusals, of the classes with the lowest worth first; pauses of the whole process do not.
func TestOverloadDetector(t *testing.T) {
	const ms = time.Millisecond
	worth := []float64{1, 5, 10}
	for name, test := range map[string]struct {
		delays  []time.Duration // of the samples, repeated
		refused bool
	}{
		"on time":               {[]time.Duration{0, ms, 2 * ms}, false},
		"stopped now and then":  {[]time.Duration{72 * ms, ms, ms, 300 * ms, 0}, false},
		"a little late":         {[]time.Duration{30 * ms, 50 * ms}, true},
		"late, and stopped too": {[]time.Duration{400 * ms, 120 * ms}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var detector overloadDetector
			now := time.Now()
			refused := [3]int{}
			addSamples := func(delays []time.Duration) {
				for i := range 1000 {
					d := delays[i%len(delays)]
					now = now.Add(sampleInterval + d)
					detector.addSample(now, d)
					for class := range worth {
						if detector.shouldRefuse(class, worth) {
							refused[class]++
						}
					}
				}
			}
			addSamples(test.delays)
			if (refused[0] > 0) != test.refused || refused[0] < refused[1] || refused[1] < refused[2] || test.refused && refused[2] == 1000 {
				t.Errorf("refused by class: %v", refused)
			}
			addSamples([]time.Duration{0}) // the refusals end
			before := refused
			if addSamples([]time.Duration{0}); refused != before || detector.refusing.Load() {
				t.Errorf("refused %v after %v on time again", refused, before)
			}
		})
	}
}
