package main

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// pause makes new connections come up late, when accepting goes on: the system's queue is shortened and filled, so that
// it leaves further ones without an answer. Connections that stand already go on.
func (w *worker) pause() error {
	w.mu.Lock()
	w.paused = make(chan struct{})
	w.mu.Unlock()
	w.ln.SetDeadline(time.Unix(1, 0))
	if err := w.backlog(0); err != nil {
		return err
	}
	for range 8 {
		conn, err := net.DialTimeout("tcp", w.addr, 50*time.Millisecond)
		if err != nil {
			return nil // the queue is full
		}
		w.fillers = append(w.fillers, conn)
	}
	return fmt.Errorf("%s: the queue of new connections cannot be filled", w.id)
}

// resume accepts again.
func (w *worker) resume() error {
	for _, conn := range w.fillers {
		conn.Close()
	}
	w.fillers = nil
	if err := w.backlog(128); err != nil {
		return err
	}
	w.ln.SetDeadline(time.Time{})
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.paused)
	w.paused = nil
	return nil
}

// backlog sets the length of the queue of connections that wait to be accepted.
func (w *worker) backlog(n int) error {
	raw, err := w.ln.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return listenErr
}
