package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["left-upload"] = leftUpload }

const (
	longBody   = 400 << 10
	longCalls  = 40
	leaveAfter = 50 * time.Millisecond
	leaveGrace = 100*time.Millisecond + 50*time.Millisecond // of the rule, and the 50 ms by which sockets lengthen every limit
)

// machine is a worker that notes a request at its first byte, and that can vanish: then its connections stay open and
// silent, and new ones do not come up.
type machine struct {
	*rig
	id, hall, addr string
	ln             *net.TCPListener

	mu   sync.Mutex
	gone bool
	seen []arrival
}

func (g *rig) newMachine(id, hall string) (*machine, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &machine{rig: g, id: id, hall: hall, addr: ln.Addr().String(), ln: ln.(*net.TCPListener)}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			gone := m.gone
			m.mu.Unlock()
			if gone {
				<-g.ctx.Done()
				return
			}
			go m.serve(conn)
		}
	}()
	return m, nil
}

// vanish makes the machine silent: nobody accepts any more, and the queue of the listening socket is filled.
func (m *machine) vanish() error {
	m.mu.Lock()
	m.gone = true
	m.mu.Unlock()
	raw, err := m.ln.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), 0) }); err != nil || failed != nil {
		return fmt.Errorf("%v %v", err, failed)
	}
	for range 8 {
		conn, err := net.DialTimeout("tcp4", m.addr, 100*time.Millisecond)
		if err != nil {
			m.note("%s has vanished", m.id)
			return nil
		}
		go func() { <-m.ctx.Done(); conn.Close() }()
	}
	return fmt.Errorf("connections to %s still come up", m.id)
}

func (m *machine) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := r.Peek(1)
		m.mu.Lock()
		gone := m.gone
		m.mu.Unlock()
		if gone { // silent, and the connection stays open
			<-m.ctx.Done()
			return
		}
		if err != nil {
			return
		}
		began := time.Now()
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer := "TEXT util=0.10, eps=0.00, queue=0"
		if id := q.Header.Get("X-Trace-Id"); id != "" {
			m.mu.Lock()
			m.seen = append(m.seen, arrival{id, began})
			m.mu.Unlock()
			n, err := io.Copy(io.Discard, q.Body)
			m.note("%s: %s began to come at %.3f, %d of %d bytes have come: %v", m.id, id, m.at(began), n, q.ContentLength, err)
			if err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
			answer = id + " by " + m.id
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
	}
}

// leftUpload: a hall of machines vanishes while clients send long bookings and then leave.
func leftUpload(g *rig) error {
	var machines []*machine
	reg := newRegistry(g)
	for i := range 8 {
		m, err := g.newMachine(fmt.Sprintf("s-%d", i+1), hall(i%4))
		if err != nil {
			return err
		}
		machines = append(machines, m)
		reg.entries = append(reg.entries, &entry{ID: m.id, Addr: m.addr, Zone: m.hall, Kind: "standard", Lifecycle: "up", Weight: 1, changed: 1})
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
	calm := g.send("n1", s.listen, "availability", 50*time.Millisecond)
	if err := g.pause(2 * time.Second); err != nil {
		return err
	}
	calm.end()
	if g.trouble {
		for _, m := range machines {
			if m.hall != hall(0) { // the sidecar's own
				continue
			}
			if err := m.vanish(); err != nil {
				return err
			}
		}
	}
	left := map[string]time.Time{}
	var mu sync.Mutex
	var failed error
	var all sync.WaitGroup
	for i := range longCalls {
		all.Go(func() {
			id := fmt.Sprintf("left-%d", i)
			t, err := g.sendAndLeave(s.listen, id)
			mu.Lock()
			defer mu.Unlock()
			if left[id] = t; err != nil {
				failed = err
			}
		})
	}
	all.Wait()
	if failed != nil {
		return failed
	}
	if err := g.pause(11 * time.Second); err != nil { // as long as a hall has been lost in service
		return err
	}
	var late []string
	for _, m := range machines {
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, a := range m.seen {
			if t := left[a.id]; strings.HasPrefix(a.id, "left-") && a.at.Sub(t) > leaveGrace {
				late = append(late, fmt.Sprintf("%s at %s %.3f s after its client had left", a.id, m.id, a.at.Sub(t).Seconds()))
			}
		}
	}
	if len(late) > 0 {
		return broken(fmt.Sprintf("%d attempts began too late: %s", len(late), late[0]))
	}
	return nil
}

// sendAndLeave sends a long booking and closes the connection. It returns the time of the close.
func (g *rig) sendAndLeave(addr, id string) (time.Time, error) {
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		return time.Time{}, err
	}
	began := time.Now()
	head := fmt.Sprintf("POST /booking/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\nX-Qos: booking\r\nX-Expires-In: 2000m\r\nContent-Length: %d\r\n\r\n", id, longBody)
	conn.SetWriteDeadline(began.Add(leaveAfter))
	n, err := conn.Write(append([]byte(head), bytes.Repeat([]byte("b"), longBody)...))
	time.Sleep(time.Until(began.Add(leaveAfter)))
	conn.Close()
	now := time.Now()
	g.note("client: %s sent %d bytes (%v) and left at %.3f", id, n, err, g.at(now))
	return now, nil
}
