package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// parseRequest reads one request as the server does, from a connection that gives a byte at a time.
func parseRequest(text string) (h head, body string, err error) {
	r := bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(text)), maxHead)
	if err = readHead(r, &h); err == nil {
		if err = h.parse(); err == nil {
			var b []byte
			b, err = readBody(r, &h, nil, maxHeld)
			body = string(b)
		}
	}
	return h, body, err
}

// Heads that two parsers could read differently are rejected, not guessed at.
func TestHeads(t *testing.T) {
	for text, want := range map[string]error{
		"GET / HTTP/1.1\r\nA: b\r\n\r\n":                                                 nil,
		"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx":              nil,
		"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy":             ErrMalformed,
		"GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\nx":                                  ErrMalformed,
		"GET / HTTP/1.1\r\nContent-Length: \r\n\r\nx":                                    ErrMalformed,
		"GET / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\nx":                                ErrMalformed,
		"GET / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n":            ErrMalformed,
		"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n": ErrMalformed,
		"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n+1\r\nx\r\n0\r\n\r\n":       ErrMalformed,
		"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n0\r\n\r\n":       ErrMalformed,
		"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n":                       ErrMalformed,
		"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n":                  ErrBodyTooBig,
		"GET / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n":                                ErrBodyTooBig,
		"GET / HTTP/1.1\r\nA : b\r\n\r\n":                                                ErrMalformed,
		"GET / HTTP/1.1\r\n: b\r\n\r\n":                                                  ErrMalformed,
		"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n":                                           ErrMalformed,
		"GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n":                                           ErrMalformed,
		"GET / HTTP/1.1\r\nA: b\x00\r\n\r\n":                                             ErrMalformed,
		"\r\n\r\n":                                                                       ErrMalformed,
		"GET / HTTP/1.1\r\nA: " + strings.Repeat("x", maxHead) + "\r\n\r\n":              ErrHeadTooBig,
	} {
		if _, _, err := parseRequest(text); !errors.Is(err, want) || err != nil && want == nil {
			t.Errorf("%.60q: got %v, want %v", text, err, want)
		}
	}
}

// A wait read in the wrong unit or form would be answered too late, or thrown away.
func TestExpires(t *testing.T) {
	got := map[string]time.Duration{}
	for _, v := range []string{"480m", "1500u", "0.5m", "", "m", "480", "480s", "-1m", "+1m", "0m", "NaNm", "1e3m", "99999999m", "0x1m"} {
		if d, ok := parseExpires([]byte(v)); ok {
			got[v] = d
		}
	}
	want := map[string]time.Duration{"480m": 480 * time.Millisecond, "1500u": 1500 * time.Microsecond,
		"0.5m": 500 * time.Microsecond}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

// The module reads a report by position: the order is the settings', whatever the worker's.
func TestReports(t *testing.T) {
	columns := []string{"util", "eps", "queue"}
	for text, want := range map[string][]float32{
		"TEXT queue=2, util=0.5, eps=0, inflight=7": {0.5, 0, 2},
		"TEXT queue=2, util=0.5":                    nil,
		"TEXT queue=2, util=NaN, eps=0":             nil,
		"TEXT queue=2, queue=3, util=1":             nil,
		"JSON {}":                                   nil,
	} {
		if diff := cmp.Diff(want, parseReport([]byte(text), columns)); diff != "" {
			t.Errorf("%s: (-want +got)\n%s", text, diff)
		}
	}
}

// A list is taken whole or not at all: half of one could keep a drained worker in use.
func TestLists(t *testing.T) {
	const good = `{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"a","lifecycle":"up","weight":1.5,"startedAtMs":7}`
	list := func(items string) string { return `{"generation":4,"reset":true,"instances":[` + items + `]}` }
	got, err := ParseList([]byte(list(good)))
	want := &List{Generation: 4, Reset: true, Instances: []Instance{{ID: "s-1", Addr: "127.0.0.1:1", Zone: "a",
		Lifecycle: Up, Weight: 1.5, StartedMs: 7}}}
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("%v (-want +got)\n%s", err, diff)
	}
	for _, bad := range []string{"", "null", "{}", `{"generation":1}`, list(good + "," + good),
		list(strings.Replace(good, "s-1", "", 1)), list(strings.Replace(good, "up", "lost", 1)),
		list(strings.Replace(good, "127.0.0.1:1", "nowhere", 1)), list(strings.Replace(good, "1.5", "-1", 1)),
		list(strings.Replace(good, `:7`, `:99999999999999999`, 1)), list(good) + "x"} {
		if l, err := ParseList([]byte(bad)); err == nil {
			t.Errorf("%s: taken as %+v", bad, l)
		}
	}
}

