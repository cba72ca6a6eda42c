package api_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"burlpass/internal/cluster/api"
	"burlpass/internal/cluster/apitest"
	"burlpass/internal/record"
)

// entriesRequest returns a request with a long silence timeout.
func entriesRequest(since record.Version, wait time.Duration, name string) api.EntriesRequest {
	return api.EntriesRequest{Since: since, Wait: wait, Name: name, SilenceTimeout: 10 * time.Second}
}

func TestLongPollReturnsNextEntry(t *testing.T) {
	v := apitest.NewVoter("a", 4)
	c := newTestClient(t, v.Handler(api.Options{}))
	b, err := c.Entries(t.Context(), entriesRequest(0, 0, "o1"))
	if err != nil || b.Version != 0 || b.Count != 0 || b.Hash != v.State.View().Hash() || b.Path[0] != "a" || !b.Leader {
		t.Fatalf("empty response: %+v, %v", b, err)
	}
	got := make(chan *api.Batch)
	go func() {
		b, err := c.Entries(t.Context(), entriesRequest(0, time.Minute, "o1"))
		if err != nil {
			t.Error(err)
		}
		got <- b
	}()
	v.Add(t, 1)
	if b = <-got; b == nil || b.Kind != api.KindEntries || b.Version < 1 || len(b.Entries) == 0 {
		t.Fatalf("next entry: %+v", b)
	}
	v.Add(t, 5)
	for since, want := range map[record.Version]string{1: api.KindState, 2: api.KindEntries, 6: api.KindEntries} {
		b, err := c.Entries(t.Context(), entriesRequest(since, 0, "o1"))
		if err != nil || b.Kind != want || b.Version != 6 || b.Hash != v.State.View().Hash() {
			t.Errorf("after version %d: %+v, %v; want kind %s", since, b, err, want)
			continue
		}
		if b.Kind == api.KindState {
			m := record.New(record.Bounds{}, record.Orders())
			if err := m.Restore(b.State()); err != nil || m.View().Hash() != b.Hash {
				t.Errorf("restored state: %v", err)
			}
		}
	}
	// A source that is behind sends no entries and no state, which the follower could not use.
	if b, err = c.Entries(t.Context(), entriesRequest(9, 0, "o1")); err != nil || b.Count != 0 || b.Version != 6 || b.Kind != api.KindEntries {
		t.Errorf("ahead of the source: %+v, %v", b, err)
	}
	whole := entriesRequest(6, 0, "o1")
	whole.FullState = true
	if b, err = c.Entries(t.Context(), whole); err != nil || b.Kind != api.KindState || b.Version != 6 {
		t.Errorf("full state: %+v, %v", b, err)
	}
	avoid := entriesRequest(6, 0, "o1")
	avoid.AvoidLeader = true
	if _, err = c.Entries(t.Context(), avoid); !errors.Is(err, api.ErrSourceIsLeader) {
		t.Errorf("leader did not refuse: %v", err)
	}
}

func TestFollowerSlotsAreBoundedAndNamed(t *testing.T) {
	v := apitest.NewVoter("a", 0)
	c := newTestClient(t, v.Handler(api.Options{Followers: 2, FollowerTTL: time.Hour}))
	with := entriesRequest(0, 0, "o1")
	with.Addr = "127.0.0.1:7"
	for _, a := range []api.EntriesRequest{with, entriesRequest(0, 0, "o2")} {
		if _, err := c.Entries(t.Context(), a); err != nil {
			t.Fatal(err)
		}
	}
	var full *api.AtCapacityError
	if _, err := c.Entries(t.Context(), entriesRequest(0, 0, "o3")); !errors.As(err, &full) || len(full.Alternatives) != 1 || full.Alternatives[0] != (api.Peer{Name: "o1", Addr: "127.0.0.1:7"}) {
		t.Errorf("third follower: %v, %+v", err, full)
	}
	// A second call under a name ends the first one, so that a name has one slot.
	long := make(chan error, 1)
	go func() {
		_, err := c.Entries(t.Context(), entriesRequest(0, time.Minute, "o2"))
		long <- err
	}()
	for ended := false; !ended; {
		if _, err := c.Entries(t.Context(), entriesRequest(0, 0, "o2")); err != nil && !errors.Is(err, api.ErrRefused) {
			t.Fatal(err)
		}
		select {
		case err := <-long:
			if ended = true; !errors.Is(err, api.ErrRefused) {
				t.Errorf("older call ended with %v", err)
			}
		default:
		}
	}
	c = newTestClient(t, v.Handler(api.Options{Followers: 1, FollowerTTL: time.Nanosecond}))
	for _, name := range []string{"o1", "o2"} {
		if _, err := c.Entries(t.Context(), entriesRequest(0, 0, name)); err != nil {
			t.Errorf("%s, after the slot expired: %v", name, err)
		}
	}
}

