package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// maxPrinted bounds the breaches that are printed; the record has all of them.
const maxPrinted = 8

// run is one play of a case: its record, its temporary folder, and what was found.
type run struct {
	begun   time.Time
	trouble bool   // false with TROUBLE=0: the same without the disruption
	temp    string // removed at the end

	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	broken  int
	started []*sidecar
}

// newRun opens the record in a case's folder.
func newRun(folder string) (*run, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "burlpass-review-")
	if err != nil {
		file.Close()
		return nil, err
	}
	r := &run{begun: time.Now(), trouble: os.Getenv("TROUBLE") != "0", temp: temp, file: file, out: bufio.NewWriter(file)}
	r.note("case", "trouble=%v", r.trouble)
	return r, nil
}

// note writes a line to the record, with the time since the run's beginning.
func (r *run) note(who, format string, args ...any) {
	r.noteAt(time.Now(), who, format, args...)
}

// noteAt is note for something that happened at an earlier time.
func (r *run) noteAt(at time.Time, who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%10.4f %-9s %s\n", at.Sub(r.begun).Seconds(), who, fmt.Sprintf(format, args...))
}

// breach records that the rule was broken.
func (r *run) breach(format string, args ...any) {
	r.mu.Lock()
	r.broken++
	count := r.broken
	r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.note("BROKEN", "%s", text)
	if count <= maxPrinted {
		fmt.Println("broken:", text)
	}
}

// maxPlay bounds a play, whatever happens.
const maxPlay = 115 * time.Second

// watch ends the processes and the program if the play takes too long or is told to end.
func (r *run) watch() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-signals:
		r.note("case", "told to end: %v", s)
	case <-time.After(maxPlay):
		r.note("case", "not over after %v", maxPlay)
	}
	r.mu.Lock()
	started := r.started
	r.mu.Unlock()
	for _, s := range started {
		select {
		case <-s.ended:
		default:
			s.cmd.Process.Kill()
			<-s.ended
		}
	}
	r.close()
	fmt.Fprintln(os.Stderr, "could not run: ended early")
	os.Exit(exitCannot)
}

// close ends the record and removes the temporary folder.
func (r *run) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
	os.RemoveAll(r.temp)
}
