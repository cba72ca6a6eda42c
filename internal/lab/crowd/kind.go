package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Kind is one way in which the clients of a crowd behave.
type Kind string

// The kinds of client.
const (
	PartialFields  Kind = "partial-fields"  // heads of many short fields, stopped before the end
	ManyFields     Kind = "many-fields"     // the same heads, whole, on kept connections
	LargeHeads     Kind = "large-heads"     // heads beyond any limit
	PartialBody    Kind = "partial-body"    // 63 of 64 KiB of a body, then stopped
	PartialUpload  Kind = "partial-upload"  // 2 of 4 MiB of a body, then stopped
	SlowBody       Kind = "slow-body"       // 60 KiB of a body at slowRate
	SlowBackend    Kind = "slow-backend"    // 1 MiB to a backend that reads at slowRate
	SlowReader     Kind = "slow-reader"     // answers of 32 MiB, read at slowRate
	Pipelined      Kind = "pipelined"       // eight answers of 60 KiB asked for ahead, read at slowRate
	SmallFlood     Kind = "small-flood"     // one client that sends small requests at full speed, each with a new ID
	MalformedFlood Kind = "malformed-flood" // one client that sends malformed requests at full speed, each with a new name
)

// Kinds lists all kinds.
var Kinds = []Kind{PartialFields, ManyFields, LargeHeads, PartialBody, PartialUpload, SlowBody, SlowBackend, SlowReader, Pipelined,
	SmallFlood, MalformedFlood}

const (
	slowRate      = 66_000                 // bytes per second; the operators' slowest clients reach 64 kB
	slowPause     = 250 * time.Millisecond // between two pieces at slowRate
	hostilePause  = 2 * time.Second        // between two connections or exchanges of a client, but for floods
	floodPause    = 20 * time.Millisecond  // between two connections of a flood
	stoppedWait   = 4 * time.Second        // a stopped client waits this long for its error or close
	dialTimeout   = 2 * time.Second
	pipelineDepth = 8

	fieldBytes    = 7600 // of a head of short fields, below the limit of 8 KiB
	largeHead     = 20_000
	shortBody     = 64 << 10
	slowBodySize  = 60 << 10
	uploadSize    = 4 << 20
	backendUpload = 1 << 20
)

// flood reports whether a single client makes up the crowd.
func (k Kind) flood() bool { return k == SmallFlood || k == MalformedFlood }

// shortFields is a head's worth of the shortest fields.
var shortFields = strings.Repeat("a:\r\n", fieldBytes/len("a:\r\n"))

// requestHead returns the head of a request up to its last field, with a new ID.
func requestHead(method, path string, deadline time.Duration) string {
	class, _, _ := strings.Cut(path, "/")
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %016x\r\nX-Qos: %s\r\nX-Expires-In: %dm\r\n",
		method, path, rand.Uint64(), class, deadline.Milliseconds())
}

// hostileDeadline is how long the crowd's requests may take.
const hostileDeadline = 2 * time.Second

// hostileClient opens one connection after another until ctx is done.
func hostileClient(ctx context.Context, addr string, kind Kind) {
	dialer := net.Dialer{Timeout: dialTimeout}
	for ctx.Err() == nil {
		if conn, err := dialer.DialContext(ctx, "tcp", addr); err == nil {
			end := context.AfterFunc(ctx, func() { conn.Close() })
			tcp := conn.(*net.TCPConn)
			tcp.SetLinger(0)
			kind.misbehave(tcp)
			end()
			conn.Close()
		}
		sleep(ctx, vary(kind.pause()))
	}
}

// pause is the mean time between two connections of a client.
func (k Kind) pause() time.Duration {
	if k.flood() {
		return floodPause
	}
	return hostilePause
}

// vary returns a time from half of d to one and a half of it.
func vary(d time.Duration) time.Duration { return time.Duration(float64(d) * (0.5 + rand.Float64())) }

