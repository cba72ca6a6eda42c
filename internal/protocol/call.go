// Package protocol turns bytes into calls, answers, load reports and the registry's lists, and back. The
// types in this file are protocol-neutral: routing sees only them, and another protocol that makes Calls
// and Messages can be put before the same decisions.
package protocol

import (
	"time"

	"burlpass/internal/transport"
)

// Call is one request of a client, read whole, or up to its window where Upload is set.
type Call struct {
	ID      []byte        // the client's, for the log; valid until the call is over
	Class   int           // position in the settings
	Tenant  int           // position in the settings, 0 where there are none
	Budget  time.Duration // until the client gives this try up, less a margin for the way back
	Repeat  bool          // marked by the client as a further try
	Write   bool
	Message Message
	Left    <-chan struct{} // closed when the client has left
	Present func() bool     // looks whether the client is there; after a false Left is closed, or the call over; nil: nobody can tell
	Upload  Upload          // the rest of a long message; nil where that is whole
	Origin  *Origin         // what rules go by; nil where nobody asks
}

// Upload is what is still to come of a call's message.
type Upload interface {
	Whole() <-chan struct{} // closed when its last byte has been read
	End() time.Time         // when the client gives up if the rest has come unseen; moves on while it still sends
	Begun() bool            // some of it has been read: a further attempt could not send it again
}

// Message is what an attempt carries to a worker.
type Message interface {
	// Encode returns the message for one attempt, which will be waited for no longer than remaining. It is called
	// when the message is about to be written, on any goroutine, and not once the attempt has ended. The slices are
	// used until the attempt ends.
	Encode(worker string, remaining time.Duration) [][]byte
	// Rest returns what writes the rest of the message after that, nil where Encode gives all. It can be called once for
	// each attempt; what it returns works for one of them alone.
	Rest() func(transport.Write) error
}

// Verdict is what became of a call.
type Verdict uint8

// The verdicts. Refused says that trying again is harmless, and so does Limited; Failed promises nothing.
const (
	Failed Verdict = iota
	Served
	Refused
	Expired // failed because the time ran out
	Limited // a rule refuses it: 429, nothing of it has gone out
	Ended   // what it asks for has been ended: 410, nothing of it has gone out
)

// Answer is the one final answer of a call.
type Answer struct {
	Verdict Verdict
	Wait    time.Duration // with Refused and Limited: how long to stay away, 0 for no advice
	Reply   *Reply        // with Served
	End     time.Time     // with Served: when the client gives up
	Header  string        // further header lines, each with its line's end; written as they are
	Written func()        // called where all of it has been written to the client, on the goroutine that has; nil: nobody asks
}

// Kind is what a worker's reply says of the attempt.
type Kind uint8

// The kinds of reply.
const (
	ReplyServed Kind = iota
	ReplyError       // it may have run
	ReplyFull        // it never ran
)

// Reply is a worker's answer, whole, or its beginning where its attempt's Result has a Rest. Header is in the form of
// the protocol that read it.
type Reply struct {
	Kind   Kind
	Header []byte
	Body   []byte
	Load   []float32 // the load report, where one came

	Length int64           // with a Rest: of the whole body, -1 where that is not known
	Rest   *transport.Rest // where it comes from, set by whoever chooses this answer
	rest   framed          // its framing
	reuse  bool            // its connection may be used again after it
}
