package logging

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"
)

func TestFormats(t *testing.T) {
	for format, want := range map[string]string{
		"text": `level=INFO event=list generation=4 err="two\nlines"`,
		"json": `"level":"INFO","event":"list","generation":4,"err":"two\nlines"`,
	} {
		var out bytes.Buffer
		log, err := New(&out, Options{Format: format})
		if err != nil {
			t.Fatal(err)
		}
		log.Info("list", "generation", 4, "err", errors.New("two\nlines"))
		log.Debug("hidden")
		if got := out.String(); !strings.Contains(got, want) || strings.Count(got, "\n") != 1 {
			t.Errorf("%s: %q", format, got)
		}
	}
	if _, err := New(nil, Options{Format: "xml"}); err == nil {
		t.Error("an unknown format was accepted")
	}
}

// A client that causes a log line with every byte must not fill the disk or write endless lines. Other events are
// still logged.
func TestRateAndSizeLimits(t *testing.T) {
	var out bytes.Buffer
	log, _ := New(&out, Options{})
	h := log.Handler()
	begin := time.Unix(1000, 0)
	write := func(event string, at time.Duration, value string) {
		r := slog.NewRecord(begin.Add(at), slog.LevelInfo, event, 0)
		r.AddAttrs(slog.String("v", value))
		h.Handle(t.Context(), r)
	}
	for i := range 10_000 {
		write("call_rejected", time.Duration(i)*100*time.Microsecond, strings.Repeat("é", 5000))
	}
	lines := strings.Count(out.String(), "\n")
	if lines < LineBurst || lines > LineBurst+LinesPerSecond+1 {
		t.Errorf("%d lines of one event in a second", lines)
	}
	if most := lines * (MaxValueBytes + 200); out.Len() > most {
		t.Errorf("%d bytes, more than %d", out.Len(), most)
	}
	out.Reset()
	write("drain", time.Second, "x")
	write("call_rejected", 10*time.Second, "x")
	if got := out.String(); strings.Count(got, "\n") != 2 || !strings.Contains(got, "suppressed=") {
		t.Errorf("%q", got)
	}
}
