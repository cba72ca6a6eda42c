package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// arrival is a request that has arrived whole at a worker.
type arrival struct {
	worker    *worker
	id, path  string
	firstByte time.Time
	lastByte  time.Time
	answer    string // the body that the worker makes for it
}

// worker is a booking server: it runs each request for a while and answers with a body that names it.
type worker struct {
	run        *run
	id, zone   string
	addr       string
	ln         *net.TCPListener
	workFrom   time.Duration // shortest time that a request runs
	workTo     time.Duration
	long       int                             // bytes of an answer's body; 0 for a short text
	endless    bool                            // an answer of unknown length goes on without end
	over       time.Duration                   // in which an answer is written, in pieces; 0 for at once
	ran        func(a *arrival)                // told of each request when its last byte has come; may be nil
	afterwards func(conn net.Conn, out string) // called when an answer has been written; may be nil

	mu      sync.Mutex
	paused  chan struct{} // closed when accepting goes on; nil while it does
	fillers []net.Conn
}

// startWorkers starts n workers, in turn in each of the halls.
func (r *run) startWorkers(n int, workFrom, workTo time.Duration) ([]*worker, error) {
	halls := []string{"hall-a", "hall-b", "hall-c", "hall-d"}
	var workers []*worker
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		w := &worker{run: r, id: fmt.Sprintf("s-%02d", i+1), zone: halls[i%len(halls)], addr: ln.Addr().String(),
			ln: ln.(*net.TCPListener), workFrom: workFrom, workTo: workTo}
		r.note(w.id, "listens at %s in %s", w.addr, w.zone)
		workers = append(workers, w)
	}
	return workers, nil
}

// serve accepts connections for as long as the program runs.
func (w *worker) serve() {
	for {
		conn, err := w.ln.Accept()
		if err == nil {
			go w.serveConn(conn)
			continue
		}
		w.mu.Lock()
		paused := w.paused
		w.mu.Unlock()
		if paused != nil {
			<-paused
		}
	}
}

// idleClose is how long a connection may be idle, as the settings say.
const idleClose = 5 * time.Second

// serveConn answers one request after another.
func (w *worker) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(idleClose))
		if _, err := reader.Peek(1); err != nil {
			return
		}
		a := &arrival{worker: w, firstByte: time.Now()}
		conn.SetReadDeadline(time.Now().Add(30 * time.Second))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		a.lastByte, a.id, a.path = time.Now(), request.Header.Get("X-Trace-Id"), request.URL.Path
		if a.path == "/_load" || a.path == "/ping" {
			report := "TEXT util=0.3, eps=0, queue=0"
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: %s\r\nContent-Length: %d\r\n\r\n%s", report, len(report), report)
			continue
		}
		a.answer = fmt.Sprintf("%s ran %s", w.id, a.id)
		w.run.noteAt(a.lastByte, w.id, "runs %s %s, first byte at %.4f", a.path, a.id, a.firstByte.Sub(w.run.begun).Seconds())
		if w.long > 0 {
			a.answer = strings.Repeat("0123456789abcdef", w.long/16)
		}
		if w.ran != nil {
			w.ran(a)
		}
		time.Sleep(w.workFrom + time.Duration(rand.Int64N(int64(w.workTo-w.workFrom)+1)))
		out := strings.Join([]string{"HTTP/1.1 200 OK", "Content-Type: text/plain", fmt.Sprintf("Content-Length: %d", len(a.answer)), "", a.answer}, "\r\n")
		if w.endless {
			w.writeEndless(conn, a.answer)
			return
		}
		if !w.write(conn, out) {
			return
		}
	}
}

// write writes an answer and reports whether that succeeded.
func (w *worker) write(conn net.Conn, out string) bool {
	const pieces = 50
	for i := range pieces - 1 {
		if w.over == 0 {
			break
		}
		piece := len(out) / (pieces - i)
		if _, err := io.WriteString(conn, out[:piece]); err != nil {
			w.run.note(w.id, "could write only a part of an answer: %v", err)
			return false
		}
		out = out[piece:]
		time.Sleep(w.over / pieces)
	}
	if n, err := io.WriteString(conn, out); err != nil {
		w.run.note(w.id, "could write only %d of %d bytes of an answer: %v", n, len(out), err)
		return false
	}
	if w.afterwards != nil {
		w.afterwards(conn, out)
	}
	return true
}

// writeEndless writes an answer in chunks, the first one at once and then a byte now and then, until the connection ends.
func (w *worker) writeEndless(conn net.Conn, first string) {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(first), first)
	for err == nil {
		time.Sleep(400 * time.Millisecond)
		_, err = io.WriteString(conn, "1\r\nx\r\n")
	}
}
