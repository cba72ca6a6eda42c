// Package protocol turns bytes into calls, answers, load reports and the registry's lists, and back. The
// types in this file are protocol-neutral: routing sees only them, and another protocol that makes Calls
// and Messages can be put before the same decisions.
package protocol

import "time"

// Call is one request of a client, read whole.
type Call struct {
	Class   int           // position in the settings
	Tenant  int           // position in the settings, 0 where there are none
	Budget  time.Duration // until the client gives this try up, less a margin for the way back
	Repeat  bool          // marked by the client as a further try
	Write   bool
	Message Message
	Left    <-chan struct{} // closed when the client has left
}

// Message is what a delegation carries to a worker.
type Message interface {
	// Encode returns the message for one delegation, which will be waited for no longer than remaining.
	// The slices are used until the delegation ends.
	Encode(worker string, remaining time.Duration) [][]byte
}

// Verdict is what became of a call.
type Verdict uint8

// The verdicts. Refused says that trying again is harmless; Failed promises nothing.
const (
	Failed Verdict = iota
	Served
	Refused
	Expired // failed because the time ran out
)

// Answer is the one final answer of a call.
type Answer struct {
	Verdict Verdict
	Wait    time.Duration // with Refused: how long to stay away, 0 for no advice
	Reply   *Reply        // with Served
}

// Kind is what a worker's reply says of the delegation.
type Kind uint8

// The kinds of reply.
const (
	ReplyServed Kind = iota
	ReplyError       // it may have run
	ReplyFull        // it never ran
)

// Reply is a worker's whole answer. Header is in the form of the protocol that read it.
type Reply struct {
	Kind   Kind
	Header []byte
	Body   []byte
	Load   []float32 // the load report, where one came
}
