// Package logging creates the program's structured logger: log/slog records as key=value text or JSON, one line per
// event, with the message under the key "event". To bound what untrusted peers can cause to be logged, values are
// truncated to MaxValueBytes and the lines of each event are rate-limited; suppressed lines are counted.
package logging

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
	"unicode/utf8"

	"golang.org/x/time/rate"
)

// Limits of what is written.
const (
	MaxValueBytes    = 512 // of one text value
	LinesPerSecond   = 20  // sustained rate per event
	LineBurst        = 60  // lines of one event written without delay
	maxTrackedEvents = 256 // events with a limiter of their own; the others share one
)

// Options configures a logger.
type Options struct {
	Format string     // "text" (key=value, the default) or "json"
	Level  slog.Level // records below it are not written
}

// New returns a logger that writes to w. It fails if the format is unknown.
func New(w io.Writer, o Options) (*slog.Logger, error) {
	h := &slog.HandlerOptions{Level: o.Level, ReplaceAttr: replaceAttr}
	var inner slog.Handler
	switch o.Format {
	case "", "text":
		inner = slog.NewTextHandler(w, h)
	case "json":
		inner = slog.NewJSONHandler(w, h)
	default:
		return nil, fmt.Errorf("unknown log format %q: expected text or json", o.Format)
	}
	return slog.New(&rateLimitedHandler{Handler: inner, limiters: &limiters{byEvent: map[string]*eventLimiter{}}}), nil
}

// Discard returns a logger that writes nothing.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }

// replaceAttr renames the message key to "event" and truncates texts and errors.
func replaceAttr(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.MessageKey {
		a.Key = "event"
	}
	switch a.Value.Kind() {
	case slog.KindString:
		a.Value = slog.StringValue(truncate(a.Value.String()))
	case slog.KindAny:
		if err, ok := a.Value.Any().(error); ok {
			a.Value = slog.StringValue(truncate(err.Error()))
		}
	}
	return a
}

// truncate shortens a text to MaxValueBytes at a rune boundary.
func truncate(s string) string {
	if len(s) <= MaxValueBytes {
		return s
	}
	n := MaxValueBytes
	for n > 0 && !utf8.RuneStart(s[n]) {
		n--
	}
	return s[:n] + "..."
}

// rateLimitedHandler limits the rate of records per event.
type rateLimitedHandler struct {
	slog.Handler
	limiters *limiters
}

// limiters holds the rate limiters by event.
type limiters struct {
	mu      sync.Mutex
	byEvent map[string]*eventLimiter
}

// eventLimiter limits an event and counts the records suppressed since the last one written.
type eventLimiter struct {
	*rate.Limiter
	suppressed int
}

// allow reports whether a record of an event may be written now, and how many were suppressed before it.
func (l *limiters) allow(event string, now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.byEvent[event]
	if limiter == nil {
		if len(l.byEvent) >= maxTrackedEvents {
			event = ""
		}
		if limiter = l.byEvent[event]; limiter == nil {
			limiter = &eventLimiter{Limiter: rate.NewLimiter(LinesPerSecond, LineBurst)}
			l.byEvent[event] = limiter
		}
	}
	if !limiter.AllowN(now, 1) {
		limiter.suppressed++
		return 0, false
	}
	suppressed, limiter.suppressed = limiter.suppressed, 0
	return suppressed, true
}

// Handle writes a record, or counts it if its event is over the limit. The next record written carries the count
// under the key "suppressed".
func (h *rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	suppressed, ok := h.limiters.allow(r.Message, r.Time)
	if !ok {
		return nil
	}
	if suppressed > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("suppressed", suppressed))
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler with additional attributes that shares this handler's limits.
func (h *rateLimitedHandler) WithAttrs(a []slog.Attr) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithAttrs(a), limiters: h.limiters}
}

// WithGroup returns a handler for a group that shares this handler's limits.
func (h *rateLimitedHandler) WithGroup(name string) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithGroup(name), limiters: h.limiters}
}
