package program

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
)

// peer is a connection of a client, worker or registry of a scenario to the sidecar.
type peer struct {
	net.Conn
	messages chan string // messages read, in the short form of scripts
	closed   chan struct{}
}

type receivedMessage struct {
	*peer
	text string
}

func newPeer(c net.Conn) *peer {
	return &peer{Conn: c, messages: make(chan string, 100), closed: make(chan struct{})}
}

func (p *peer) read(readMessage func(*bufio.Reader, func(string)) (string, error), deliver func(string)) {
	defer close(p.closed)
	if deliver == nil {
		deliver = func(text string) { p.messages <- text }
	}
	for r := bufio.NewReader(p); ; {
		text, err := readMessage(r, func(text string) { deliver("begins " + text) })
		if err != nil {
			return
		}
		deliver(text)
	}
}

// randomWait matches the timeout of a watch request, a random time in the last fifth of 1.98 s.
var randomWait = regexp.MustCompile(`timeout_ms=1(5[89]|[6-9]\d)\d$`)

// For a message longer than the sidecar buffers, readRequest and readResponse also report its beginning as soon as it arrives.

// readRequest returns "METHOD target id=X-Trace-Id key=Idempotency-Key body=BODY", the last three where present.
func readRequest(r *bufio.Reader, begins func(string)) (string, error) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	text := request.Method + " " + randomWait.ReplaceAllString(request.RequestURI, "timeout_ms=RANDOM")
	if request.ContentLength < 0 || request.ContentLength > 64<<10 {
		begins(text)
	}
	b, err := io.ReadAll(request.Body)
	body := abbreviateBody(b)
	for _, f := range [][2]string{{"id", request.Header.Get("X-Trace-Id")}, {"key", request.Header.Get("Idempotency-Key")},
		{"body", body}} {
		if f[1] != "" {
			text += " " + f[0] + "=" + f[1]
		}
	}
	return text, err
}

// readResponse returns "STATUS after=Retry-After sunset=Sunset close BODY", all but the status where present. Bodies that the
// sidecar generates are left out.
func readResponse(r *bufio.Reader, begins func(string)) (string, error) {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", err
	}
	text := strconv.Itoa(response.StatusCode)
	if text == "200" && (response.ContentLength < 0 || response.ContentLength > 64<<10) {
		begins(text)
	}
	body, err := io.ReadAll(response.Body)
	if v := response.Header.Get("Retry-After"); v != "" {
		text += " after=" + v
	}
	if v := response.Header.Get("Sunset"); v != "" {
		text += " sunset=" + v
	}
	if response.Close {
		text += " close"
	}
	if response.StatusCode == 200 {
		text += " " + abbreviateBody(body)
	}
	return text, err
}
