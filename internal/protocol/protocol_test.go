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

// parseRequest reads one request as the server does, from a connection that returns one byte at a time.
func parseRequest(text string) (h head, body string, err error) {
	r := bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(text)), maxHeadBytes)
	if err = readHead(r, &h, nil); err == nil {
		if err = h.parse(nil); err == nil {
			var b []byte
			b, err = readBody(r, &h, nil, maxBufferedBody)
			body = string(b)
		}
	}
	return h, body, err
}

// Heads that two parsers could interpret differently must be rejected: they would allow request smuggling.
func TestHeads(t *testing.T) {
	for text, want := range map[string]error{
		"GET / HTTP/1.1\r\nA: b\r\n\r\n":                                                            nil,
		"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx":                         nil,
		"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy":                        ErrMalformed,
		"GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\nx":                                             ErrMalformed,
		"GET / HTTP/1.1\r\nContent-Length: \r\n\r\nx":                                               ErrMalformed,
		"GET / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\nx":                                           ErrMalformed,
		"GET / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n":                       ErrMalformed,
		"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n":            ErrMalformed,
		"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n+1\r\nx\r\n0\r\n\r\n":                  ErrMalformed,
		"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n0\r\n\r\n":                  ErrMalformed,
		"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n":                                  ErrMalformed,
		"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n":                             ErrBodyTooBig,
		"GET / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n":                                           ErrBodyTooBig,
		"GET / HTTP/1.1\r\nA : b\r\n\r\n":                                                           ErrMalformed,
		"GET / HTTP/1.1\r\n: b\r\n\r\n":                                                             ErrMalformed,
		"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n":                                                      ErrMalformed,
		"GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n":                                                      ErrMalformed,
		"GET / HTTP/1.1\r\nA: b\x00\r\n\r\n":                                                        ErrMalformed,
		"\r\n\r\n":                                                                                  ErrMalformed,
		"GET / HTTP/1.1\r\nConnection: a" + strings.Repeat(",a", maxConnectionOptions) + "\r\n\r\n": ErrMalformed,
		"GET / HTTP/1.1\r\nA: " + strings.Repeat("x", maxHeadBytes) + "\r\n\r\n":                    ErrHeadTooBig,
	} {
		if _, _, err := parseRequest(text); !errors.Is(err, want) || err != nil && want == nil {
			t.Errorf("%.60q: got %v, want %v", text, err, want)
		}
	}
}

// A deadline parsed with the wrong unit or format would make the sidecar answer too late, or reject a valid call.
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

// The balancing module reads a load report by position: the order is that of the settings, not of the worker.
func TestLoadReports(t *testing.T) {
	columns := []string{"util", "eps", "queue"}
	for text, want := range map[string][]float32{
		"TEXT queue=2, util=0.5, eps=0, inflight=7": {0.5, 0, 2},
		"TEXT queue=2, util=0.5":                    nil,
		"TEXT queue=2, util=NaN, eps=0":             nil,
		"TEXT queue=2, queue=3, util=1":             nil,
		"JSON {}":                                   nil,
	} {
		if diff := cmp.Diff(want, parseLoadReport([]byte(text), columns)); diff != "" {
			t.Errorf("%s: (-want +got)\n%s", text, diff)
		}
	}
}

// A list is accepted completely or not at all: a partial one could keep a drained worker in use.
func TestLists(t *testing.T) {
	const good = `{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"a","lifecycle":"up","weight":1.5,"startedAtMs":7}`
	list := func(items string) string { return `{"generation":4,"reset":true,"instances":[` + items + `]}` }
	got, err := ParseList([]byte(list(good)))
	want := &List{Generation: 4, Reset: true, Instances: []Instance{{ID: "s-1", Addr: "127.0.0.1:1", Zone: "a",
		Lifecycle: LifecycleUp, Weight: 1.5, StartedMs: 7}}}
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("%v (-want +got)\n%s", err, diff)
	}
	for _, bad := range []string{"", "null", "{}", `{"generation":1}`, list(good + "," + good),
		list(strings.Replace(good, "s-1", "", 1)), list(strings.Replace(good, "up", "lost", 1)),
		list(strings.Replace(good, "127.0.0.1:1", "nowhere", 1)), list(strings.Replace(good, "1.5", "-1", 1)),
		list(strings.Replace(good, `:7`, `:99999999999999999`, 1)), list(good) + "x"} {
		if l, err := ParseList([]byte(bad)); err == nil {
			t.Errorf("%s: accepted as %+v", bad, l)
		}
	}
}

