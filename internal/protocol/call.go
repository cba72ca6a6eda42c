// Package protocol converts between bytes and calls, answers, load reports and the registry's lists. A call is a client's
// request, a worker is a backend, and the registry is the service discovery. The types in this file are independent of the
// protocol: routing sees only them, so another protocol that produces Calls and Messages can use the same routing.
package protocol

import (
	"time"

	"burlpass/internal/memory"
	"burlpass/internal/transport"
)

// Call is one request of a client. Its message is complete, or, if Upload is set, read up to the window that is kept for
// resending.
type Call struct {
	ID          []byte        // the client's trace ID, for the log; valid until the call ends
	Class       int           // index in the settings
	Tenant      int           // index in the settings, 0 if there are none
	Budget      time.Duration // until the client gives up on this request, less a margin for the response's way back
	Repeat      bool          // marked by the client as a retry
	Write       bool
	Message     Message
	ClientLeft  <-chan struct{}    // closed when the client has disconnected
	ClientState func() ClientState // checks whether the client is still connected; after ClientDisconnected, ClientLeft is closed or the call has ended; nil if that is unknown
	Upload      Upload             // the rest of a long message; nil if the message is complete
	Origin      *Origin            // what rules match on; nil if no rules are in use
}

// ClientState says whether the client of a call is still connected.
type ClientState uint8

// The states of a client.
const (
	ClientConnected ClientState = iota
	ClientDisconnected
	ClientUnknown // its end may stand behind bytes for which there is no memory
)

// Upload is the part of a call's message that is still to come.
type Upload interface {
	Complete() <-chan struct{} // closed when the last byte has been read
	Deadline() time.Time       // when the client gives up if the rest has arrived unread; moves on while the client still sends
	ReadStarted() bool         // part of it has been read, so that another attempt could not send it again
}

// Message is what an attempt sends to a worker.
type Message interface {
	// Encode returns the message for one attempt, which will be waited for no longer than remaining. It is called
	// right before the message is written, on any goroutine, and never after the attempt has ended. The slices are
	// used until the attempt ends.
	Encode(worker string, remaining time.Duration) [][]byte
	// Rest returns a function that writes the rest of the message, or nil if Encode returns all of it. It may be
	// called once for each attempt; the function it returns works for only one of them.
	Rest() func(transport.WriteFunc) error
}

// Verdict is the outcome of a call.
type Verdict uint8

// The verdicts. After Refused and Limited a retry is safe; after Failed the call may have run.
const (
	Failed Verdict = iota
	Served
	Refused
	Expired // failed because the deadline passed
	Limited // refused by a rule with 429; no part of it was sent to a worker
	Ended   // what the call asks for has been discontinued: 410; no part of it was sent to a worker
)

// Answer is the single final answer to a call.
type Answer struct {
	Verdict   Verdict
	Wait      time.Duration // with Refused and Limited: how long the client should stay away, 0 for no advice
	Reply     *Reply        // with Served
	Deadline  time.Time     // with Served: when the client gives up
	Header    string        // additional header lines with their line ends, written as they are
	Forwarded bool          // an attempt was written completely to a worker
	Written   func()        // called after the whole answer has been written to the client, on the goroutine that wrote it; may be nil
}

// Kind is what a worker's reply says about the attempt.
type Kind uint8

// The kinds of reply.
const (
	ReplyServed   Kind = iota
	ReplyError         // the call may have run
	ReplyNeverRan      // the call never ran
)

// Reply is a worker's reply. It is complete, or only its beginning if the attempt's Result has a Rest. Header is in the
// format of the protocol that read it.
type Reply struct {
	Kind   Kind
	Header []byte
	Body   []byte
	Load   []float32 // the load report, if there was one

	Length int64           // with a Rest: the length of the whole body, -1 if unknown
	Rest   *transport.Rest // the source of the remaining body, set by the caller that chooses this reply
	rest   bodyReader      // decodes the remaining body
	reuse  bool            // the connection may be reused afterwards
	memory *memory.Budget  // limits what is held of the body; nil for no limit
	grant  memory.Grant    // of Body
}

// Release gives back the memory of the body, which must not be used any more. Whoever gets a complete or beginning reply calls
// it. It may be called repeatedly, and on nil.
func (r *Reply) Release() {
	if r != nil {
		r.Body = nil
		r.grant.Release()
	}
}
