package transport

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Budget counts the descriptors that one use may hold.
type Budget struct {
	most int64
	held atomic.Int64
}

// NewBudget returns a Budget of n descriptors.
func NewBudget(n int) *Budget { return &Budget{most: int64(n)} }

func (b *Budget) take() bool {
	if b.held.Add(1) > b.most {
		b.held.Add(-1)
		return false
	}
	return true
}

func (b *Budget) give() { b.held.Add(-1) }

// reserved descriptors belong to no connection: the standard streams, the poller, the listener, the
// registry's connections and the files that the runtime opens.
const reserved = 48

// Split divides a process's descriptors. An open call holds one connection to its client and one to a
// worker, so both sides get the same, the workers a little more for probes and idle connections. A tenth
// of the clients' part is kept for connections that are only told to come back.
func Split(sockets int) (clients, spare, workers int) {
	n := max(sockets-reserved, 16)
	clients = n * 9 / 20
	spare = max(clients/10, 1)
	return clients - spare, spare, n - clients
}

// acceptPause is how long a listener rests after a failure such as a lack of descriptors.
const acceptPause = 5 * time.Millisecond

// Listener hands each client's connection to a goroutine of its own.
type Listener struct {
	ln      net.Listener
	limit   int64
	slots   chan struct{} // one for each connection, the spare ones too
	open    atomic.Int64
	serving sync.WaitGroup
}

// Listen listens on addr for at most limit connections and a few spare ones, which are served as crowded.
func Listen(addr string, limit, spare int) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{ln: ln, limit: int64(limit), slots: make(chan struct{}, limit+spare)}, nil
}

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// Accept serves connections until Close. With no slot left, further clients wait in the system's queue.
func (l *Listener) Accept(serve func(c net.Conn, crowded bool)) {
	for {
		l.slots <- struct{}{}
		c, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			<-l.slots
			return
		}
		if err != nil {
			<-l.slots
			time.Sleep(acceptPause)
			continue
		}
		crowded := l.open.Add(1) > l.limit
		l.serving.Go(func() {
			defer func() { l.open.Add(-1); <-l.slots }()
			defer c.Close()
			serve(c, crowded)
		})
	}
}

// Close stops listening; connections go on.
func (l *Listener) Close() error { return l.ln.Close() }

// Wait returns when the last connection has been served.
func (l *Listener) Wait() { l.serving.Wait() }
