package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	idleAllowed = 4050 * time.Millisecond // 4 s after DRAIN, and 50 ms more for every time limit on sockets
	slowAnswer  = 3 * time.Second         // in which a worker writes its answer, in small pieces
)

// drainLong: the operators drain the sidecar while an answer passes whose worker writes it in pieces. 4 s after the call no
// connection of a client may be held idle.
func drainLong(r *run) error {
	workers, err := r.startWorkers(12, 40*time.Millisecond, 120*time.Millisecond)
	if err != nil {
		return err
	}
	for _, w := range workers {
		w.long = 200 << 10
		if r.trouble {
			w.over = slowAnswer
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
	door, err := freeAddress()
	if err != nil {
		return err
	}
	s, err := r.startSidecar("sidecar", place{listen: listen, operator: door}, reg)
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
	q := newCall("availability", 2400*time.Millisecond, 0)
	r.note("client", "sends %s", q.id)
	if _, err := io.WriteString(conn, q.bytes()); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if answer, err := s.order("DRAIN"); err != nil || !strings.HasPrefix(answer, "ACK") {
		return fmt.Errorf("DRAIN: %q, %v", answer, err)
	}
	drained := time.Now()
	conn.SetDeadline(drained.Add(idleAllowed))
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		return err
	}
	r.note("client", "answer %d, %d bytes, whole %.2f s after DRAIN", response.StatusCode, n, time.Since(drained).Seconds())
	_, err = reader.ReadByte()
	r.note("client", "rests, until %.2f s after DRAIN: %v", time.Since(drained).Seconds(), err)
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		r.breach("the client's connection is held idle %.2f s after DRAIN", time.Since(drained).Seconds())
	}
	return nil
}
