package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	longBody     = 72 << 10 // a long message: over 64 KiB
	burst        = 8
	patience     = 40 * time.Millisecond  // a client gives up that long after its last byte
	leftGrace    = 150 * time.Millisecond // 0.1 s, and 50 ms more for every time limit on sockets
	burstEvery   = 4 * time.Second
	lateDuration = 1200 * time.Millisecond // a connection comes up late by up to 1.5 s
)

// clientLeft: some connections to workers come up late while clients send long bookings and leave. No attempt for a client
// that has closed its connection may begin more than 0.1 s after the close.
func clientLeft(r *run) error {
	workers, err := r.startWorkers(12, 40*time.Millisecond, 120*time.Millisecond)
	if err != nil {
		return err
	}
	var closed sync.Map // by the request's id: when its client closed the connection
	var all, after atomic.Int64
	for _, w := range workers {
		w.ran = func(a *arrival) {
			all.Add(1)
			at, ok := closed.Load(a.id)
			if !ok {
				return
			}
			if since := a.firstByte.Sub(at.(time.Time)); since > leftGrace {
				after.Add(1)
				r.breach("%s runs %s, whose first byte came %.3f s after its client had closed", a.worker.id, a.id, since.Seconds())
			}
		}
		go w.serve()
	}
	reg, err := startRegistry(workers)
	if err != nil {
		return err
	}
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	s, err := r.startSidecar("sidecar", place{listen: listen}, reg)
	if err != nil {
		return err
	}
	defer s.stop()
	if err := s.awaitHealthy(listen); err != nil {
		return err
	}
	over := make(chan struct{})
	var steady sync.WaitGroup
	for i := range 4 {
		c := &client{run: r, name: fmt.Sprintf("client-%d", i), addr: listen}
		steady.Go(func() { c.steady(over, 200*time.Millisecond) })
	}
	defer steady.Wait()
	defer close(over)
	for round := range 10 {
		next := time.Now().Add(burstEvery)
		var late []*worker
		if r.trouble { // a third of the workers, one in each hall but one, in turn
			for i, w := range workers {
				if (i/4+i+round)%3 == 0 {
					late = append(late, w)
				}
			}
		}
		for _, w := range late {
			if err := w.pause(); err != nil {
				return err
			}
			r.note(w.id, "connections come up late from now on")
		}
		var clients sync.WaitGroup
		for i := range burst {
			clients.Go(func() { r.sendAndLeave(fmt.Sprintf("leaver-%d", i), listen, &closed) })
		}
		clients.Wait()
		time.Sleep(lateDuration)
		for _, w := range late {
			if err := w.resume(); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(next))
	}
	r.note("case", "%d attempts ran, %d of them began too late after their client had left", all.Load(), after.Load())
	if all.Load() == 0 {
		return fmt.Errorf("no attempt ran: %s", s.log())
	}
	return nil
}

// sendAndLeave sends a long booking and closes the connection a little later.
func (r *run) sendAndLeave(name, listen string, closed *sync.Map) {
	conn, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		r.note(name, "cannot connect: %v", err)
		return
	}
	defer conn.Close()
	q := newCall("booking", 1500*time.Millisecond, longBody)
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	r.note(name, "sends %s %s, %d bytes of body", q.class, q.id, q.body)
	if _, err := io.WriteString(conn, q.bytes()); err != nil {
		r.note(name, "could not send %s: %v", q.id, err)
		return
	}
	sent := time.Now()
	conn.SetReadDeadline(sent.Add(patience))
	if n, _ := conn.Read(make([]byte, 1)); n > 0 {
		r.note(name, "an answer to %s in time", q.id)
		return
	}
	at := time.Now()
	closed.Store(q.id, at)
	conn.Close()
	r.noteAt(at, name, "leaves, %s, %.1f ms after its last byte", q.id, at.Sub(sent).Seconds()*1e3)
}
