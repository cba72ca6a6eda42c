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

// Handler carries out the listener's commands. Each method but Order returns at once: none may wait for calls or workers.
type Handler interface {
	Ready() bool
	Stats() []byte // the figures as one line of JSON, without its end
	// Order carries out Disable, Enable, DisableHall or EnableHall. It returns where that holds, "" where there is but one
	// place, or the reason given with NAK; the state is then unchanged. It may take up to OrderTime.
	Order(c Command) (holds string, err error)
	Drain()   // steer clients away; again is harmless
	Undrain() // back to work; again is harmless
}

const (
	// LineTime is how long a connection has for its line, counted from its acceptance; then it is closed.
	LineTime = time.Second
	// OrderTime is the longest that an order may take, so that its answer is out within a second.
	OrderTime = 800 * time.Millisecond
	// writeTime bounds the answer: an operator who reads nothing back holds nothing for longer.
	writeTime = time.Second
	// MaxConns is the most connections that the listener holds at once.
	MaxConns = 32
	// acceptPause is the rest after a failed accept, such as one for want of descriptors.
	acceptPause = 5 * time.Millisecond
)

// Listener serves operators' connections: one line each, one answer, then the connection ends.
type Listener struct {
	Handler Handler
	Log     *slog.Logger

	mu      sync.Mutex
	waiting list.List // of net.Conn that have not sent their line yet, the oldest first
	open    int
	serving sync.WaitGroup
}

// Serve accepts until ln is closed and returns when every connection has ended.
func (d *Listener) Serve(ln net.Listener) {
	defer d.serving.Wait()
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		place := d.admit(conn)
		d.serving.Go(func() { d.serve(conn, place) })
	}
}

// admit counts a connection in; at the limit the oldest that has not sent its line is closed to make room.
func (d *Listener) admit(conn net.Conn) *list.Element {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open >= MaxConns {
		if oldest := d.waiting.Front(); oldest != nil {
			d.waiting.Remove(oldest)
			conn := oldest.Value.(net.Conn)
			oldest.Value = nil
			conn.Close()
		}
	}
	d.open++
	return d.waiting.PushBack(conn)
}

// heard takes a connection off the waiting list. It is false where the connection was closed to make room.
func (d *Listener) heard(place *list.Element) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if place.Value == nil {
		return false
	}
	d.waiting.Remove(place)
	place.Value = nil
	return true
}

func (d *Listener) serve(conn net.Conn, place *list.Element) {
	defer func() {
		conn.Close()
		d.mu.Lock()
		if place.Value != nil {
			d.waiting.Remove(place)
			place.Value = nil
		}
		d.open--
		d.mu.Unlock()
	}()
	conn.SetReadDeadline(time.Now().Add(LineTime))
	r := bufio.NewReaderSize(conn, MaxLine)
	line, err := r.ReadSlice('\n')
	if !d.heard(place) {
		return
	}
	var answer []byte
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		answer = []byte("NAK line longer than 256 bytes\n")
	case err != nil:
		return // silent, half a line, or gone: nobody to answer
	default:
		answer = d.answer(strings.TrimRight(string(line), "\r\n"))
	}
	conn.SetWriteDeadline(time.Now().Add(writeTime))
	conn.Write(answer)
}

// answer carries out one line's command and gives the whole answer.
func (d *Listener) answer(line string) []byte {
	c, err := Parse(line)
	if err != nil {
		return nak(err)
	}
	h := d.Handler
	switch c.Verb {
	case Ready:
		if h.Ready() {
			return []byte("ACK ready\n")
		}
		return []byte("NAK not ready\n")
	case Stats:
		return append(h.Stats(), "\n--\n"...) // the figures are the answer: no ACK line before them
	case Disable, Enable, DisableHall, EnableHall:
		done := "disabled "
		if c.Verb == Enable || c.Verb == EnableHall {
			done = "enabled "
		}
		holds, err := h.Order(c)
		if err != nil {
			return nak(err)
		}
		d.Log.Info("operator", "command", line, "holds", holds)
		return []byte(strings.TrimRight("ACK "+done+c.ID+" "+holds, " ") + "\n")
	case Drain:
		h.Drain()
		d.Log.Info("operator", "command", "drain")
		return []byte("ACK draining\n")
	default:
		h.Undrain()
		d.Log.Info("operator", "command", "undrain")
		return []byte("ACK serving\n")
	}
}

func nak(err error) []byte { return []byte("NAK " + err.Error() + "\n") }