// An ID is remembered after its request's end for as long as an attempt of it may run, and not forever.
func TestRecentIDs(t *testing.T) {
	for _, longest := range []time.Duration{0, time.Second, minIDRetention, 7 * minIDRetention} {
		var ids recentIDs
		now := time.Now()
		memory := max(longest, minIDRetention)
		got := []bool{}
		for _, after := range []time.Duration{0, 1, memory - 1, memory + 1, 3 * memory, 5 * memory} {
			taken := ids.tryAdd([]byte("t1"), now.Add(after), longest)
			if got = append(got, taken); taken {
				ids.finish([]byte("t1"), now.Add(after), longest)
			}
		}
		if diff := cmp.Diff([]bool{true, false, false, false, true, true}, got); diff != "" || len(ids.current)+len(ids.previous) > 2 || len(ids.open) > 0 {
			t.Errorf("longest %v: %d remembered, %d open (-want +got)\n%s", longest, len(ids.current)+len(ids.previous), len(ids.open), diff)
		}
	}
}

// The ID of an open request is never forgotten, however long the request takes and however many others come and go.
func TestIDOfOpenRequestIsKept(t *testing.T) {
	var ids recentIDs
	now := time.Now()
	ids.tryAdd([]byte("long"), now, 0)
	for i := range 20 {
		id := []byte(strconv.Itoa(i))
		now = now.Add(minIDRetention)
		if !ids.tryAdd(id, now, 0) || ids.tryAdd([]byte("long"), now, 0) {
			t.Fatalf("after %v", time.Duration(i+1)*minIDRetention)
		}
		ids.finish(id, now, 0)
	}
	ids.finish([]byte("long"), now, 0)
	if ids.tryAdd([]byte("long"), now.Add(minIDRetention-1), 0) || !ids.tryAdd([]byte("long"), now.Add(3*minIDRetention), 0) {
		t.Error("not remembered for as long after its end")
	}
}

// The number of IDs kept for answered requests is bounded, and the bound does not drop the ID of an open request.
func TestRecentIDsAreBounded(t *testing.T) {
	var ids recentIDs
	now := time.Now()
	ids.tryAdd([]byte("open"), now, time.Hour)
	for i := range 3 * maxIDsPerPeriod {
		id := []byte(strconv.Itoa(i))
		ids.tryAdd(id, now, time.Hour)
		ids.finish(id, now, time.Hour)
	}
	if n := len(ids.current) + len(ids.previous); n > 2*maxIDsPerPeriod || ids.tryAdd([]byte("open"), now, time.Hour) {
		t.Errorf("%d remembered, or the open one dropped", n)
	}
}

// Interim responses are skipped, but not forever: a worker that sends nothing else would use all of the CPU.
func TestInterimResponsesAreBounded(t *testing.T) {
	for n, ok := range map[int]bool{0: true, 1: true, maxInterimResponses: true, maxInterimResponses + 1: false} {
		text := strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", n) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		if _, err := readReply(bufio.NewReader(strings.NewReader(text)), nil, &Reply{}); (err == nil) != ok {
			t.Errorf("%d interim responses: %v", n, err)
		}
	}
}

