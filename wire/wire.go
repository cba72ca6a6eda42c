// Package wire is the codec of the simulator's frames and its settings. It turns records into the plain
// types of package decide and back, checks every length against what is there, and holds no policy.
package wire

import (
	"math"
	"time"
)

// Codes of the events.
const (
	evProbed  = 16
	evLeft    = 17
	evTarget  = 18
	evFirst   = 19
	evDown    = 20
	evPeer    = 21
	evOutcome = 22
	evTimer   = 23
	evMembers = 24
	evCensus  = 25
	evRequest = 26
	evLaunch  = 27
)

// Codes of the actions.
const (
	acSend    = 16
	acRefuse  = 17
	acFail    = 18
	acCancel  = 19
	acWake    = 20
	acProbe   = 21
	acClose   = 22
	acTell    = 23
	acLog     = 24
	acBug     = 25
	acWatch   = 26
	acFetch   = 27
	acSpeaker = 28
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
