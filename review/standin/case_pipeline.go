package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// pipelineTerm: clients send four requests at once, and the sidecar is told to end while the first one is open.
func pipelineTerm(r *run) error {
	draw := func() (requests []call) {
		for range 4 {
			requests = append(requests, newCall("availability", 2500*time.Millisecond, 0))
		}
		return requests
	}
	return r.pipeline(draw, true, func(s *sidecar) {
		time.Sleep(100 * time.Millisecond)
		if r.trouble {
			s.signal(syscall.SIGTERM)
		}
	})
}

// pipelineLong: clients send a request and a long booking at once; without the disruption one after the other.
func pipelineLong(r *run) error {
	draw := func() []call {
		return []call{newCall("availability", 2500*time.Millisecond, 0), newCall("booking", 2500*time.Millisecond, longBody)}
	}
	return r.pipeline(draw, r.trouble, func(*sidecar) {})
}

// pipeline lets four clients send requests, all at once or one after the other, and expects an answer to each.
func (r *run) pipeline(draw func() []call, atOnce bool, meanwhile func(*sidecar)) error {
	workers, err := r.startWorkers(12, 200*time.Millisecond, 300*time.Millisecond)
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
	var clients sync.WaitGroup
	for i := range 4 {
		name := fmt.Sprintf("client-%d", i)
		clients.Go(func() {
			requests := draw()
			conn, err := net.Dial("tcp", listen)
			if err != nil {
				r.note(name, "cannot connect: %v", err)
				return
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(4 * time.Second))
			reader := bufio.NewReader(conn)
			for n := range requests {
				switch {
				case !atOnce:
					io.WriteString(conn, requests[n].bytes())
				case n == 0:
					for _, q := range requests {
						io.WriteString(conn, q.bytes())
					}
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					r.breach("%s: request %d of %d got no answer: %v", name, n+1, len(requests), err)
					return
				}
				body, _ := io.ReadAll(response.Body)
				r.note(name, "answer to request %d: %d %q", n+1, response.StatusCode, body)
			}
		})
	}
	meanwhile(s)
	clients.Wait()
	return nil
}
