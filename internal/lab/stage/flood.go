package stage

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	floodBatch              = 32 // requests in one write
	floodRedial             = 50 * time.Millisecond
	defaultFloodConnections = 8 // at each sidecar

	floodSendBuffer = 64 << 10 // bytes, so that the laboratory does not spend its time on filling larger ones
)

// floodRequests are small or unsound requests that the sidecar answers without a worker. name is the part that changes where a flood uses
// ever new names.
var floodRequests = []func(name uint64) string{
	func(name uint64) string {
		return fmt.Sprintf("GET /availability/x HTTP/1.1\r\nX-Trace-Id: flood-%x\r\nX-Qos: availability\r\nX-Expires-In: 1m\r\n\r\n", name)
	},
	func(name uint64) string {
		return fmt.Sprintf("GET /availability/x HTTP/1.1\r\nX-Trace-Id: flood-%x\r\nX-Qos: availability\r\nX-Expires-In: soon\r\n\r\n", name)
	},
	func(name uint64) string {
		return fmt.Sprintf("GET /class-%x HTTP/1.1\r\nX-Trace-Id: flood-%x\r\nX-Qos: class-%x\r\nX-Expires-In: 100m\r\n\r\n", name, name, name)
	},
	func(name uint64) string {
		return fmt.Sprintf("GET /availability/x HTTP/1.1\r\nX-Field-%x: %x\r\nX-Qos: availability\r\nX-Expires-In: 100m\r\n\r\n", name, name)
	},
	func(uint64) string { return "GET /_health HTTP/1.1\r\n\r\n" },
}

// flood plays clients that send requests ahead at full speed and read what they are sent, count at a time at each of the sidecars.
func (s *stage) flood(ctx context.Context, sidecars []int, count int, newNames bool) {
	if count == 0 {
		count = defaultFloodConnections
	}
	var all sync.WaitGroup
	for _, sidecar := range sidecars {
		for range count {
			all.Go(func() {
				for ctx.Err() == nil && !s.ended() {
					s.floodConnection(ctx, sidecar, newNames)
					if !s.sleepUntil(s.now() + floodRedial) {
						return
					}
				}
			})
		}
	}
	all.Wait()
}

// floodConnection sends one kind of request on one connection until it ends.
func (s *stage) floodConnection(ctx context.Context, sidecar int, newNames bool) {
	c, err := s.sockets.Dial(s.net.sidecar(sidecar), 500*time.Millisecond)
	if err != nil {
		return
	}
	defer c.Close()
	if buffered, ok := c.(interface{ SetWriteBuffer(bytes int) error }); ok {
		buffered.SetWriteBuffer(floodSendBuffer)
	}
	defer context.AfterFunc(ctx, func() { c.Close() })()
	request := floodRequests[rand.IntN(len(floodRequests))]
	var sending sync.WaitGroup
	defer sending.Wait()
	sending.Go(func() {
		name := rand.Uint64()
		var batch strings.Builder
		for ctx.Err() == nil && !s.ended() {
			batch.Reset()
			for range floodBatch {
				if newNames {
					name = rand.Uint64()
				}
				batch.WriteString(request(name))
			}
			if _, err := io.WriteString(c, batch.String()); err != nil {
				return
			}
		}
	})
	io.Copy(io.Discard, c)
	c.Close()
}
