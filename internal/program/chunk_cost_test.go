package program

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
)

// BenchmarkChunks measures the CPU time of a sidecar in its own process for a MiB of a request's body, with a length and in chunks
// of various sizes.
func BenchmarkChunks(b *testing.B) {
	const mib = 1 << 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "ok")
	}))
	defer server.Close()
	for _, size := range []int{0, 1024, 16, 1} {
		name, framing, body := "length", "Content-Length: "+strconv.Itoa(mib), strings.Repeat("x", mib)
		if size > 0 {
			chunk := strconv.FormatInt(int64(size), 16) + "\r\n" + strings.Repeat("x", size) + "\r\n"
			name, framing, body = fmt.Sprintf("chunks of %d", size), "Transfer-Encoding: chunked", strings.Repeat(chunk, mib/size)+"0\r\n\r\n"
		}
		b.Run(name, func(b *testing.B) {
			c, addr := startSidecar(b, server.Listener.Addr().String(), 256)
			before := processCPUTime(b, c.Process.Pid)
			for b.Loop() {
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					b.Fatal(err)
				}
				fmt.Fprintf(conn, "POST /booking/x HTTP/1.1\r\nX-Trace-Id: %s\r\nX-Expires-In: 2500m\r\n%s\r\n\r\n%s", newTraceID(), framing, body)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil || response.StatusCode != http.StatusOK {
					b.Fatal(response, err)
				}
				conn.Close()
			}
			b.ReportMetric(float64((processCPUTime(b, c.Process.Pid)-before).Microseconds())/float64(b.N), "cpu-us/MiB")
		})
	}
}
