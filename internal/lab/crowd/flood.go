package crowd

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// FloodKind is what a flood sends.
type FloodKind string

// The kinds of flood. Every request has a new ID, but for those of RepeatedID.
const (
	ExpiredRequests FloodKind = "expired-requests" // with 1 ms of time
	InvalidTime     FloodKind = "invalid-time"     // a time that is no number
	NewClasses      FloodKind = "new-classes"      // ever new classes
	MissingID       FloodKind = "missing-id"
	RepeatedID      FloodKind = "repeated-id"   // always the same ID
	HealthChecks    FloodKind = "health-checks" // of the sidecar itself
	ShortBookings   FloodKind = "short-bookings"
	ValidRequests   FloodKind = "valid-requests"  // small, with much time
	Unreadable      FloodKind = "unreadable"      // no HTTP at all
	SmallChunks     FloodKind = "small-chunks"    // bodies in chunks of one byte
	LongBodies      FloodKind = "long-bodies"     // of backendUpload bytes
	LongAnswers     FloodKind = "long-answers"    // of longAnswer bytes
	InterimAnswers  FloodKind = "interim-answers" // to workers that send interim responses at full speed before any answer
	OperatorStats   FloodKind = "operator-stats"  // STATS at the operators' address, each on a connection of its own
	DiscoveryLists  FloodKind = "discovery-lists" // no connections of its own: discovery answers each watch at once with a new list
)

// FloodKinds lists all kinds.
var FloodKinds = []FloodKind{ExpiredRequests, InvalidTime, NewClasses, MissingID, RepeatedID, HealthChecks, ShortBookings, ValidRequests,
	Unreadable, SmallChunks, LongBodies, LongAnswers, InterimAnswers, OperatorStats, DiscoveryLists}

// FloodMode is how the connections of a flood send.
type FloodMode string

// The modes.
const (
	SendAhead FloodMode = "ahead"      // requests are written at full speed, and answers are read as they come
	OneByOne  FloodMode = "one-by-one" // each request is written when the answer to the one before has come
	Reopen    FloodMode = "reopen"     // each request has a new connection

	// SendAndLeave writes leaveBytes of requests at once, closes the connection without reading, and does so again after leavePause.
	SendAndLeave FloodMode = "send-and-leave"
)

// FloodModes lists all modes.
var FloodModes = []FloodMode{SendAhead, OneByOne, Reopen, SendAndLeave}

// Flood is a number of connections that send requests at full speed and read whatever they are sent.
type Flood struct {
	Kind        FloodKind
	Mode        FloodMode
	Connections int
}

const (
	floodBatch    = 32       // requests in one write of SendAhead
	floodBuffer   = 64 << 10 // bytes of a read
	chunkedLength = 8 << 10  // bytes of a body in chunks of one byte
	floodTimeout  = 3 * time.Second
	leaveBytes    = 3 << 20
	leavePause    = 500 * time.Millisecond
)

// run floods the address until ctx is done, and counts the bytes that it is sent.
func (f Flood) run(ctx context.Context, address func() string, received *atomic.Int64, departures *departures) {
	var connections sync.WaitGroup
	for range f.Connections {
		connections.Go(func() {
			for ctx.Err() == nil {
				if f.Mode == SendAndLeave {
					f.Kind.sendAndLeave(ctx, address(), departures)
					sleep(ctx, vary(leavePause))
				} else if !f.connect(ctx, address(), received) {
					sleep(ctx, floodPause)
				}
			}
		})
	}
	connections.Wait()
}

// connect uses one connection until it ends. It reports whether there was one.
func (f Flood) connect(ctx context.Context, addr string, received *atomic.Int64) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.(*net.TCPConn).SetLinger(0)
	buffer := make([]byte, floodBuffer)
	switch f.Mode {
	case SendAhead:
		go func() {
			for {
				if _, err := io.WriteString(conn, f.Kind.batch()); err != nil {
					return
				}
			}
		}()
		for {
			n, err := conn.Read(buffer)
			received.Add(int64(n))
			if err != nil {
				return true
			}
		}
	case OneByOne:
		for f.Kind.exchange(conn, buffer, received) {
		}
	case Reopen:
		f.Kind.exchange(conn, buffer, received)
	}
	return true
}

