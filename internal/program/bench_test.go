package program

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"burlpass/internal/logging"
	"burlpass/internal/membership/member"
	"burlpass/internal/transport"
)

// BenchmarkCall measures one call through a whole sidecar on loopback, over kept-alive connections, to a worker that answers
// immediately: the cost of the sidecar itself, without a cluster and as the only voter of one.
func BenchmarkCall(b *testing.B) {
	for name, cluster := range map[string]*ClusterConfig{"without": nil, "voter": singleVoterConfig(b)} {
		b.Run(name, func(b *testing.B) {
			call := newTestSidecar(b, cluster).startCalls()
			b.ReportAllocs()
			for b.Loop() {
				call()
			}
		})
	}
}

// singleVoterConfig configures a cluster of one voter.
func singleVoterConfig(tb testing.TB) *ClusterConfig {
	return &ClusterConfig{Name: "c", Member: "v", Listen: "127.0.0.1:0", Folder: tb.TempDir(), Voters: []ClusterPeer{{Name: "v", Addr: "127.0.0.1:1"}}}
}

// testSidecar is a sidecar with one worker that listens but does not run yet.
type testSidecar struct {
	testing.TB
	*Sidecar
}

func newTestSidecar(tb testing.TB, cluster *ClusterConfig) *testSidecar {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			tb.Cleanup(func() { c.Close() })
			go func() {
				for r := bufio.NewReaderSize(c, 4<<10); ; {
					for {
						line, err := r.ReadSlice('\n')
						if err != nil {
							return
						}
						if len(line) == 2 {
							break
						}
					}
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	c := &Config{Listen: "127.0.0.1:0", Registry: "127.0.0.1:1"}
	text := fmt.Sprintf(`{"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":256},"discovery":"127.0.0.1:1",
		"known":{"generation":1,"reset":true,"instances":[{"instanceId":"s","hostPort":%q,"zone":"hall-a","machineType":"new","lifecycle":"up",
		"weight":1,"startedAtMs":0}]},"settings":%s}`, ln.Addr(), jsonSettings)
	if _, err := c.parseJSON([]byte(text)); err != nil {
		tb.Fatal(err)
	}
	c.Cluster, c.OpenCluster = cluster, member.Open
	sidecar, err := New(transport.System{}, c, logging.Discard())
	if err != nil {
		tb.Fatal(err)
	}
	return &testSidecar{tb, sidecar}
}

// startCalls runs the sidecar until the test ends and returns a function that makes one call.
func (s *testSidecar) startCalls() (call func()) {
	signals := make(chan os.Signal, 1)
	done := make(chan struct{})
	go func() { defer close(done); s.Run(signals) }()
	client, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { client.Close(); signals <- syscall.SIGTERM; <-done })
	r := bufio.NewReader(client)
	n := 0
	return func() {
		n++
		fmt.Fprintf(client, "GET /availability/x HTTP/1.1\r\nX-Trace-Id: %d\r\nX-Qos: availability\r\nX-Expires-In: 2000m\r\n\r\n", n)
		a, err := http.ReadResponse(r, nil)
		if err != nil || a.StatusCode != 200 {
			s.Fatal(err, a)
		}
		a.Body.Close()
	}
}
