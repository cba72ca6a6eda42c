package program

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
)

// peer is one connection of the world around the sidecar.
type peer struct {
	net.Conn
	got  chan string // messages read, in short form
	gone chan struct{}
}

type arrival struct {
	*peer
	text string
}

func newPeer(c net.Conn) *peer {
	return &peer{Conn: c, got: make(chan string, 100), gone: make(chan struct{})}
}

func (p *peer) read(one func(*bufio.Reader, func(string)) (string, error), to func(string)) {
	defer close(p.gone)
	if to == nil {
		to = func(text string) { p.got <- text }
	}
	for r := bufio.NewReader(p); ; {
		text, err := one(r, func(text string) { to("begins " + text) })
		if err != nil {
			return
		}
		to(text)
	}
}

// drawnWait is the wait of a watch call, which is drawn from the last fifth of 1.98 s.
var drawnWait = regexp.MustCompile(`timeout_ms=1(5[89]|[6-9]\d)\d$`)

// Of a message that is longer than the sidecar holds, both also give its beginning, as soon as that is there.

// readRequest gives "METHOD target id=X-Trace-Id key=Idempotency-Key body=BODY", the latter where present.
func readRequest(r *bufio.Reader, begins func(string)) (string, error) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	text := q.Method + " " + drawnWait.ReplaceAllString(q.RequestURI, "timeout_ms=DRAWN")
	if q.ContentLength < 0 || q.ContentLength > 64<<10 {
		begins(text)
	}
	b, err := io.ReadAll(q.Body)
	body := shorten(b)
	for _, f := range [][2]string{{"id", q.Header.Get("X-Trace-Id")}, {"key", q.Header.Get("Idempotency-Key")},
		{"body", body}} {
		if f[1] != "" {
			text += " " + f[0] + "=" + f[1]
		}
	}
	return text, err
}

// readAnswer gives "STATUS after=Retry-After sunset=Sunset close BODY", the latter where present; a body that the sidecar
// words itself is left out.
func readAnswer(r *bufio.Reader, begins func(string)) (string, error) {
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", err
	}
	text := strconv.Itoa(a.StatusCode)
	if text == "200" && (a.ContentLength < 0 || a.ContentLength > 64<<10) {
		begins(text)
	}
	body, err := io.ReadAll(a.Body)
	if v := a.Header.Get("Retry-After"); v != "" {
		text += " after=" + v
	}
	if v := a.Header.Get("Sunset"); v != "" {
		text += " sunset=" + v
	}
	if a.Close {
		text += " close"
	}
	if a.StatusCode == 200 {
		text += " " + shorten(body)
	}
	return text, err
}
