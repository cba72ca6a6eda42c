package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["flood"] = flood }

const (
	floodClients = 100
	floodLength  = 15 * time.Second
	lostAfter    = 500*time.Millisecond + 50*time.Millisecond // after a request's time; before that its answer only earns nothing
	ordinaryEach = 20 * time.Millisecond
	ordinaryTime = 1200 * time.Millisecond // two fifths of the class's time
	maxOwnDelay  = 200 * time.Millisecond
)

// flood: bad clients send long bodies in very small chunks at full speed, beside ordinary calls.
func flood(g *rig) error {
	reg := newRegistry(g)
	for i := range 6 {
		w, err := g.newSink(fmt.Sprintf("s-%d", i+1))
		if err != nil {
			return err
		}
		reg.entries = append(reg.entries, &entry{ID: fmt.Sprintf("s-%d", i+1), Addr: w, Zone: hall(i % 2), Kind: "standard", Lifecycle: "up", Weight: 1, changed: 1})
	}
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
	end := time.Now().Add(floodLength)
	if g.trouble {
		for i := range floodClients {
			go g.floodFrom(s.listen, fmt.Sprintf("bad-%d", i), end)
		}
	}
	var mu sync.Mutex
	var late, answered, none int
	var worst, ownDelay time.Duration
	var all sync.WaitGroup
	ticker := time.NewTicker(ordinaryEach)
	defer ticker.Stop()
	for i := 0; time.Now().Before(end); i++ {
		due := time.Now().Add(ordinaryEach)
		<-ticker.C
		mu.Lock()
		ownDelay = max(ownDelay, time.Since(due))
		mu.Unlock()
		all.Go(func() {
			id := fmt.Sprintf("n1-%d", i)
			took, status, err := g.ordinary(s.listen, id)
			mu.Lock()
			defer mu.Unlock()
			g.note("client: %s: %d after %.3f s %v", id, status, took.Seconds(), err)
			switch {
			case err != nil:
				none++
			default:
				answered++
				worst = max(worst, took)
				if took > ordinaryTime+lostAfter {
					late++
				}
			}
		})
	}
	all.Wait()
	g.note("answered %d, late %d, none %d, slowest %v, this process was late by %v at most", answered, late, none, worst, ownDelay)
	if ownDelay > maxOwnDelay {
		return fmt.Errorf("this process was late by %v: the machine is too busy to judge", ownDelay)
	}
	if late+none > 0 {
		return broken(fmt.Sprintf("%d of %d ordinary calls were answered later than 0.55 s after their time, %d not at all", late, answered, none))
	}
	return nil
}

func (g *rig) ordinary(addr, id string) (time.Duration, int, error) {
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(conn, "GET /availability/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\nX-Qos: availability\r\nX-Expires-In: %dm\r\n\r\n", id, ordinaryTime.Milliseconds())
	began := time.Now()
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return time.Since(began), 0, err
	}
	_, err = io.Copy(io.Discard, a.Body)
	return time.Since(began), a.StatusCode, err
}

func (g *rig) floodFrom(addr, name string, end time.Time) {
	chunks := []byte(strings.Repeat("1\r\nx\r\n", 2000))
	for i := 0; time.Now().Before(end); i++ {
		conn, err := net.Dial("tcp4", addr)
		if err != nil {
			return
		}
		go io.Copy(io.Discard, conn)
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprintf(conn, "POST /booking/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s-%d\r\nX-Qos: booking\r\nX-Expires-In: 3000m\r\nTransfer-Encoding: chunked\r\n\r\n", name, i)
		for time.Now().Before(end) {
			if _, err := conn.Write(chunks); err != nil {
				break
			}
		}
		conn.Close()
	}
}

// newSink opens a worker that reads whatever comes and answers.
func (g *rig) newSink(id string) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		time.Sleep(20 * time.Millisecond)
		fmt.Fprintf(w, "by %s", id)
	}))
	return ln.Addr().String(), nil
}