func TestTruncatedOrAlteredBatchesAreRejected(t *testing.T) {
	v := apitest.NewVoter("a", 2)
	v.Add(t, 5)
	var state bytes.Buffer
	if err := record.Save(&state, v.State.View()); err != nil {
		t.Fatal(err)
	}
	entries, view, _ := v.State.Since(3)
	head := api.Header{Format: api.Format, Cluster: "c", Since: 3, Version: 5, Hash: view.Hash(), Path: []string{"a"}}
	ofEntries, ofState := &api.Batch{Header: head, Entries: entries}, &api.Batch{Header: head, SavedState: state.Bytes()}
	ofEntries.Kind, ofEntries.Count = api.KindEntries, 2
	ofState.Kind, ofState.Count = api.KindState, bytes.Count(state.Bytes(), []byte("\n"))
	for _, b := range []*api.Batch{ofEntries, ofState} {
		raw := b.Append(nil)
		whole, err := api.ReadBatch(bytes.NewReader(raw), 1<<20)
		if err != nil || !bytes.Equal(whole.Append(nil), raw) {
			t.Fatalf("%s: %v", b.Kind, err)
		}
		for n := range raw {
			if _, err := api.ReadBatch(bytes.NewReader(raw[:n]), 1<<20); err == nil {
				t.Fatalf("%s: accepted after truncation to %d of %d bytes", b.Kind, n, len(raw))
			}
		}
		for old, changed := range map[string]string{`"count":`: `"count":1`, `"format":1`: `"format":2`, `{"end":true`: `{"end":false`,
			"{\"end\":true,\"hash\":\"": "{\"end\":true,\"hash\":\"f"} {
			at := strings.LastIndex(string(raw), old)
			text := string(raw[:at]) + changed + string(raw[at+len(old):])
			if _, err := api.ReadBatch(strings.NewReader(text), 1<<20); err == nil {
				t.Errorf("%s: accepted with %s in place of %s", b.Kind, changed, old)
			}
		}
		if _, err := api.ReadBatch(bytes.NewReader(append(raw, '\n')), 1<<20); err == nil {
			t.Errorf("%s: accepted with trailing data", b.Kind)
		}
		if _, err := api.ReadBatch(bytes.NewReader(raw), 100); err == nil {
			t.Errorf("%s: accepted beyond the size limit", b.Kind)
		}
	}
}

// smallBufferListener accepts connections with a small write buffer.
type smallBufferListener struct{ net.Listener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(4096)
	}
	return c, err
}

func TestSlowFollowerIsDisconnected(t *testing.T) {
	v := apitest.NewVoter("a", 1)
	v.Add(t, 3000) // exceeds the socket buffers
	aborted := make(chan struct{}, 1)
	h := v.Handler(api.Options{MaxStateTransfers: 1, RequestTimeout: 300 * time.Millisecond})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	apitest.ServeOn(t, smallBufferListener{l}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if r := recover(); r != nil {
				aborted <- struct{}{}
				panic(r)
			}
		}()
		h.ServeHTTP(w, r)
	}))
	slow, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	_ = slow.(*net.TCPConn).SetReadBuffer(4096)
	if _, err := io.WriteString(slow, "GET /v1/entries?name=slow&state=1 HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	first := make([]byte, 1)
	if _, err := io.ReadFull(slow, first); err != nil { // the only state transfer slot is occupied
		t.Fatal(err)
	}
	v.Add(t, 1) // the slow follower blocks no writes
	c := newClientFor(t, addr)
	whole := entriesRequest(0, 0, "o1")
	whole.FullState = true
	for {
		b, err := c.Entries(t.Context(), whole)
		if err == nil && b.Kind == api.KindState {
			break
		}
		if !errors.Is(err, api.ErrRefused) {
			t.Fatal(err)
		}
	}
	select {
	case <-aborted:
	default:
		t.Error("the slow follower received the full response")
	}
}

func TestSilentSourceTimesOut(t *testing.T) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	for name, say := range map[string]string{"from the start": "", "in the middle": `{"format":1,`} {
		c := newTestClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, say)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
			case <-stop:
			}
		}))
		a := entriesRequest(0, 0, "o1")
		a.SilenceTimeout = 50 * time.Millisecond
		if _, err := c.Entries(t.Context(), a); err == nil || !strings.Contains(err.Error(), "silent") {
			t.Errorf("%s: %v", name, err)
		}
	}
}
