package program

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"burlpass/internal/enforcement"
	"burlpass/internal/invariant"
	"burlpass/internal/limits"
	"burlpass/internal/operator"
	"burlpass/internal/protocol"
	"burlpass/internal/routing"
	"burlpass/internal/transport"
	"burlpass/internal/usage"
)

const (
	drainTime   = 700 * time.Millisecond // clients still come and send for that long after the signal
	refusedWait = time.Second            // advised to a client that is refused before the module is asked
	memoryShare = 0.75                   // of the limit, left to the runtime; the rest is for what it does not count
	idleShare   = 0.7                    // of the time after which a worker closes an idle connection

	longestAwaited = 3 * time.Second        // of the settings' longest deadline, for which the platform waits after drainTime
	exitMargin     = 200 * time.Millisecond // before the platform may kill the process, or half of that deadline
	closeTime      = time.Second            // for accepting the clients that have come by the end of drainTime, before resting ones end
	lastAnswers    = 50 * time.Millisecond  // for what is written once the requests have been ended
)

// exitAfter is the time after the signal to end at which requests are still answered; the platform may kill the process
// drainTime and the longest deadline after the signal.
func exitAfter(longest time.Duration) time.Duration {
	awaited := min(longest, longestAwaited)
	return drainTime + awaited - min(exitMargin, awaited/2)
}

// Apply sets the process's own limits to what the platform grants.
func (l Limits) Apply() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(int64(memoryShare * float64(l.MemoryMB) * (1 << 20)))
}

// Sidecar is a sidecar that listens.
type Sidecar struct {
	config   *Config
	network  transport.Network
	log      *slog.Logger
	listener *transport.Listener
	pool     *transport.Pool
	router   atomic.Pointer[routing.Router] // once Run has begun
	held     atomic.Bool                    // drained by the operators
	door     net.Listener                   // the operators' door; nil where there is none
	member   member                         // this process's part in a cluster; nil where there is none
	gate     routing.Gate                   // the rules of a cluster; nil where there are none
	origins  *protocol.Origins              // where calls carry what those go by
	governor *enforcement.Enforcer          // the gate and what it counts limits by; nil where there are no rules
	limits   *limits.Limits
	versions *enforcement.Versions // the gate before the governor: versions of the API that end
	usage    *usage.Reporter       // who uses them
}

// New listens on the network, and readies the connections' bounds, for what c says.
func New(network transport.Network, c *Config, logger *slog.Logger) (*Sidecar, error) {
	clients, spare, workers := transport.Split(c.Limits.Sockets, operatorSockets(c))
	listener, err := listen(network, c, clients, spare)
	if err != nil {
		return nil, err
	}
	logger.Info("start", "name", c.Name, "listen", listener.Addr().String(), "registry", c.Registry,
		"inherited", c.Inherit, "workers", len(c.Known.Instances), "client_sockets", clients, "worker_sockets", workers,
		"cores", c.Limits.Cores, "memory_mb", c.Limits.MemoryMB)
	var door net.Listener
	if c.Operator != "" {
		if door, err = network.Listen(c.Operator); err != nil {
			listener.Close()
			return nil, fmt.Errorf("EDGE_OPERATOR: %w", err)
		}
	}
	part, err := openMember(c, logger)
	if err != nil {
		listener.Close()
		if door != nil {
			door.Close()
		}
		return nil, err
	}
	s := &Sidecar{config: c, network: network, log: logger, listener: listener, door: door, member: part,
		pool: transport.NewPool(network, transport.NewBudget(workers), c.Decide.ConnectTime,
			time.Duration(idleShare*float64(c.Decide.IdleClose)))}
	s.openRules()
	return s, nil
}

// operatorSockets is how many descriptors the operators' address takes: its listener, the callers that it holds, and one
// that it has just accepted and is about to close an older one for.
func operatorSockets(c *Config) int {
	if c.Operator == "" {
		return 0
	}
	return operator.MaxConns + 2
}

// listen binds the clients' address, or takes the socket that the platform holds where it names one.
func listen(network transport.Network, c *Config, clients, spare int) (*transport.Listener, error) {
	if !c.Inherit {
		l, err := transport.Listen(network, c.Listen, clients, spare)
		if err != nil {
			return nil, fmt.Errorf("EDGE_LISTEN: %w", err)
		}
		return l, nil
	}
	heir, ok := network.(interface {
		Inherit(fd int) (net.Listener, error)
	})
	if !ok {
		return nil, errors.New("EDGE_ACCEPT_FD: this network cannot take a descriptor over")
	}
	ln, err := heir.Inherit(c.AcceptFD)
	if err != nil {
		return nil, fmt.Errorf("EDGE_ACCEPT_FD: %w", err)
	}
	return transport.Serve(ln, clients, spare), nil
}

