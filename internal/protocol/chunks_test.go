package protocol

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// chunkedBody returns n bytes in chunks of the given size, ended by last.
func chunkedBody(n, size int, last string) string {
	chunk := strconv.FormatInt(int64(size), 16) + "\r\n" + strings.Repeat("x", size) + "\r\n"
	return strings.Repeat(chunk, n/size) + last
}

// Guards against a write of its own for each small chunk, which holds up all other connections: review/10.
func TestSmallChunksGoOnTogether(t *testing.T) {
	const (
		length       = 512 << 10
		minPieceMean = 1 << 10 // bytes of raw input for one write: the buffer that every connection has
	)
	for _, size := range []int{1, 16, 1024} {
		t.Run(fmt.Sprintf("chunks of %d", size), func(t *testing.T) {
			t.Parallel()
			raw := chunkedBody(length, size, "0\r\n\r\n")
			h, conn := serveUploads(t, nil)
			go io.WriteString(conn, "POST /booking/x HTTP/1.1\r\nX-Trace-Id: t1\r\nX-Expires-In: 9000m\r\nTransfer-Encoding: chunked\r\n\r\n"+raw)
			time.Sleep(20 * time.Millisecond) // some of it has come
			h.ask <- struct{}{}
			<-h.states
			sent := <-h.bodies
			_, got, _ := bytes.Cut(sent, []byte("\r\n\r\n"))
			body, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(got)))
			if err != nil || len(body) != length {
				t.Errorf("%d of %d bytes: %v", len(body), length, err)
			}
			if most := len(raw) / minPieceMean; h.pieces > most {
				t.Errorf("%d writes for %d bytes in chunks of %d, want %d at most", h.pieces, length, size, most)
			}
		})
	}
}

// Chunks read together are the same body as chunks read alone, wherever the input is divided and whatever ends it.
func TestReadTogether(t *testing.T) {
	for _, last := range []string{"0\r\n\r\n", "0\r\nTrailer: x\r\n\r\n", "00;e=1\r\n\r\n", "zz\r\n", "\r\n", "", "5\r\nab"} {
		for _, source := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.OneByteReader, iotest.HalfReader} {
			raw := chunkedBody(300, 3, last)
			read := func(together bool) (body []byte, err error) {
				b := bodyReader{r: bufio.NewReaderSize(source(strings.NewReader(raw)), 64), chunked: true, allowance: MaxBody}
				for p := make([]byte, 100); err == nil; {
					var n int
					if together {
						n, err = b.readTogether(p)
					} else {
						n, err = b.Read(p)
					}
					body = append(body, p[:n]...)
				}
				return body, err
			}
			wantBody, wantErr := read(false)
			body, err := read(true)
			if !bytes.Equal(body, wantBody) || fmt.Sprint(err) != fmt.Sprint(wantErr) {
				t.Errorf("end %q: %d bytes, %v; alone %d bytes, %v", last, len(body), err, len(wantBody), wantErr)
			}
		}
	}
}
