package operator

import (
	"bufio"
	"container/list"
	"errors"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"
)

// Handler executes the listener's commands. Ready and Stats must return at once, without waiting for calls or workers; the
// others return within OrderTimeout. If an order fails, the state is unchanged and the error is sent with NAK.
type Handler interface {
	Ready() bool
	Stats() []byte // the figures as one line of JSON, without a newline
	// ApplyMaintenance executes Disable, Enable, DisableZone or EnableZone. It returns the scope in which the change applies, "" if
	// there is only one.
	ApplyMaintenance(c Command) (scope string, err error)
	Drain() error   // direct clients away; idempotent
	Undrain() error // end draining; idempotent
}

const (
	// LineTimeout is how long after its accept a connection may take to send its line before it is closed.
	LineTimeout = time.Second
	// OrderTimeout bounds the Handler's methods, so that the response is sent within a second.
	OrderTimeout = 800 * time.Millisecond
	// writeTimeout bounds writing the response, so that a client that does not read cannot hold its connection.
	writeTimeout = time.Second
	// MaxConns is the maximum number of open connections.
	MaxConns = 32
	// acceptRetryDelay is the pause after a failed accept, for example when file descriptors have run out.
	acceptRetryDelay = 5 * time.Millisecond
)

// Listener serves admin connections: each sends one line, gets one response and is closed.
type Listener struct {
	Handler Handler
	Log     *slog.Logger

	mu          sync.Mutex
	waiting     list.List // net.Conn values that have not sent their line, oldest first
	open        int
	connections sync.WaitGroup
}

// Serve accepts connections until ln is closed and returns when every connection has ended.
func (l *Listener) Serve(ln net.Listener) {
	defer l.connections.Wait()
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		pending := l.admit(conn)
		l.connections.Go(func() { l.serve(conn, pending) })
	}
}

// admit registers a connection. At MaxConns it first closes the oldest connection that has not sent its line.
func (l *Listener) admit(conn net.Conn) *list.Element {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= MaxConns {
		if oldest := l.waiting.Front(); oldest != nil {
			l.waiting.Remove(oldest)
			conn := oldest.Value.(net.Conn)
			oldest.Value = nil
			conn.Close()
		}
	}
	l.open++
	return l.waiting.PushBack(conn)
}

// removePending removes a connection from the waiting list. It returns false if admit has closed the connection.
func (l *Listener) removePending(pending *list.Element) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if pending.Value == nil {
		return false
	}
	l.waiting.Remove(pending)
	pending.Value = nil
	return true
}

// serve reads a connection's line, writes the response and closes the connection.
func (l *Listener) serve(conn net.Conn, pending *list.Element) {
	defer func() {
		conn.Close()
		l.mu.Lock()
		if pending.Value != nil {
			l.waiting.Remove(pending)
			pending.Value = nil
		}
		l.open--
		l.mu.Unlock()
	}()
	conn.SetReadDeadline(time.Now().Add(LineTimeout))
	r := bufio.NewReaderSize(conn, MaxLine)
	line, err := r.ReadSlice('\n')
	if !l.removePending(pending) {
		return
	}
	var response []byte
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		response = []byte("NAK line longer than 256 bytes\n")
	case err != nil:
		return // timed out or closed before a whole line
	default:
		response = l.execute(strings.TrimRight(string(line), "\r\n"))
	}
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	conn.Write(response)
}

// execute runs the command on a line and returns the complete response.
func (l *Listener) execute(line string) []byte {
	c, err := Parse(line)
	if err != nil {
		return nak(err)
	}
	h := l.Handler
	switch c.Verb {
	case Ready:
		if h.Ready() {
			return []byte("ACK ready\n")
		}
		return []byte("NAK not ready\n")
	case Stats:
		return append(h.Stats(), "\n--\n"...) // the figures are sent without an ACK line
	case Disable, Enable, DisableZone, EnableZone:
		result := "disabled "
		if c.Verb == Enable || c.Verb == EnableZone {
			result = "enabled "
		}
		scope, err := h.ApplyMaintenance(c)
		if err != nil {
			return nak(err)
		}
		l.Log.Info("operator", "command", line, "holds", scope)
		return []byte(strings.TrimRight("ACK "+result+c.ID+" "+scope, " ") + "\n")
	case Drain:
		if err := h.Drain(); err != nil {
			return nak(err)
		}
		l.Log.Info("operator", "command", "drain")
		return []byte("ACK draining\n")
	default:
		if err := h.Undrain(); err != nil {
			return nak(err)
		}
		l.Log.Info("operator", "command", "undrain")
		return []byte("ACK serving\n")
	}
}

func nak(err error) []byte { return []byte("NAK " + err.Error() + "\n") }
