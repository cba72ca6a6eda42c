package api_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"burlpass/internal/cluster/api"
	"burlpass/internal/cluster/apitest"
	"burlpass/internal/record"
)

// A server's connection that ends over bytes not read sleeps half a second by itself.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait"))
}

// client serves a handler and gives a client of it.
func newTestClient(t *testing.T, h http.Handler) *api.Client {
	t.Helper()
	addr, _ := apitest.Serve(t, h)
	return newClientFor(t, addr)
}

func newClientFor(t *testing.T, addr string) *api.Client {
	transport := api.NewTransport(time.Second, nil)
	t.Cleanup(transport.CloseIdleConnections)
	return api.NewClient(addr, transport)
}

func TestWriteIsRefusedOnlyWhenCertainlyNotApplied(t *testing.T) {
	v := apitest.NewVoter("a", 0)
	var writeErr error
	v.Fails = func(*record.Write) (bool, error) { return false, writeErr }
	asked := newTestClient(t, v.Handler(api.Options{}))
	writeErr = fmt.Errorf("%w: no leader", api.ErrRefused)
	if _, err := asked.Write(t.Context(), apitest.DisableOrder("x1", "w1", 0)); !errors.Is(err, api.ErrRefused) || !strings.Contains(err.Error(), "no leader") {
		t.Errorf("a refusal came as %v", err)
	}
	for _, writeErr = range []error{api.ErrUnknown, errors.New("anything else"), context.DeadlineExceeded} {
		if _, err := asked.Write(t.Context(), apitest.DisableOrder("x1", "w1", 0)); !errors.Is(err, api.ErrUnknown) {
			t.Errorf("%v came as %v", writeErr, err)
		}
	}
	writeErr = nil
	r, err := asked.Write(t.Context(), apitest.DisableOrder("x1", "w1", 0))
	if err != nil || r.Outcome != record.Applied || r.Version != 1 {
		t.Errorf("the result came as %+v, %v", r, err)
	}
	if kept, ok, err := asked.Result(t.Context(), "x1"); err != nil || !ok || kept.Version != 1 {
		t.Errorf("remembered: %+v, %v, %v", kept, ok, err)
	}
	if _, ok, err := asked.Result(t.Context(), "x2"); ok || err != nil {
		t.Errorf("a result of a write that never was: %v, %v", ok, err)
	}

	for name, h := range map[string]http.HandlerFunc{
		"connection cut": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"answer cut": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, `{"id":"x1","outcome":"applied"`)
		},
		"no result": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{}`) },
		"another's": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"id":"y","outcome":"applied"}`)
		},
		"a stranger's":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"a redirect":     func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/v1/status", http.StatusSeeOther) },
		"a gate's error": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
	} {
		if _, err := newTestClient(t, h).Write(t.Context(), apitest.DisableOrder("x1", "w1", 0)); !errors.Is(err, api.ErrUnknown) {
			t.Errorf("%s: %v", name, err)
		}
	}

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddr := l.Addr().String()
	l.Close()
	if _, err := newClientFor(t, closedAddr).Write(t.Context(), apitest.DisableOrder("x1", "w1", 0)); !errors.Is(err, api.ErrRefused) {
		t.Errorf("where nobody listens: %v", err)
	}
}

func TestInvalidInputErrorsNameLocation(t *testing.T) {
	v := apitest.NewVoter("a", 0)
	addr, _ := apitest.Serve(t, v.Handler(api.Options{MaxBodyBytes: 512}))
	for _, c := range []struct{ method, call, body, want string }{
		{"POST", "/v1/write", `{"id":"x","bye":1}`, `byte 18: json: unknown field "bye"`},
		{"POST", "/v1/write", `{"id":"x","base":-1}`, "base"},
		{"POST", "/v1/write", `{"id":"x"} {}`, "more than one value"},
		{"POST", "/v1/write", `{"by":"x"}`, "id is missing"},
		{"POST", "/v1/write", `{"id":"` + strings.Repeat("x", 600) + `"}`, "too large"},
		{"GET", "/v1/read", "", "kind is missing"},
		{"GET", "/v1/read?kind=order&kind=order", "", "kind: once"},
		{"GET", "/v1/read?kind=order&consistent=yes", "", "consistent"},
		{"GET", "/v1/read?kind=order&all=1", "", `"all" is not known`},
		{"GET", "/v1/entries?since=1", "", "name is missing"},
		{"GET", "/v1/entries?name=o&since=-1", "", "since"},
		{"GET", "/v1/entries?name=o&addr=here", "", "addr"},
		{"GET", "/v1/result", "", "id is missing"},
		{"GET", "/v1/status?full=1", "", "full"},
	} {
		r, _ := http.NewRequestWithContext(t.Context(), c.method, "http://"+addr+c.call, strings.NewReader(c.body))
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
		if err != nil {
			t.Fatal(err)
		}
		var reply struct{ Invalid string }
		err = json.NewDecoder(resp.Body).Decode(&reply)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusBadRequest || !strings.Contains(reply.Invalid, c.want) {
			t.Errorf("%s %s: status %d, %q, %v; %q is expected", c.call, c.body, resp.StatusCode, reply.Invalid, err, c.want)
		}
	}
	if v.State.View().Version() != 0 {
		t.Error("a malformed write was taken")
	}
}

func TestReadsAndMetrics(t *testing.T) {
	v := apitest.NewVoter("a", 0)
	v.Age.Store(int64(1500 * time.Millisecond))
	addr, _ := apitest.Serve(t, v.Handler(api.Options{}))
	c := newClientFor(t, addr)
	if _, err := c.Write(t.Context(), apitest.DisableOrder("x1", "first", 0)); err != nil {
		t.Fatal(err)
	}
	v.Add(t, 2)
	all, err := c.Read(t.Context(), record.OrderKind, "", false)
	if err != nil || len(all.Items) != 3 || all.Version != 3 || all.Hash != v.State.View().Hash() || all.AgeMs != 1500 {
		t.Errorf("all: %+v, %v", all, err)
	}
	one, err := c.Read(t.Context(), record.OrderKind, "worker/w1", true)
	if err != nil || len(one.Items) != 1 || one.Items[0].Key != "worker/w1" {
		t.Errorf("one: %+v, %v", one, err)
	}
	if none, err := c.Read(t.Context(), record.OrderKind, "worker/w9", false); err != nil || len(none.Items) != 0 {
		t.Errorf("none: %+v, %v", none, err)
	}
	if st, err := c.Status(t.Context()); err != nil || st.Version != 3 || st.State != "leader" {
		t.Errorf("status: %+v, %v", st, err)
	}
	if _, err := c.Entries(t.Context(), api.EntriesRequest{Name: "o1", SilenceTimeout: time.Second}); err != nil {
		t.Error(err)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + addr + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	for _, want := range []string{"burlpass_cluster_version 3\n", "burlpass_cluster_age_seconds 1.5\n", "burlpass_cluster_followers 1\n",
		`burlpass_cluster_member{role="voter",state="leader"} 1`, `burlpass_cluster_writes_total{outcome="applied"} 1`,
		"burlpass_cluster_write_seconds_count 1\n", "burlpass_cluster_entries_served_total 3\n"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("no %q in the figures", want)
		}
	}
}
