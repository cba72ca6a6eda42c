package crowd

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// departureHeader marks the requests of a client that leaves, with a name that is the same for all requests of its connection.
const departureHeader = "X-Departure"

// maxAttemptDelay is the time after a client's close within which an attempt may still begin: 0.1 s, with the slack of the pages.
const maxAttemptDelay = 150 * time.Millisecond

// departures records when clients have closed their connections, and the attempts that came too late after it.
type departures struct {
	closedAt sync.Map // time.Time by name
	late     atomic.Int64
}

// check counts a request that has reached a backend if its client had left long before.
func (d *departures) check(r *http.Request) {
	name := r.Header.Get(departureHeader)
	if name == "" {
		return
	}
	if at, left := d.closedAt.Load(name); left && time.Since(at.(time.Time)) > maxAttemptDelay {
		d.late.Add(1)
	}
}

// sendAndLeave writes requests of leaveBytes and closes the connection without reading an answer.
func (k FloodKind) sendAndLeave(ctx context.Context, addr string, departures *departures) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	conn.SetDeadline(time.Now().Add(floodTimeout))
	name := fmt.Sprintf("%016x", rand.Uint64())
	mark := departureHeader + ": " + name + "\r\n\r\n"
	var text strings.Builder
	for text.Len() < leaveBytes {
		head, body, _ := strings.Cut(k.request(), "\r\n\r\n")
		text.WriteString(head + "\r\n" + mark + body)
	}
	io.WriteString(conn, text.String())
	conn.Close()
	departures.closedAt.Store(name, time.Now())
}
