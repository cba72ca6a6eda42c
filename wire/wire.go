// Package wire is the codec of the simulator's frames and its settings. It turns records into the plain
// types of package decide and back, checks every length against what is there, and holds no policy.
package wire

import (
	"math"
	"time"
)

// Codes of the events.
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

// Codes of the actions.
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

const (
	batchHeader = 16
	entrySize   = 23
	maxLists    = 16
	maxFrame    = 1 << 30 // bytes; a longer frame is held to be garbage
	readChunk   = 1 << 20 // bytes allocated ahead of what has arrived

	maxClock = math.MaxInt64 / uint64(time.Microsecond)
)

// Bits of a request's bitmap.
const (
	bitHint   = 1
	bitRepeat = 2
	bitWrite  = 4
)
