package stage

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"burlpass/internal/lab/judge"
)

// rude plays clients that do not know how to behave, n at a time at each sidecar.
func (s *stage) rude(ctx context.Context, n int) {
	if n == 0 {
		n = 20
	}
	ways := []string{
		"",                                     // says nothing
		"GET /availability/x HTTP/1.1\r\nX-Tr", // half a head
		"POST /booking/x HTTP/1.1\r\nX-Trace-Id: rude\r\nX-Expires-In: 900m\r\nContent-Length: 5000\r\n\r\nhalf a body",
		"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", // TLS
		"GET /availability/x HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET /_health HTTP/1.1\r\n\r\n", // asks once and stays
		"GET / HTTP/1.1\r\nX: " + strings.Repeat("y", 20_000) + "\r\n\r\n",
		strings.Repeat("GET /_health HTTP/1.1\r\n\r\n", 2000), // never reads
	}
	var all sync.WaitGroup
	for sidecar := range s.plan.Sidecar {
		for range n {
			all.Go(func() {
				for ctx.Err() == nil && !s.ended() {
					c, err := s.sockets.Dial(s.net.sidecar(sidecar), 500*time.Millisecond)
					if err == nil {
						c.SetDeadline(time.Now().Add(time.Duration(1+rand.IntN(4000)) * time.Millisecond))
						fmt.Fprint(c, ways[rand.IntN(len(ways))])
						c.Read(make([]byte, 1))
						c.Close()
					}
					if !s.sleepUntil(s.now() + time.Duration(20+rand.IntN(80))*time.Millisecond) {
						return
					}
				}
			})
		}
	}
	all.Wait()
}

// stoppedWait bounds a stopped client's wait for its error or close: beyond what it is owed, and short against a day.
const stoppedWait = 3500 * time.Millisecond

// stopClients plays clients that stop in the middle of a request and stay, n at a time at each sidecar.
func (s *stage) stopClients(ctx context.Context, n int) {
	var all sync.WaitGroup
	for sidecar := range s.plan.Sidecar {
		for range max(n, 1) {
			all.Go(func() {
				for ctx.Err() == nil && !s.ended() {
					s.stopClient(sidecar)
					if !s.sleepUntil(s.now() + time.Duration(20+rand.IntN(200))*time.Millisecond) {
						return
					}
				}
			})
		}
	}
	all.Wait()
}

// stopClient plays one client that stops after a byte drawn from those of a request, first or later on its connection.
func (s *stage) stopClient(sidecar int) {
	c, err := s.sockets.Dial(s.net.sidecar(sidecar), 500*time.Millisecond)
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * stoppedWait))
	if rand.IntN(2) == 0 && !askHealth(c) {
		return
	}
	class := s.plan.Classes[rand.IntN(len(s.plan.Classes))].Name
	body := strings.Repeat("b", rand.IntN(300))
	request := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nX-Trace-Id: stopped-%d\r\nX-Qos: %s\r\nX-Expires-In: 2000m\r\nContent-Length: %d\r\n\r\n%s",
		class, s.serial.Add(1), class, len(body)+1, body)
	at := 1 + rand.IntN(len(request))
	pause := rand.IntN(at)
	if _, err := fmt.Fprint(c, request[:pause]); err != nil {
		return
	}
	if rand.IntN(4) == 0 && !s.sleepUntil(s.now()+time.Duration(rand.IntN(1500))*time.Millisecond) {
		return
	}
	if _, err := fmt.Fprint(c, request[pause:at]); err != nil {
		return // it was ended before it stopped
	}
	stopped := s.now()
	c.SetDeadline(time.Now().Add(stoppedWait))
	_, err = c.Read(make([]byte, 1))
	if s.ended() {
		return
	}
	where := fmt.Sprintf("after %d of %d bytes", at, len(request)+1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		where += ", and saw nothing"
	}
	s.observe(judge.Event{Kind: judge.Stopped, Sidecar: sidecar, Took: s.now() - stopped, Text: where})
}

// askHealth sends a whole request, which concerns nobody but the sidecar, and reads its answer. It is false where the
// connection ended.
func askHealth(c Conn) bool {
	if _, err := fmt.Fprint(c, "GET /_health HTTP/1.1\r\n\r\n"); err != nil {
		return false
	}
	var got strings.Builder
	b := make([]byte, 1)
	for !strings.HasSuffix(got.String(), "\r\n\r\nok") {
		if _, err := c.Read(b); err != nil || got.Len() > 1000 {
			return false
		}
		got.Write(b)
	}
	return true
}

// betweenHolds is the time for which a process that is held up again and again runs in between.
const betweenHolds = 600 * time.Millisecond

// holdProcesses holds processes up again and again, as a machine without time for them does.
func (s *stage) holdProcesses(ctx context.Context, sidecars []int, length time.Duration) {
	for ctx.Err() == nil && !s.ended() {
		for _, n := range sidecars {
			s.sidecars[n].signal(syscall.SIGSTOP, "")
		}
		time.Sleep(length)
		for _, n := range sidecars {
			s.sidecars[n].signal(syscall.SIGCONT, "")
		}
		if !s.sleepUntil(s.now() + betweenHolds) {
			return
		}
	}
}
