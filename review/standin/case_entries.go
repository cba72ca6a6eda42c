package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"time"
)

// drainUpgrade: the operators drain the sidecar at the process that serves, while the new version starts beside it. 4 s after
// the call GET /_health has to say no.
func drainUpgrade(r *run) error {
	workers, err := r.startWorkers(12, 40*time.Millisecond, 120*time.Millisecond)
	if err != nil {
		return err
	}
	for _, w := range workers {
		go w.serve()
	}
	reg, err := startRegistry(workers)
	if err != nil {
		return err
	}
	held, listen, err := holdSocket()
	if err != nil {
		return err
	}
	defer held.Close()
	firstDoor, err := freeAddress()
	if err != nil {
		return err
	}
	secondDoor, err := freeAddress()
	if err != nil {
		return err
	}
	first, err := r.startSidecar("old", place{listen, firstDoor, held}, reg)
	if err != nil {
		return err
	}
	defer first.stop()
	if err := first.awaitHealthy(listen); err != nil {
		return err
	}
	if r.trouble {
		second, err := r.startSidecar("new", place{listen, secondDoor, held}, reg)
		if err != nil {
			return err
		}
		defer second.stop()
		time.Sleep(250 * time.Millisecond)
	}
	if answer, err := first.order("DRAIN"); err != nil || !strings.HasPrefix(answer, "ACK") {
		return fmt.Errorf("DRAIN: %q, %v", answer, err)
	}
	drained := time.Now()
	if r.trouble {
		time.Sleep(250 * time.Millisecond)
		first.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(drained.Add(idleAllowed)))
	if healthy(listen) {
		r.breach("GET /_health says yes %.2f s after DRAIN", time.Since(drained).Seconds())
	}
	return nil
}

// endlessAnswer: a worker's answer goes on without end, a byte now and then. The client's time is 1.2 s, and an answer up to
// half a second later earns nothing.
func endlessAnswer(r *run) error {
	workers, err := r.startWorkers(12, 40*time.Millisecond, 120*time.Millisecond)
	if err != nil {
		return err
	}
	for _, w := range workers {
		w.endless = r.trouble
		w.long = 20 << 10
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
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return err
	}
	defer conn.Close()
	q := newCall("availability", 1200*time.Millisecond, 0)
	begun := time.Now()
	conn.SetDeadline(begun.Add(15 * time.Second))
	r.note("client", "sends %s", q.id)
	request := strings.Replace(q.bytes(), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
	if _, err := io.WriteString(conn, request); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, conn)
	r.note("client", "%d bytes after %.2f s: %v", n, time.Since(begun).Seconds(), err)
	if late := time.Since(begun) - q.expires; late > 550*time.Millisecond {
		r.breach("neither the end of the answer nor an error %.2f s after the client's time", late.Seconds())
	}
	return nil
}
