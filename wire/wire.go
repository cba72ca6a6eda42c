// Package wire encodes and decodes the simulator's binary frames and its settings text. It converts records to
// and from the types of package decide and checks every length against the bytes available; it holds no policy.
package wire

import (
	"math"
	"time"
)

// Record codes of events, from the simulator to the balancer.
const (
	eventProbeResult    = 16
	eventClientLeft     = 17
	eventTarget         = 18
	eventFirstByte      = 19
	eventInstanceDown   = 20
	eventPeerMessage    = 21
	eventAttemptEnded   = 22
	eventTimer          = 23
	eventDiscovery      = 24
	eventServerList     = 25
	eventRequest        = 26
	eventInstanceLaunch = 27
)

// Record codes of actions, from the balancer to the simulator.
const (
	actionSend        = 16
	actionRefuse      = 17
	actionFail        = 18
	actionCancel      = 19
	actionTimer       = 20
	actionProbe       = 21
	actionClose       = 22
	actionPeerMessage = 23
	actionLog         = 24
	actionBug         = 25
	actionWatch       = 26
	actionFetch       = 27
	actionInstance    = 28
)

// Sizes in bytes, and limits on what a frame may hold.
const (
	batchHeaderSize = 16
	serverEntrySize = 23
	maxServerLists  = 16
	maxFrameSize    = 1 << 30 // a longer frame is treated as corrupt
	readChunkSize   = 1 << 20 // allocated ahead of the bytes that have arrived

	maxClockMicros = math.MaxInt64 / uint64(time.Microsecond)
)

// Bits of a request's flags field.
const (
	flagWorkHint = 1
	flagRepeat   = 2
	flagWrite    = 4
)
