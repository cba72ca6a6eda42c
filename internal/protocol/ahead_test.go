package protocol

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http/httputil"
	"strconv"
	"testing"
	"time"

	"burlpass/internal/memory"
	"burlpass/internal/transport"
)

// delayedHandler answers calls after asking, as a delayed attempt would, whether their client is still there.
type delayedHandler struct {
	ask    chan struct{} // each receive lets one call ask
	states chan ClientState
	bodies chan []byte // what an attempt has sent of a call whose client is connected
	pieces int         // writes of the attempt after its first; may be read once bodies has been received from
}

func (h *delayedHandler) Healthy() bool { return true }

func (h *delayedHandler) Serve(call *Call) Answer {
	<-h.ask
	state := call.ClientState()
	h.states <- state
	if state != ClientConnected {
		return Answer{Verdict: Refused}
	}
	var sent bytes.Buffer
	for _, piece := range call.Message.Encode("w", time.Second) {
		sent.Write(piece)
	}
	err := call.Message.Rest()(func(piece net.Buffers, _ bool) error {
		h.pieces++
		for _, b := range piece {
			sent.Write(b)
		}
		return nil
	})
	if err != nil {
		return Answer{Verdict: Failed}
	}
	h.bodies <- sent.Bytes()
	return Answer{Verdict: Served, Reply: &Reply{Body: []byte("ok")}}
}

// serveUploads returns a client's connection to a server with the given budget.
func serveUploads(t *testing.T, budget *memory.Budget) (*delayedHandler, *net.TCPConn) {
	t.Helper()
	h := &delayedHandler{ask: make(chan struct{}), states: make(chan ClientState, 1), bodies: make(chan []byte, 1)}
	l, err := transport.Listen(transport.System{}, "127.0.0.1:0", 4, 1)
	if err != nil {
		t.Fatal(err)
	}
	closing, stop := context.WithCancel(context.Background())
	s := &Server{Handler: h, Classes: []string{"booking"}, Draining: closing, Closing: closing, Memory: budget, Log: slog.New(slog.DiscardHandler)}
	go l.Accept(s.Serve, nil)
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(); stop(); l.Close(); l.Wait() })
	return h, conn.(*net.TCPConn)
}

// drawnUpload is one long message and how its client sends it.
type drawnUpload struct {
	length  int
	chunked bool
	part    float64 // of the body that is sent before the client leaves
}

func drawUpload(random *rand.Rand) drawnUpload {
	u := drawnUpload{length: maxBufferedBody + 1 + int(float64(MaxBody-maxBufferedBody-1)*pow4(random.Float64())), chunked: random.IntN(2) == 0, part: 1}
	if random.IntN(3) == 0 {
		u.part = max(random.Float64(), float64(maxBufferedBody+1)/float64(u.length)) // else it is no call yet
	}
	return u
}

// pow4 prefers small values.
func pow4(x float64) float64 { return x * x * x * x }

// send writes the message, or the part that is drawn, until the connection takes no more.
func (u drawnUpload) send(conn net.Conn, body []byte) {
	framing := "Content-Length: " + strconv.Itoa(u.length)
	if u.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(conn, "POST /booking/x HTTP/1.1\r\nX-Trace-Id: t1\r\nX-Expires-In: 9000m\r\n%s\r\n\r\n", framing)
	out := io.WriteCloser(conn)
	if u.chunked {
		out = httputil.NewChunkedWriter(conn)
	}
	rest := body[:int(u.part*float64(u.length))]
	for len(rest) > 0 {
		n, err := out.Write(rest[:min(len(rest), 200_000)])
		if err != nil {
			return
		}
		rest = rest[n:]
	}
	if u.chunked && u.part == 1 {
		out.Close()
		io.WriteString(conn, "\r\n")
	}
}

// Guards against an attempt for a client that has left behind a long message that nobody has read: review/6.
func TestDisconnectSeenBehindLongMessage(t *testing.T) {
	random := rand.New(rand.NewPCG(6, 55))
	body := bytes.Repeat([]byte("0123456789abcdef"), MaxBody/16)
	for i := range 24 {
		u := drawUpload(random)
		budget := memory.NewBudget(40 << 20)
		if i%4 == 3 {
			budget = memory.NewBudget(300 << 10)
		}
		t.Run(fmt.Sprintf("%+v, budget %d", u, i%4), func(t *testing.T) {
			t.Parallel()
			h, conn := serveUploads(t, budget)
			sent := make(chan struct{})
			go func() { defer close(sent); u.send(conn, body) }()
			select {
			case <-sent:
			case <-time.After(50 * time.Millisecond): // its system takes no more
			}
			conn.Close()
			<-sent
			time.Sleep(100 * time.Millisecond) // what is allowed after the close
			h.ask <- struct{}{}
			if state := <-h.states; state == ClientConnected {
				t.Error("an attempt would begin")
			}
		})
	}
}

// Guards against a refusal, and against a damaged message, where the client has not left: what is read ahead reaches the worker unchanged.
func TestClientBehindLongMessageIsServed(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), MaxBody/16)
	for name, u := range map[string]drawnUpload{
		"length":      {length: 400 << 10, part: 1},
		"chunks":      {length: 400 << 10, part: 1, chunked: true},
		"5 MB":        {length: 5 << 20, part: 1},
		"5 MB chunks": {length: 5 << 20, part: 1, chunked: true},
	} {
		for _, slow := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, slow: %v", name, slow), func(t *testing.T) {
				t.Parallel()
				h, conn := serveUploads(t, memory.NewBudget(100<<20))
				go func() {
					if slow {
						u.send(&slowWriter{Conn: conn}, body)
					} else {
						u.send(conn, body)
					}
				}()
				time.Sleep(300 * time.Millisecond)
				h.ask <- struct{}{}
				if state := <-h.states; state != ClientConnected {
					t.Fatalf("state %d", state)
				}
				sent := <-h.bodies
				_, got, _ := bytes.Cut(sent, []byte("\r\n\r\n"))
				if u.chunked {
					got, _ = io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(got)))
				}
				if !bytes.Equal(got, body[:u.length]) {
					t.Errorf("%d bytes reach the worker, or others than the %d sent", len(got), u.length)
				}
			})
		}
	}
}

// slowWriter pauses for a millisecond after each 2 KiB of the first 700 KiB, so that its messages are still on their way when the attempt begins.
type slowWriter struct {
	net.Conn
	written int
}

func (w *slowWriter) Write(b []byte) (n int, err error) {
	const piece, paced = 2 << 10, 700 << 10
	for n < len(b) {
		end := len(b)
		if w.written < paced {
			end = min(len(b), n+piece)
			time.Sleep(time.Millisecond)
		}
		m, err := w.Conn.Write(b[n:end])
		n, w.written = n+m, w.written+m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