// A client that sends invalid requests at full speed must not fill the log.
func TestLogLimiter(t *testing.T) {
	var limiter logLimiter
	now := time.Now()
	got := []int{}
	for _, after := range []time.Duration{0, 1, 2, logInterval, logInterval + 1, 3 * logInterval} {
		if suppressed, ok := limiter.allow(now.Add(after)); ok {
			got = append(got, suppressed)
		}
	}
	if diff := cmp.Diff([]int{0, 2, 1}, got); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

// An independent parser must read what this one accepts in the same way: a difference would allow request smuggling.
func FuzzRequest(f *testing.F) {
	f.Add("POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi")
	f.Add("GET / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2;a\r\nhi\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		h, body, err := parseRequest(text)
		if err != nil {
			return
		}
		out := bytes.Join((&request{head: &h, body: []byte(body)}).Encode("w:1", time.Second), nil)
		if string(h.startLine[2]) != "HTTP/1.1" || !isToken(h.startLine[0]) {
			return
		}
		q, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(out)))
		if err != nil {
			return // net/http is stricter on targets; the worker decides
		}
		if q.Method != string(h.startLine[0]) || q.RequestURI != string(h.startLine[1]) || q.Host != "w:1" && q.URL.Host == "" {
			t.Errorf("%q became %q", text, out)
		}
		var b bytes.Buffer
		if n, err := b.ReadFrom(q.Body); err != nil || b.String() != body {
			t.Errorf("body %q became %q (%d, %v)", body, b.String(), n, err)
		}
	})
}

// However a body is framed, split into chunks and fragmented by the network, it is decoded as net/http's writer encoded it,
// and what follows it is left unread.
func TestBodyReaderAnyChunking(t *testing.T) {
	for _, n := range []int{0, 1, 255, maxHeadBytes, maxBufferedBody, maxBufferedBody + 1, 200_000} {
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
				r := bufio.NewReaderSize(from, maxHeadBytes)
				f := h.body(r, false, MaxBody)
				buffered, err := f.readUpTo(nil, bodyWindow)
				if len(buffered) != min(n, bodyWindow) || err != nil {
					t.Fatalf("%s, %d in %d: buffered %d, %v", name, n, size, len(buffered), err)
				}
				rest, err := io.ReadAll(&f)
				if got := append(buffered, rest...); !bytes.Equal(got, body) || err != nil || !f.done {
					t.Fatalf("%s, %d in %d: got %d bytes, %v", name, n, size, len(got), err)
				}
				if left, _ := io.ReadAll(r); string(left) != "next" {
					t.Fatalf("%s, %d in %d: %q was left", name, n, size, left)
				}
			}
			check("chunks", bytes.NewReader(wire.Bytes()), head{length: -1, chunked: true})
			if n <= maxHeadBytes { // a byte at a time
				check("chunks, single bytes", iotest.OneByteReader(bytes.NewReader(wire.Bytes())), head{length: -1, chunked: true})
			}
			check("length", strings.NewReader(string(body)+"next"), head{length: int64(n)})
		}
	}
}

// A client is cut off because of its rate, not because of the length of its body, and the time that a slow worker takes
// does not count against the client.
func TestUploadMinimumRate(t *testing.T) {
	for name, c := range map[string]struct {
		waited   time.Duration
		received int64
		ok       bool
	}{
		"32 MiB at 64 kB/s":             {waited: 512 * time.Second, received: 32 << 20, ok: true},
		"a stall of 2 s":                {waited: 2 * time.Second, received: 20 << 10, ok: true},
		"a stall of 4 s":                {waited: 4 * time.Second, received: 20 << 10},
		"16 kB/s for a minute":          {waited: time.Minute, received: 960 << 10},
		"waited for long by its worker": {received: 1 << 20, ok: true},
	} {
		server, client := newClientPair(t)
		u := newUpload((&head{length: 64 << 20}).body(server.r, false, MaxBody), server.Client, c.waited, c.received, time.Second)
		if c.ok { // buffered data is read, however late
			client.Write([]byte("more"))
		}
		n, err := u.read(make([]byte, uploadBufferSize))
		if (err == nil && n > 0) != c.ok || err != nil && !isTimeout(err) {
			t.Errorf("%s: %d bytes, %v", name, n, err)
		}
	}
}

// Whatever bytes a worker sends, they result in a reply or an error, within the limits.
func FuzzReply(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		var reply Reply
		_, err := readReply(bufio.NewReaderSize(strings.NewReader(text), maxHeadBytes), []string{"util"}, &reply)
		if err == nil && (len(reply.Body) > maxBufferedBody || bytes.Contains(reply.Header, []byte("\r\n\r\n"))) {
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
		if v := parseLoadReport(text, []string{"util", "eps"}); v != nil && len(v) != 2 {
			t.Errorf("%q: %v", text, v)
		}
	})
}
