package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
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
	var late, answered, unanswered int
	var worst, ownDelay time.Duration
	var all sync.WaitGroup
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
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
			took, status, err := g.ordinary(client, s.listen, id)
			mu.Lock()
			defer mu.Unlock()
			g.note("client: %s: %d after %.3f s %v", id, status, took.Seconds(), err)
			switch {
			case err != nil:
				unanswered++ // not judged: a client may be refused a connection, or send once more
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
	g.note("answered %d, late %d, without an answer %d, slowest %v, this process was late by %v at most", answered, late, unanswered, worst, ownDelay)
	if ownDelay > maxOwnDelay {
		return fmt.Errorf("this process was late by %v: the machine is too busy to judge", ownDelay)
	}
	if late > 0 {
		return broken(fmt.Sprintf("%d of %d answers to ordinary calls came later than 0.55 s after their time, the slowest after %.2f s", late, answered, worst.Seconds()))
	}
	return nil
}

// ordinary makes a call and returns the time from its last byte to the last byte of its answer.
func (g *rig) ordinary(client *http.Client, addr, id string) (time.Duration, int, error) {
	var written atomic.Int64 // when the request's last byte was, of the last try
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { written.Store(time.Now().UnixNano()) }}
	q, err := http.NewRequestWithContext(httptrace.WithClientTrace(g.ctx, trace), http.MethodGet, "http://"+addr+"/availability/x", nil)
	if err != nil {
		return 0, 0, err
	}
	q.Header.Set("X-Trace-Id", id)
	q.Header.Set("X-Qos", "availability")
	q.Header.Set("X-Expires-In", fmt.Sprintf("%dm", ordinaryTime.Milliseconds()))
	a, err := client.Do(q)
	if err != nil {
		return 0, 0, err
	}
	defer a.Body.Close()
	_, err = io.Copy(io.Discard, a.Body)
	return time.Duration(time.Now().UnixNano() - written.Load()), a.StatusCode, err
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
