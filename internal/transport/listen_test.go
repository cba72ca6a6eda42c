package transport

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Connections without a call must not keep others out, and one with a call must never be closed for others.
func TestRoom(t *testing.T) {
	const soon, never = 0, time.Hour
	for name, test := range map[string]struct {
		grace   [2]time.Duration
		prepare func(c *Client)
		want    []bool // the first closed, the second crowded
	}{
		"silent":                       {[2]time.Duration{soon, never}, func(c *Client) { c.Rest() }, []bool{true, false}},
		"just connected":               {[2]time.Duration{never, soon}, func(c *Client) { c.Rest() }, []bool{false, true}},
		"asked once and stayed":        {[2]time.Duration{never, soon}, func(c *Client) { c.Rest(); c.Use(); c.Rest() }, []bool{true, false}},
		"asked just now":               {[2]time.Duration{soon, never}, func(c *Client) { c.Rest(); c.Use(); c.Rest() }, []bool{false, true}},
		"in the middle of a call":      {[2]time.Duration{soon, soon}, func(c *Client) { c.Rest(); c.Use() }, []bool{false, true}},
		"in the middle of a next call": {[2]time.Duration{soon, soon}, func(c *Client) { c.Rest(); c.Use(); c.Rest(); c.Use() }, []bool{false, true}},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := Listen("127.0.0.1:0", 1, 1)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			l.grace = test.grace
			served := make(chan *Client)
			go l.Accept(func(c *Client) { served <- c; io.Copy(io.Discard, c) })
			first := connect(t, l)
			one := <-served
			test.prepare(one)
			connect(t, l)
			two := <-served
			if !test.want[0] {
				one.Close() // else its end is the eviction's work
			}
			io.Copy(io.Discard, first)
			if diff := cmp.Diff(test.want, []bool{one.evicted, two.Crowded}); diff != "" {
				t.Errorf("(-want +got)\n%s", diff)
			}
		})
	}
}

func connect(t *testing.T, l *Listener) net.Conn {
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}
