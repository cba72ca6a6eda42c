package observer

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"burlpass/internal/cluster/api"
	"burlpass/internal/cluster/apitest"
	"burlpass/internal/record"
)

func contextWithTimeout(t *testing.T, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.Context(), d)
}

// mangleEntries alters the successful responses of a handler and counts them.
func mangleEntries(h http.Handler, change func([]byte) []byte, served *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		h.ServeHTTP(recorder, r)
		raw := recorder.Body.Bytes()
		if recorder.Code == http.StatusOK {
			raw = change(raw)
			defer served.Add(1)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(raw)
	})
}

// fullStateOf returns a response with the full state of a voter and a header that claims a version.
func fullStateOf(t *testing.T, v *apitest.Voter, claimedVersion record.Version) []byte {
	t.Helper()
	var saved bytes.Buffer
	view := v.State.View()
	if err := record.Save(&saved, view); err != nil {
		t.Fatal(err)
	}
	return (&api.Batch{SavedState: saved.Bytes(), Header: api.Header{Format: api.Format, Cluster: apitest.Cluster, Kind: api.KindState, Since: 5,
		Version: claimedVersion, Hash: view.Hash(), Path: []string{"a"}, Count: bytes.Count(saved.Bytes(), []byte("\n"))}}).Append(nil)
}

func replaceAll(old, by string) func([]byte) []byte {
	return func(raw []byte) []byte { return bytes.ReplaceAll(raw, []byte(old), []byte(by)) }
}

func TestInvalidResponsesAreRejected(t *testing.T) {
	older := apitest.NewVoter("a", 0)
	older.Add(t, 4)
	for _, c := range []struct {
		name   string
		change func([]byte) []byte
		logged bool
	}{
		{"truncated in the middle", func(raw []byte) []byte { return raw[:len(raw)/2] }, false},
		{"without the trailer", func(raw []byte) []byte { return raw[:bytes.LastIndexByte(raw[:len(raw)-1], '\n')+1] }, false},
		{"a newer format", replaceAll(`"format":1`, `"format":2`), true},
		{"wrong hash", replaceAll(`"hash":"`, `"hash":"0`), true},
		{"altered worker in an entry", replaceAll("worker/w6", "worker/w7"), true},
		{"entries and states of a newer format", replaceAll(`{"f":1,`, `{"f":2,`), true},
		{"another cluster", replaceAll(apitest.Cluster, "c-other"), true},
		{"loop in the path", replaceAll(`"path":["a"`, `"path":["a","o"`), false},
		{"an older state", func([]byte) []byte { return fullStateOf(t, older, 4) }, true},
		{"an older state with a newer header", func([]byte) []byte { return fullStateOf(t, older, 9) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := apitest.NewVoter("a", 0)
			v.Add(t, 5)
			good, stop := apitest.Serve(t, v.Handler(api.Options{}))
			var served atomic.Int64
			bad, _ := apitest.Serve(t, mangleEntries(v.Handler(api.Options{}), c.change, &served))
			var addrInUse atomic.Value
			addrInUse.Store(good)
			var log logBuffer
			o := openObserver(t, Config{Sources: []Source{{Name: "a"}}, Resolve: func(string, string) string { return addrInUse.Load().(string) },
				Log: slog.New(slog.NewTextHandler(&log, nil))})
			waitForVersion(t, o, 5)
			before := o.state.View()
			// The writes happen while no source is reachable: a response between two of them would lack what the case alters, and
			// so be valid.
			addrInUse.Store(unreachableAddr)
			stop()
			last := v.Add(t, 3)
			addrInUse.Store(bad)
			waitFor(t, "invalid responses", func() bool { return served.Load() >= 4 })
			if now := o.state.View(); now.Version() != 5 || now.Hash() != before.Hash() {
				t.Errorf("serves version %d, hash %s", now.Version(), now.Hash())
			}
			if logged := log.count("cluster_state_refused") > 0; logged != c.logged {
				t.Errorf("log has %d rejections", log.count("cluster_state_refused"))
			}
			good, _ = apitest.Serve(t, v.Handler(api.Options{}))
			addrInUse.Store(good)
			waitForVersion(t, o, last)
			if o.state.View().Hash() != v.State.View().Hash() {
				t.Error("final state differs from that of the voter")
			}
		})
	}
}

// An observer whose state differs from that of its source at the same version detects it by the hash and requests a full state.
func TestDivergentStateIsReplaced(t *testing.T) {
	v, other := apitest.NewVoter("a", 0), apitest.NewVoter("a", 0)
	v.Add(t, 5)
	other.Add(t, 4)
	if _, err := other.Write(t.Context(), apitest.DisableOrder("w4", "another", 4)); err != nil {
		t.Fatal(err)
	}
	wrong, stop := apitest.Serve(t, other.Handler(api.Options{}))
	right, _ := apitest.Serve(t, v.Handler(api.Options{}))
	var addrInUse atomic.Value
	addrInUse.Store(wrong)
	o := openObserver(t, Config{Sources: []Source{{Name: "a"}}, Resolve: func(string, string) string { return addrInUse.Load().(string) }})
	waitForVersion(t, o, 5)
	addrInUse.Store(right)
	stop()
	waitFor(t, "the state of the source", func() bool { return o.state.View().Hash() == v.State.View().Hash() })
	if strings.Contains(o.Status().Fault, "hash") {
		t.Error("the fault was not cleared")
	}
}