// An id is remembered after its request's end for as long as an attempt of it may run, and not for ever.
func TestTraces(t *testing.T) {
	for _, longest := range []time.Duration{0, time.Second, traceMemory, 7 * traceMemory} {
		var a traces
		now := time.Now()
		memory := max(longest, traceMemory)
		got := []bool{}
		for _, after := range []time.Duration{0, 1, memory - 1, memory + 1, 3 * memory, 5 * memory} {
			taken := a.take([]byte("t1"), now.Add(after), longest)
			if got = append(got, taken); taken {
				a.end([]byte("t1"), now.Add(after), longest)
			}
		}
		if diff := cmp.Diff([]bool{true, false, false, false, true, true}, got); diff != "" || len(a.of)+len(a.old) > 2 || len(a.open) > 0 {
			t.Errorf("longest %v: %d remembered, %d open (-want +got)\n%s", longest, len(a.of)+len(a.old), len(a.open), diff)
		}
	}
}

// The id of a request that is open is another client's however long that takes, and others that come and go change nothing.
func TestTraceOfALongRequest(t *testing.T) {
	var a traces
	now := time.Now()
	a.take([]byte("long"), now, 0)
	for i := range 20 {
		id := []byte(strconv.Itoa(i))
		now = now.Add(traceMemory)
		if !a.take(id, now, 0) || a.take([]byte("long"), now, 0) {
			t.Fatalf("after %v", time.Duration(i+1)*traceMemory)
		}
		a.end(id, now, 0)
	}
	a.end([]byte("long"), now, 0)
	if a.take([]byte("long"), now.Add(traceMemory-1), 0) || !a.take([]byte("long"), now.Add(3*traceMemory), 0) {
		t.Error("not remembered for as long after its end")
	}
}

// What is remembered of answered requests is bounded, and forgets none that is open.
func TestTracesAreBounded(t *testing.T) {
	var a traces
	now := time.Now()
	a.take([]byte("open"), now, time.Hour)
	for i := range 3 * mostTraces {
		id := []byte(strconv.Itoa(i))
		a.take(id, now, time.Hour)
		a.end(id, now, time.Hour)
	}
	if n := len(a.of) + len(a.old); n > 2*mostTraces || a.take([]byte("open"), now, time.Hour) {
		t.Errorf("%d remembered, or the open one forgotten", n)
	}
}

// Interim responses are passed over, but not for ever: a worker that sends nothing else would cost all CPU.
func TestInterim(t *testing.T) {
	for n, ok := range map[int]bool{0: true, 1: true, maxInterim: true, maxInterim + 1: false} {
		text := strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", n) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		if _, err := readReply(bufio.NewReader(strings.NewReader(text)), nil, &Reply{}); (err == nil) != ok {
			t.Errorf("%d interim responses: %v", n, err)
		}
	}
}

// A client that sends what is no call at full speed must not fill the log.
func TestTally(t *testing.T) {
	var a tally
	now := time.Now()
	got := []int{}
	for _, after := range []time.Duration{0, 1, 2, tallyPace, tallyPace + 1, 3 * tallyPace} {
		if held, ok := a.due(now.Add(after)); ok {
			got = append(got, held)
		}
	}
	if diff := cmp.Diff([]int{0, 2, 1}, got); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

// What the parser takes, an independent one must read alike: a difference is room for a smuggled call.
func FuzzRequest(f *testing.F) {
	f.Add("POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi")
	f.Add("GET / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2;a\r\nhi\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		h, body, err := parseRequest(text)
		if err != nil {
			return
		}
		out := bytes.Join((&request{head: &h, body: []byte(body)}).Encode("w:1", time.Second), nil)
		if string(h.start[2]) != "HTTP/1.1" || !token(h.start[0]) {
			return
		}
		q, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(out)))
		if err != nil {
			return // net/http is stricter on targets; the worker decides
		}
		if q.Method != string(h.start[0]) || q.RequestURI != string(h.start[1]) || q.Host != "w:1" && q.URL.Host == "" {
			t.Errorf("%q became %q", text, out)
		}
		var b bytes.Buffer
		if n, err := b.ReadFrom(q.Body); err != nil || b.String() != body {
			t.Errorf("body %q became %q (%d, %v)", body, b.String(), n, err)
		}
	})
}

