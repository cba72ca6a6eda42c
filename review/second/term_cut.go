package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["term-cut"] = termCut }

const (
	answerBytes = 2 << 20
	answerPiece = 16 << 10
	pieceEach   = 50 * time.Millisecond // an answer takes 6.4 s
	longAnswers = 6
	termAfter   = time.Second
	killAfter   = 10 * time.Second // after SIGTERM; 3.7 s is the least
)

// longAnswer is the answer that the worker makes for a request.
func longAnswer(id string) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%-15s\n", id)), answerBytes/16)
}

// termCut: a planned restart while a worker that is slow, but never pauses, gives long answers.
func termCut(g *rig) error {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{IdleTimeout: 5 * time.Second, Handler: http.HandlerFunc(g.answerSlowly)}
	go server.Serve(ln)
	reg := newRegistry(g, &entry{ID: "s-1", Addr: ln.Addr().String(), Zone: hall(0), Kind: "standard", Lifecycle: "up", Weight: 1, changed: 1})
	at, err := reg.serve("r")
	if err != nil {
		return err
	}
	s, err := g.newSidecar("n1", at.addr, reg.known(), athens())
	if err != nil {
		return err
	}
	if err := s.start(); err != nil {
		return err
	}
	var mu sync.Mutex
	var cut []string
	var failed error
	var calls sync.WaitGroup
	for i := range longAnswers {
		calls.Go(func() {
			id := fmt.Sprintf("n1-%d", i)
			whole, err := g.takeAnswer(s.listen, id)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
			} else if !whole {
				cut = append(cut, id)
			}
		})
	}
	if err := g.pause(termAfter); err != nil {
		return err
	}
	if g.trouble {
		g.note("platform: SIGTERM")
		s.signal(syscall.SIGTERM)
		term := time.Now()
		select {
		case <-s.done:
			g.note("platform: the sidecar has ended by itself, %.3f s after SIGTERM: %v", time.Since(term).Seconds(), s.cmd.ProcessState)
		case <-time.After(killAfter):
			g.note("platform: SIGKILL, %v after SIGTERM", killAfter)
			s.kill()
			calls.Wait()
			return failed // what SIGKILL finds unanswered of the time before SIGTERM is not lost
		}
	}
	calls.Wait()
	if failed != nil {
		return failed
	}
	if len(cut) > 0 {
		return broken(fmt.Sprintf("the sidecar cut off %d of %d answers that the worker still gave, and ended by itself", len(cut), longAnswers))
	}
	return nil
}

// answerSlowly gives a long answer in small pieces.
func (g *rig) answerSlowly(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Trace-Id")
	if id == "" {
		fmt.Fprint(w, "TEXT util=0.10, eps=0.00, queue=0")
		return
	}
	g.note("worker: %s has come", id)
	b := longAnswer(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	for n := 0; n < len(b); n += answerPiece {
		if _, err := w.Write(b[n : n+answerPiece]); err != nil {
			g.note("worker: %s: the sidecar has closed after %d bytes: %v", id, n, err)
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(pieceEach)
	}
	g.note("worker: %s: the whole answer is given", id)
}

// takeAnswer makes a call on a connection of its own and takes the answer for as long as it comes. It reports whether that was whole.
func (g *rig) takeAnswer(addr, id string) (bool, error) {
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	began := time.Now()
	if _, err := fmt.Fprintf(conn, "GET /availability/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\nX-Qos: availability\r\nX-Expires-In: 2000m\r\n\r\n", id); err != nil {
		return false, err
	}
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false, err
	}
	first := time.Since(began)
	if a.StatusCode != http.StatusOK {
		return false, fmt.Errorf("%s: %d", id, a.StatusCode)
	}
	b, err := io.ReadAll(a.Body)
	g.note("client: %s: 200, the first bytes after %.3f s, %d of %d bytes after %.3f s: %v", id, first.Seconds(), len(b), answerBytes, time.Since(began).Seconds(), err)
	if err == nil && !bytes.Equal(b, longAnswer(id)) {
		return false, broken("a wrong answer")
	}
	return err == nil, nil
}