// sleep waits for d, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// misbehave uses one connection until the sidecar or the end of the play closes it.
func (k Kind) misbehave(conn *net.TCPConn) {
	switch k {
	case PartialFields:
		sendAndStop(conn, requestHead("GET", "availability/x", hostileDeadline)+shortFields)
	case LargeHeads:
		sendAndStop(conn, requestHead("GET", "availability/x", hostileDeadline)+strings.Repeat("a:\r\n", largeHead/len("a:\r\n")))
	case PartialBody:
		sendAndStop(conn, bodyHead("x", shortBody)+strings.Repeat("b", shortBody-1<<10))
	case PartialUpload:
		sendAndStop(conn, bodyHead("x", uploadSize)+strings.Repeat("b", uploadSize/2))
	case ManyFields:
		repeat(conn, func(r *bufio.Reader) error {
			defer time.Sleep(vary(hostilePause))
			return exchange(conn, r, requestHead("GET", "availability/x", hostileDeadline)+shortFields+"\r\n")
		})
	case SlowBody:
		repeat(conn, func(r *bufio.Reader) error {
			if err := writeSlowly(conn, bodyHead("x", slowBodySize), slowBodySize); err != nil {
				return err
			}
			return exchange(conn, r, "")
		})
	case SlowBackend:
		repeat(conn, func(r *bufio.Reader) error {
			return exchange(conn, r, bodyHead(slowReadPath, backendUpload)+strings.Repeat("b", backendUpload))
		})
	case SlowReader:
		conn.SetReadBuffer(16 << 10)
		repeat(conn, func(*bufio.Reader) error {
			return readSlowly(conn, requestHead("GET", "availability/"+longPath, hostileDeadline)+"\r\n")
		})
	case Pipelined:
		conn.SetReadBuffer(16 << 10)
		var requests strings.Builder
		for range pipelineDepth {
			requests.WriteString(requestHead("GET", "availability/"+mediumPath, hostileDeadline) + "\r\n")
		}
		readSlowly(conn, requests.String())
	case SmallFlood:
		repeat(conn, func(r *bufio.Reader) error {
			return exchange(conn, r, requestHead("GET", "availability/x", hostileDeadline)+"\r\n")
		})
	case MalformedFlood:
		repeat(conn, func(r *bufio.Reader) error {
			return exchange(conn, r, fmt.Sprintf("GET /class-%x HTTP/1.1\r\nX-Trace-Id: %x\r\nX-Qos: class-%x\r\n\r\n", rand.Uint64(), rand.Uint64(), rand.Uint64()))
		})
	}
}

// bodyHead returns the whole head of a request with a body.
func bodyHead(path string, length int) string {
	return requestHead("POST", "booking/"+path, hostileDeadline) + fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
}

// sendAndStop sends part of a request and waits for the sidecar to end it.
func sendAndStop(conn *net.TCPConn, part string) {
	conn.SetDeadline(time.Now().Add(stoppedWait))
	io.WriteString(conn, part)
	io.Copy(io.Discard, conn)
}

// repeat makes one exchange after another until one fails.
func repeat(conn *net.TCPConn, exchange func(r *bufio.Reader) error) {
	r := bufio.NewReaderSize(conn, 4<<10)
	for exchange(r) == nil {
	}
}

// exchange sends a message and reads the whole response.
func exchange(conn *net.TCPConn, r *bufio.Reader, message string) error {
	if _, err := io.WriteString(conn, message); err != nil {
		return err
	}
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	if _, err = io.Copy(io.Discard, response.Body); err == nil && response.Close {
		err = io.EOF
	}
	return err
}

// writeSlowly sends a head and then a body at slowRate.
func writeSlowly(conn *net.TCPConn, head string, body int) error {
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	piece := make([]byte, int(slowRate*slowPause.Seconds()))
	for body > 0 {
		n, err := conn.Write(piece[:min(body, len(piece))])
		if err != nil {
			return err
		}
		body -= n
		time.Sleep(slowPause)
	}
	return nil
}

// readSlowly sends a message and reads whatever comes at slowRate, until the connection ends.
func readSlowly(conn *net.TCPConn, message string) error {
	if _, err := io.WriteString(conn, message); err != nil {
		return err
	}
	piece := make([]byte, int(slowRate*slowPause.Seconds()))
	for {
		if _, err := conn.Read(piece); err != nil {
			return err
		}
		time.Sleep(slowPause)
	}
}