// However a body is framed, cut into chunks, and cut by the network, every length comes out as net/http's writer put it in;
// what follows it is left unread.
func TestFramedInPieces(t *testing.T) {
	for _, n := range []int{0, 1, 255, maxHead, maxHeld, maxHeld + 1, 200_000} {
		body := []byte(strings.Repeat("0123456789abcdef", n/16+1)[:n])
		for _, size := range []int{1, 7, 4096, 1 << 20} { // of a chunk
			var wire bytes.Buffer
			w := httputil.NewChunkedWriter(&wire)
			for rest := body; len(rest) > 0; rest = rest[min(size, len(rest)):] {
				w.Write(rest[:min(size, len(rest))])
			}
			w.Close()
			wire.WriteString("Trailer: x\r\n\r\nnext")
			check := func(name string, from io.Reader, h head) {
				r := bufio.NewReaderSize(from, maxHead)
				f := h.body(r, false, MaxBody)
				held, err := f.upTo(nil, maxWindow)
				if len(held) != min(n, maxWindow) || err != nil {
					t.Fatalf("%s, %d in %d: held %d, %v", name, n, size, len(held), err)
				}
				rest, err := io.ReadAll(&f)
				if got := append(held, rest...); !bytes.Equal(got, body) || err != nil || !f.over {
					t.Fatalf("%s, %d in %d: got %d bytes, %v", name, n, size, len(got), err)
				}
				if left, _ := io.ReadAll(r); string(left) != "next" {
					t.Fatalf("%s, %d in %d: %q was left", name, n, size, left)
				}
			}
			check("chunks", bytes.NewReader(wire.Bytes()), head{length: -1, chunked: true})
			if n <= maxHead { // a byte at a time
				check("chunks, single bytes", iotest.OneByteReader(bytes.NewReader(wire.Bytes())), head{length: -1, chunked: true})
			}
			check("length", strings.NewReader(string(body)+"next"), head{length: int64(n)})
		}
	}
}

// A client is cut off by its pace, not by the length of what it sends, and a slow worker's time is not the client's.
func TestUploadPace(t *testing.T) {
	for name, c := range map[string]struct {
		waited time.Duration
		got    int64
		ok     bool
	}{
		"32 MiB at 64 kB/s":             {waited: 512 * time.Second, got: 32 << 20, ok: true},
		"a stall of 2 s":                {waited: 2 * time.Second, got: 20 << 10, ok: true},
		"a stall of 4 s":                {waited: 4 * time.Second, got: 20 << 10},
		"16 kB/s for a minute":          {waited: time.Minute, got: 960 << 10},
		"waited for long by its worker": {got: 1 << 20, ok: true},
	} {
		server, client := connected(t)
		u := newUpload((&head{length: 64 << 20}).body(server.r, false, MaxBody), server.Client, c.waited, c.got, time.Second)
		if c.ok { // what lies there is read, however late
			client.Write([]byte("more"))
		}
		n, err := u.read(make([]byte, pieceSize))
		if (err == nil && n > 0) != c.ok || err != nil && !isTimeout(err) {
			t.Errorf("%s: %d bytes, %v", name, n, err)
		}
	}
}

// A worker's bytes, whatever they are, end in an answer or an error, within bounds.
func FuzzReply(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		var reply Reply
		_, err := readReply(bufio.NewReaderSize(strings.NewReader(text), maxHead), []string{"util"}, &reply)
		if err == nil && (len(reply.Body) > maxHeld || bytes.Contains(reply.Header, []byte("\r\n\r\n"))) {
			t.Errorf("%q: %+v", text, reply)
		}
	})
}

func FuzzList(f *testing.F) {
	f.Add([]byte(`{"generation":1,"reset":true,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"up"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := ParseList(text)
		for i := 0; err == nil && i < len(l.Instances); i++ {
			if l.Instances[i].check() != nil {
				t.Errorf("%s: %+v", text, l)
			}
		}
	})
}

func FuzzReport(f *testing.F) {
	f.Add([]byte("TEXT util=0.5, eps=1"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if v := parseReport(text, []string{"util", "eps"}); v != nil && len(v) != 2 {
			t.Errorf("%q: %v", text, v)
		}
	})
}
