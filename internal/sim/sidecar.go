package sim

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"syscall"
	"time"

	"burlpass/decide"
	"burlpass/internal/lab/stage"
	"burlpass/internal/logging"
	"burlpass/internal/program"
	"burlpass/internal/sim/memnet"
)

// ground is the network in memory as the stage's side stands on it.
type ground struct{ *memnet.Host }

func (g ground) Listen(addr string) (stage.Listener, error) {
	l, err := g.ListenOn(addr)
	if err != nil {
		return nil, err
	}
	return l, nil
}

func (g ground) Dial(addr string, timeout time.Duration) (stage.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c, err := g.Connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// starter starts sidecars within this process: the real program on a host of the network.
type starter struct {
	net    *memnet.Net
	log    func(sidecar int) io.Writer
	module func(sidecar int, e decide.Event, actions []decide.Action)

	mu  sync.Mutex
	now map[int]*sidecar // the last life of each
}

// leaks tells which sidecars that still run hold calls though every client has had its answer or left.
func (s *starter) leaks() (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range len(s.now) {
		x := s.now[n]
		select {
		case <-x.done:
			continue
		default:
		}
		if open := x.program.OpenCalls(); open > 0 {
			out = append(out, fmt.Sprintf("n%d holds %d calls after the last was answered", n, open))
		}
	}
	return out
}

// sidecar is one life of one.
type sidecar struct {
	n       int
	host    *memnet.Host
	signals chan os.Signal
	done    chan struct{}

	end sync.Once // closes done

	mu     sync.Mutex
	config []byte
	code   int
	text   string
	killed bool

	program *program.Sidecar
}

// Start starts a sidecar.
func (s *starter) Start(n int, p stage.Place, config []byte) (stage.Sidecar, error) {
	x := &sidecar{n: n, host: s.net.Host(), signals: make(chan os.Signal, 8), done: make(chan struct{}), config: config, text: "ended"}
	c, err := program.Parse(p.Name, p.Listen, p.Registry, x.read)
	if err != nil {
		return nil, err
	}
	log, err := logging.New(s.log(n), logging.Options{Level: slog.LevelDebug})
	if err != nil {
		return nil, err
	}
	c.Trace = func(_ time.Duration, e decide.Event, actions []decide.Action, _ func(decide.ServerID) string) {
		s.module(n, e, actions)
	}
	if x.program, err = program.New(x.host, c, log); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.now[n] = x
	s.mu.Unlock()
	go func() {
		defer x.end.Do(func() { close(x.done) })
		defer func() {
			if r := recover(); r != nil {
				x.mu.Lock()
				x.code, x.text = 2, fmt.Sprintf("panic: %v", r)
				x.mu.Unlock()
			}
		}()
		x.program.Run(x.signals)
		x.host.Kill() // a process that ends takes its connections with it
	}()
	return x, nil
}

func (x *sidecar) read() ([]byte, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.config, nil
}

// Signal delivers a signal. SIGKILL takes the network away at once; the goroutines that are left end by themselves
// and reach nobody.
func (x *sidecar) Signal(sig syscall.Signal) {
	if sig == syscall.SIGKILL {
		x.mu.Lock()
		first := !x.killed
		x.killed, x.text = true, "killed"
		x.mu.Unlock()
		if first {
			x.host.Kill()
			x.deliver(syscall.SIGTERM)
			x.end.Do(func() { close(x.done) })
		}
		return
	}
	x.deliver(sig)
}

func (x *sidecar) deliver(sig os.Signal) {
	select {
	case x.signals <- sig:
	default: // as the system does with a signal that is pending already
	}
}

// Rewrite changes the configuration that the next SIGHUP reads.
func (x *sidecar) Rewrite(config []byte) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.killed {
		return errors.New("it has ended")
	}
	x.config = config
	return nil
}

// Done is closed when it has ended.
func (x *sidecar) Done() <-chan struct{} { return x.done }

// Exit is how it ended.
func (x *sidecar) Exit() (int, string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.code, x.text
}

// Used counts connections and listeners; memory is the whole simulation's and tells nothing of one sidecar.
func (x *sidecar) Used() (memory int64, sockets int, ok bool) { return 0, x.host.Open(), true }

// Log is empty: the log goes into the trace.
func (x *sidecar) Log() string { return "" }