// exchange writes one request and reads until something of an answer has come. It reports whether the connection is still open.
func (k FloodKind) exchange(conn net.Conn, buffer []byte, received *atomic.Int64) bool {
	conn.SetDeadline(time.Now().Add(floodTimeout))
	if _, err := io.WriteString(conn, k.request()); err != nil {
		return false
	}
	n, err := conn.Read(buffer)
	received.Add(int64(n))
	return err == nil
}

// batch returns the text of one write of SendAhead.
func (k FloodKind) batch() string {
	if k == SmallChunks || k == LongBodies || k == LongAnswers {
		return k.request()
	}
	var text strings.Builder
	for range floodBatch {
		text.WriteString(k.request())
	}
	return text.String()
}

// oneByteChunks is a body of chunkedLength bytes in chunks of one byte.
var oneByteChunks = strings.Repeat("1\r\nx\r\n", chunkedLength) + "0\r\n\r\n"

// longBody is a body of backendUpload bytes.
var longBody = strings.Repeat("b", backendUpload)

// request returns one request.
func (k FloodKind) request() string {
	switch k {
	case ExpiredRequests:
		return requestHead("GET", "availability/x", time.Millisecond) + "\r\n"
	case InvalidTime:
		return fmt.Sprintf("GET /availability HTTP/1.1\r\nX-Trace-Id: %x\r\nX-Qos: availability\r\nX-Expires-In: soon\r\n\r\n", rand.Uint64())
	case NewClasses:
		class := rand.Uint64()
		return fmt.Sprintf("GET /class-%x HTTP/1.1\r\nX-Trace-Id: %x\r\nX-Qos: class-%x\r\nX-Expires-In: 100m\r\n\r\n", class, rand.Uint64(), class)
	case MissingID:
		return "GET /availability HTTP/1.1\r\nX-Qos: availability\r\nX-Expires-In: 100m\r\n\r\n"
	case RepeatedID:
		return "GET /availability HTTP/1.1\r\nX-Trace-Id: always-the-same\r\nX-Qos: availability\r\nX-Expires-In: 100m\r\n\r\n"
	case HealthChecks:
		return "GET /_health HTTP/1.1\r\n\r\n"
	case ShortBookings:
		return requestHead("POST", "booking/x", 300*time.Millisecond) + "Content-Length: 1\r\n\r\nx"
	case ValidRequests:
		return requestHead("GET", "availability/x", hostileDeadline) + "\r\n"
	case LongBodies:
		return bodyHead("x", backendUpload) + longBody
	case InterimAnswers:
		return requestHead("GET", "availability/"+interimPath, hostileDeadline) + "\r\n"
	case OperatorStats:
		return "STATS\n"
	case LongAnswers:
		return requestHead("GET", "availability/"+longPath, hostileDeadline) + "\r\n"
	case SmallChunks:
		return requestHead("POST", "booking/x", hostileDeadline) + "Transfer-Encoding: chunked\r\n\r\n" + oneByteChunks
	}
	return fmt.Sprintf("%x\r\n\r\n", rand.Uint64())
}

// FloodLoad is the traffic of an application beside a flood.
var FloodLoad = Load{Clients: 24, Pause: 38 * time.Millisecond, MinDeadline: 106 * time.Millisecond, MaxDeadline: 400 * time.Millisecond}

// String returns the flood as ParseFlood takes it.
func (f Flood) String() string {
	if f == (Flood{}) {
		return noFlood
	}
	return fmt.Sprintf("%s/%s/%d", f.Kind, f.Mode, f.Connections)
}

// noFlood is the text of the zero Flood, which does nothing.
const noFlood = "none"

// ParseFlood parses a flood, written as KIND/MODE/CONNECTIONS, or none.
func ParseFlood(text string) (Flood, error) {
	if text == noFlood {
		return Flood{}, nil
	}
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return Flood{}, fmt.Errorf("flood %q: want KIND/MODE/CONNECTIONS", text)
	}
	connections, err := strconv.Atoi(parts[2])
	f := Flood{FloodKind(parts[0]), FloodMode(parts[1]), connections}
	if err != nil || connections < 0 || !slices.Contains(FloodKinds, f.Kind) || !slices.Contains(FloodModes, f.Mode) {
		return Flood{}, fmt.Errorf("flood %q: kinds %v, modes %v, connections 0 or more", text, FloodKinds, FloodModes)
	}
	return f, nil
}
