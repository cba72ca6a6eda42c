// Package trace writes the events that a sidecar's decision module received and the actions it chose, one line per
// event, so that they can be counted across a fleet. It is a diagnostic that is off by default. internal/lab/count reads
// the lines.
//
// A line is "trace" followed by key=value pairs separated by spaces: t, the module's clock in microseconds of Unix time;
// e, the event; then the event's fields, and the actions with their names as keys. Workers appear by instance name.
//
// A process writes lines in the order of its events; lines of several processes have to be sorted by t.
package trace

import (
	"io"
	"strconv"

	"burlpass/decide"
)

// WorkerNames returns the instance name of a worker, "" if the worker is no longer listed.
type WorkerNames func(decide.ServerID) string

// Writer writes trace lines to W, those of an event in one call. It is not safe for concurrent use; the router's lock
// guards it.
type Writer struct {
	W   io.Writer
	buf []byte
}

func (w *Writer) addText(key, value string) {
	w.buf = append(append(append(append(w.buf, ' '), key...), '='), value...)
}

func (w *Writer) addNumber(key string, value int64) { w.addText(key, strconv.FormatInt(value, 10)) }

var eventNames = [...]string{decide.Members: "list", decide.Request: "call", decide.StreamStarted: "first",
	decide.Outcome: "outcome", decide.ClientLeft: "left", decide.ProbeResult: "probed", decide.Timer: "timer", decide.PeerMessage: "peer"}

var statusNames = [...]string{"error", "ok", "full", "timeout", "connect", "reset", "cancelled", "moot", "spoilt", "stale"}

// StatusName returns the name of an outcome used in trace lines.
func StatusName(s decide.Status) string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return strconv.Itoa(int(s))
}

// Start writes the sidecar's own configuration.
func (w *Writer) Start(now int64, c *decide.Config) {
	w.buf = w.buf[:0]
	w.beginLine(now, "start")
	w.addNumber("zone", int64(c.Zone))
	w.addNumber("ordinal", int64(c.Ordinal))
	w.addNumber("balancers", int64(c.Balancers))
	w.buf = append(w.buf, '\n')
	w.W.Write(w.buf)
}

// Event writes an event and the resulting actions, preceded by a line for each worker in the event's list. A timer
// without actions is omitted.
func (w *Writer) Event(now int64, e *decide.Event, actions []decide.Action, workerName WorkerNames) {
	w.buf = w.buf[:0]
	for i := range e.Servers {
		s := &e.Servers[i]
		w.beginLine(now, "worker")
		w.addText("worker", workerName(s.ID))
		w.addNumber("zone", int64(s.Zone))
		w.addNumber("kind", int64(s.Kind))
		w.addNumber("state", int64(s.State))
		w.addNumber("started", s.Started.Microseconds())
		w.buf = append(w.buf, '\n')
	}
	if e.Kind == decide.Timer && len(actions) == 0 {
		return
	}
	kind := "other"
	if int(e.Kind) < len(eventNames) {
		kind = eventNames[e.Kind]
	}
	w.beginLine(now, kind)
	switch e.Kind {
	case decide.Members:
		w.addNumber("kind", int64(e.List))
		w.addNumber("version", int64(e.Version))
	case decide.Request:
		w.addNumber("id", int64(e.ID))
		w.addNumber("class", int64(e.Class))
		w.addNumber("budget", e.Budget.Microseconds())
	case decide.Outcome, decide.ProbeResult:
		if e.Kind == decide.Outcome {
			w.addNumber("id", int64(e.ID))
			w.addNumber("try", int64(e.Attempt))
		}
		w.addText("worker", workerName(e.Server))
		w.addText("status", StatusName(e.Status))
		w.addNumber("took", e.Latency.Microseconds())
		if e.NewConnection {
			w.addNumber("fresh", 1)
		}
	case decide.ClientLeft:
		w.addNumber("id", int64(e.ID))
	}
	for i := range actions {
		w.addAction(&actions[i], workerName)
	}
	w.buf = append(w.buf, '\n')
	w.W.Write(w.buf)
}

func (w *Writer) beginLine(now int64, kind string) {
	w.buf = append(w.buf, "trace"...)
	w.addNumber("t", now)
	w.addText("e", kind)
}

func (w *Writer) addAction(a *decide.Action, workerName WorkerNames) {
	switch a.Kind {
	case decide.Send:
		w.addText("send", strconv.FormatUint(a.ID, 10)+"@"+workerName(a.Server))
	case decide.Refuse:
		w.addText("refuse", strconv.FormatUint(a.ID, 10)+"@"+strconv.FormatInt(a.Wait.Microseconds(), 10))
	case decide.Fail:
		w.addText("fail", strconv.FormatUint(a.ID, 10))
	case decide.Cancel:
		w.addText("cancel", strconv.FormatUint(a.ID, 10))
	case decide.Probe:
		w.addText("probe", workerName(a.Server))
	case decide.Watch:
		w.addText("watch", strconv.FormatBool(a.On))
	case decide.Fetch:
		w.addText("fetch", "true")
	case decide.Mark:
		w.addText(a.Text, workerName(a.Server))
	}
}
