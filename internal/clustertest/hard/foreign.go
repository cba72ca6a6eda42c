package hard

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"

	"burlpass/internal/cluster/frames"
)

// impostors stand before an observer's sources and change what these answer to /v1/entries.
type impostors struct {
	mu     sync.Mutex
	change func([]byte) []byte // nil: nothing is changed
	served atomic.Int64        // answers that were changed
}

func (m *impostors) set(change func([]byte) []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.change = change
	m.served.Store(0)
}

// before starts one before a voter.
func (s *Scene) before(_, _, addr string) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	to := &url.URL{Scheme: "http", Host: addr}
	via := &http.Transport{}
	proxy := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(to) }, Transport: via, ModifyResponse: s.impostors.answer,
		ErrorHandler: func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }}
	server := &http.Server{Handler: proxy}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(frames.Listen(ln)) // members dial each other in frames
	}()
	s.t.Cleanup(func() {
		_ = server.Close()
		<-done
		via.CloseIdleConnections()
	})
	return ln.Addr().String(), nil
}

func (m *impostors) answer(r *http.Response) error {
	if r.Request.URL.Path != "/v1/entries" || r.StatusCode != http.StatusOK {
		return nil
	}
	text, err := io.ReadAll(r.Body)
	if err = errors.Join(err, r.Body.Close()); err != nil {
		return err
	}
	m.mu.Lock()
	if m.change != nil {
		text = m.change(text)
		m.served.Add(1)
	}
	m.mu.Unlock()
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(text)), int64(len(text))
	r.Header.Set("Content-Length", strconv.Itoa(len(text)))
	return nil
}

// foreign is a way to change answers so that they do not count.
type foreign struct {
	what   string
	change func(text []byte, cluster string) []byte
}

func swap(old, by string) func([]byte, string) []byte {
	return func(text []byte, _ string) []byte { return bytes.ReplaceAll(text, []byte(old), []byte(by)) }
}

// foreigners are answers of a newer format or of another cluster.
func foreigners() []foreign {
	const alien = "0123456789abcdef0123456789abcdef"
	return []foreign{
		{"a newer format of answers", swap(`"format":1,`, `"format":2,`)},
		{"a newer format of entries and states", swap(`{"f":1,`, `{"f":9,`)},
		{"another cluster", func(text []byte, cluster string) []byte { return swap(cluster, alien)(text, "") }},
	}
}

// broken are answers that do not decode, are not whole or not what they say.
func broken() []foreign {
	return []foreign{
		{"what does not decode", func([]byte, string) []byte { return bytes.Repeat([]byte("\x00}{"), 100) }},
		{"answers that end in the middle", func(text []byte, _ string) []byte { return text[:len(text)/2] }},
		{"other hashes", swap(`"hash":"`, `"hash":"0`)},
	}
}

// foreignAnswers has all sources of an observer answer what does not count. It keeps the state that it has, says why and how
// old it is, and goes on once one answers rightly.
func foreignAnswers(list []foreign) func(s *Scene) {
	return func(s *Scene) {
		name := s.Observers()[0]
		cluster := s.status(s.leader()).Cluster
		for _, c := range list {
			s.shows(s.put("before").Version, name)
			lines := s.told(name)
			s.Note("answers now: %s", c.what)
			s.impostors.set(func(text []byte) []byte { return c.change(text, cluster) })
			// With the second one the last true answer has been taken, or never will be.
			s.until("answers are changed", soon, func() bool { return s.impostors.served.Load() >= 2 })
			kept, ok := s.Read(name, false)
			if !ok {
				s.t.Fatalf("%s: nothing is shown", c.what)
			}
			a := s.put("meanwhile")
			s.until("further answers are changed", soon, func() bool { return s.impostors.served.Load() >= 4 })
			now, ok := s.Read(name, false)
			if !ok || now.Version != kept.Version || now.Hash != kept.Hash || now.Version >= a.Version {
				s.t.Errorf("%s: it shows version %d, hash %.12s, after version %d, hash %.12s", c.what, now.Version, now.Hash, kept.Version, kept.Hash)
			}
			if now.AgeMs <= kept.AgeMs {
				s.t.Errorf("%s: the age was %d ms and is %d ms", c.what, kept.AgeMs, now.AgeMs)
			}
			s.until("it is logged", soon, func() bool { return s.told(name) > lines })
			s.impostors.set(nil)
			s.shows(a.Version, name)
		}
	}
}

// told counts the lines by which an observer says that an answer was not taken.
func (s *Scene) told(name string) int {
	return s.Logged(name, "cluster_state_refused") + s.Logged(name, "cluster_source_lost")
}