// DoorAddr is where operators connect; nil where there is no door.
func (s *Sidecar) DoorAddr() net.Addr {
	if s.door == nil {
		return nil
	}
	return s.door.Addr()
}

// Addr is where clients connect.
func (s *Sidecar) Addr() net.Addr { return s.listener.Addr() }

// Open is the number of calls that have no answer yet.
func (s *Sidecar) Open() int {
	if r := s.router.Load(); r != nil {
		return r.Open()
	}
	return 0
}

// Run serves until a signal to end arrives and everything taken has been answered. SIGHUP only reloads the
// configuration, also between the signal to end and the end.
func (s *Sidecar) Run(signals <-chan os.Signal) {
	working, stop := context.WithCancel(context.Background())
	defer stop()
	draining, drain := context.WithCancel(context.Background())
	defer drain()
	closing, shut := context.WithCancel(context.Background())
	defer shut()
	c := s.config
	figures := protocol.NewFigures(len(c.Names.Classes))
	out := s.kept()
	invariants := invariant.NewMonitor(s.log)
	router := routing.New(working, routing.Config{
		Decide: c.Decide, Seed: c.Seed, Names: c.Names, Network: s.network, Registry: c.Registry, Log: s.log, Trace: c.Trace,
		Workers: &protocol.Workers{Pool: s.pool, Columns: c.Decide.Columns, Figures: figures}, Out: out, Gate: s.gate, Invariants: invariants,
	}, c.Known)
	s.router.Store(router)
	if out.Len() > 0 {
		s.log.Info("maintenance", "out", strings.Join(out.IDs(), ","), "halls", strings.Join(out.Halls(), ","))
	}
	advice := time.Duration(0)
	if c.Decide.Limits.RetryAfter {
		advice = min(refusedWait, c.Decide.Limits.MaxRetryAfter)
	}
	worth := make([]float64, len(c.Decide.Classes))
	longest := time.Duration(0)
	for i, k := range c.Decide.Classes {
		worth[i] = k.Worth
		longest = max(longest, k.Deadline)
	}
	server := &protocol.Server{Handler: router, Classes: c.Names.Classes, Worth: worth, Longest: longest, Advice: advice,
		Draining: draining, Closing: closing, Held: &s.held, Figures: figures, Origins: s.origins, Log: s.log, Invariants: invariants}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.listener.Accept(server.Serve, func(err error) { s.log.Warn("accept_failed", "err", err) })
	}()
	var ending atomic.Bool
	doorDone := make(chan struct{})
	operations := &operations{s: s, router: router, ending: &ending, figures: figures}
	s.startOrders(working, operations, out)
	stopRules := s.startRules()
	if s.door != nil {
		door := &operator.Listener{Log: s.log, Handler: operations}
		go func() {
			defer close(doorDone)
			door.Serve(s.door)
		}()
	} else {
		close(doorDone)
	}

	signal := <-s.heed(working, signals, router)
	exitBy := time.Now().Add(exitAfter(longest))
	ending.Store(true)
	drain()
	s.log.Info("drain", "signal", signal.String()) // from here on every answer steers away
	s.listener.EndBy(exitBy.Add(lastAnswers))
	defer time.AfterFunc(time.Until(exitBy), router.End).Stop()
	time.Sleep(drainTime)
	s.listener.Stop(exitBy)
	select {
	case <-stopped:
	case <-time.After(min(closeTime, time.Until(exitBy))):
	}
	shut()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		<-stopped
		s.listener.Wait()
		if s.door != nil {
			s.door.Close()
		}
		<-doorDone
		stopRules()
		s.closeMember()
	}()
	select {
	case <-ended:
		s.log.Info("stop", "invariants_broken", invariants.Total())
	case <-time.After(time.Until(exitBy) + 2*lastAnswers):
		invariants.Broken(invariant.ExitInTime, "", "open", router.Open(), "reset", s.listener.ResetBusy())
		s.log.Error("stop_forced", "invariants_broken", invariants.Total())
	}
}

// heed reloads at each SIGHUP until ctx is done, and passes on the first other signal.
func (s *Sidecar) heed(ctx context.Context, signals <-chan os.Signal, router *routing.Router) <-chan os.Signal {
	ending := make(chan os.Signal, 1)
	go func() {
		for {
			select {
			case signal := <-signals:
				if signal == syscall.SIGHUP {
					s.reload(router)
					continue
				}
				select {
				case ending <- signal:
				default: // ending already
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return ending
}

// reload takes in the file's new registry. A file with any fault changes nothing.
func (s *Sidecar) reload(router *routing.Router) {
	next, err := s.config.Reload()
	if err != nil {
		s.log.Error("reload_failed", "err", err)
		return
	}
	s.log.Info("reload", "registry", next.Registry, "needs_restart", strings.Join(s.config.Fixed(next), ","))
	router.MoveRegistry(next.Registry)
}
