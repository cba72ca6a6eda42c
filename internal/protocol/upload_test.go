package protocol

import (
	"io"
	"strings"
	"testing"
	"time"
)

// Guards against the time of a client running out while it still sends, since bytes that wait for a slow worker are taken for
// the end of its message; and against that end staying hidden behind such a worker.
func TestUploadDeadlineWhileBytesWait(t *testing.T) {
	const waiting = 0x5000 // bytes that have arrived unread: more than the reader holds, less than a new connection's window
	for name, test := range map[string]struct {
		head  head
		sent  string
		moves bool
	}{
		"more than the client's system holds":  {head{length: waiting + maxSendBuffer + 1}, strings.Repeat("x", waiting), true},
		"more of a chunk than that":            {head{chunked: true, length: -1}, "500000\r\n" + strings.Repeat("x", waiting), true},
		"all has been read":                    {head{length: 3}, "xx", true},
		"more may wait at the client":          {head{length: waiting + 1}, strings.Repeat("x", waiting), false},
		"more may wait behind a large backlog": {head{length: 0xc001}, strings.Repeat("x", 0xc000), false},
		"the last byte arrived":                {head{length: waiting}, strings.Repeat("x", waiting), false},
		"the last chunk may be in":             {head{chunked: true, length: -1}, "5000\r\n" + strings.Repeat("x", waiting) + "\r\n0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			server, client := newClientPair(t)
			io.WriteString(client, test.sent)
			u := newUpload(test.head.body(server.r, false, MaxBody), server.Client, 0, 0, time.Second)
			if _, err := u.read(make([]byte, 2)); err != nil {
				t.Fatal(err)
			}
			for unread := 0; unread+server.r.Buffered() < len(test.sent)-len("500000\r\n")-2; { // until the rest has arrived
				unread, _ = server.UnreadBytes()
			}
			time.Sleep(settleTime)
			before := u.Deadline()
			time.AfterFunc(settleTime, func() { io.WriteString(client, "x") })
			if _, err := u.read(make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			if moved := u.Deadline().After(before); moved != test.moves {
				t.Errorf("the deadline moved: %t, want %t", moved, test.moves)
			}
		})
	}
}
