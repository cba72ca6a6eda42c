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
	drainPeriod            = 700 * time.Millisecond // clients still come and send for that long after the signal
	earlyRefusalRetryAfter = time.Second            // advised to a client that is refused before the module is asked
	memoryLimitFraction    = 0.75                   // of the limit, left to the runtime; the rest is for what it does not count
	idleTimeoutFraction    = 0.7                    // of the time after which a worker closes an idle connection

	maxDeadlineWait  = 3 * time.Second        // of the settings' longest deadline, for which the platform waits after drainTime
	exitMargin       = 200 * time.Millisecond // before the platform may kill the process, or half of that deadline
	acceptTimeout    = time.Second            // for accepting the clients that have come by the end of drainTime, before resting ones end
	finalWritePeriod = 50 * time.Millisecond  // for what is written once the requests have been ended
)

// exitTimeout is the time after the signal to end at which requests are still answered; the platform may kill the process
// drainTime and the longest deadline after the signal.
func exitTimeout(longestDeadline time.Duration) time.Duration {
	deadlineWait := min(longestDeadline, maxDeadlineWait)
	return drainPeriod + deadlineWait - min(exitMargin, deadlineWait/2)
}

// Apply sets the process's own limits to what the platform grants.
func (l Limits) Apply() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(l.MemoryMB) * (1 << 20)))
}

// Sidecar is a sidecar that listens.
type Sidecar struct {
	config        *Config
	network       transport.Network
	log           *slog.Logger
	listener      *transport.Listener
	pool          *transport.Pool
	router        atomic.Pointer[routing.Router] // once Run has begun
	drained       atomic.Bool                    // drained by the operators
	adminListener net.Listener                   // the operators' door; nil where there is none
	member        clusterMember                  // this process's part in a cluster; nil where there is none
	gate          routing.Gate                   // the rules of a cluster; nil where there are none
	origins       *protocol.Origins              // where calls carry what those go by
	enforcer      *enforcement.Enforcer          // the gate and what it counts limits by; nil where there are no rules
	limits        *limits.Limits
	versions      *enforcement.Versions // the gate before the governor: versions of the API that end
	usage         *usage.Reporter       // who uses them
}

// New listens on the network, and readies the connections' bounds, for what c says.
func New(network transport.Network, cfg *Config, logger *slog.Logger) (*Sidecar, error) {
	clients, reserved, workers := transport.Split(cfg.Limits.Sockets, operatorSockets(cfg))
	listener, err := listenForClients(network, cfg, clients, reserved)
	if err != nil {
		return nil, err
	}
	logger.Info("start", "name", cfg.Name, "listen", listener.Addr().String(), "registry", cfg.Registry,
		"inherited", cfg.Inherit, "workers", len(cfg.Known.Instances), "client_sockets", clients, "worker_sockets", workers,
		"cores", cfg.Limits.Cores, "memory_mb", cfg.Limits.MemoryMB)
	var adminListener net.Listener
	if cfg.Operator != "" {
		if adminListener, err = network.Listen(cfg.Operator); err != nil {
			listener.Close()
			return nil, fmt.Errorf("EDGE_OPERATOR: %w", err)
		}
	}
	joined, err := openMember(cfg, logger)
	if err != nil {
		listener.Close()
		if adminListener != nil {
			adminListener.Close()
		}
		return nil, err
	}
	s := &Sidecar{config: cfg, network: network, log: logger, listener: listener, adminListener: adminListener, member: joined,
		pool: transport.NewPool(network, transport.NewBudget(workers), cfg.Decide.ConnectTime,
			time.Duration(idleTimeoutFraction*float64(cfg.Decide.IdleClose)))}
	s.initRules()
	return s, nil
}

// operatorSockets is how many descriptors the operators' address takes: its listener, the callers that it holds, and one
// that it has just accepted and is about to close an older one for.
func operatorSockets(config *Config) int {
	if config.Operator == "" {
		return 0
	}
	return operator.MaxConns + 2
}

// listenForClients binds the clients' address, or takes the socket that the platform holds where it names one.
func listenForClients(network transport.Network, config *Config, clients, reserved int) (*transport.Listener, error) {
	if !config.Inherit {
		listener, err := transport.Listen(network, config.Listen, clients, reserved)
		if err != nil {
			return nil, fmt.Errorf("EDGE_LISTEN: %w", err)
		}
		return listener, nil
	}
	inheriter, ok := network.(interface {
		Inherit(fd int) (net.Listener, error)
	})
	if !ok {
		return nil, errors.New("EDGE_ACCEPT_FD: this network cannot take a descriptor over")
	}
	listener, err := inheriter.Inherit(config.AcceptFD)
	if err != nil {
		return nil, fmt.Errorf("EDGE_ACCEPT_FD: %w", err)
	}
	return transport.Serve(listener, clients, reserved), nil
}

// AdminAddr is where operators connect; nil where there is no door.
func (s *Sidecar) AdminAddr() net.Addr {
	if s.adminListener == nil {
		return nil
	}
	return s.adminListener.Addr()
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
	runCtx, cancelRun := context.WithCancel(context.Background())
	defer cancelRun()
	drainCtx, startDrain := context.WithCancel(context.Background())
	defer startDrain()
	closeCtx, startClose := context.WithCancel(context.Background())
	defer startClose()
	cfg := s.config
	stats := protocol.NewFigures(len(cfg.Names.Classes))
	maintenanceSet := s.loadMaintenance()
	invariants := invariant.NewMonitor(s.log)
	router := routing.New(runCtx, routing.Config{
		Decide: cfg.Decide, Seed: cfg.Seed, Names: cfg.Names, Network: s.network, Registry: cfg.Registry, Log: s.log, Trace: cfg.Trace,
		Workers: &protocol.Workers{Pool: s.pool, Columns: cfg.Decide.Columns, Figures: stats}, Out: maintenanceSet, Gate: s.gate, Invariants: invariants,
	}, cfg.Known)
	s.router.Store(router)
	if maintenanceSet.Len() > 0 {
		s.log.Info("maintenance", "out", strings.Join(maintenanceSet.IDs(), ","), "halls", strings.Join(maintenanceSet.Halls(), ","))
	}
	retryAfter := time.Duration(0)
	if cfg.Decide.Limits.RetryAfter {
		retryAfter = min(earlyRefusalRetryAfter, cfg.Decide.Limits.MaxRetryAfter)
	}
	classWorths := make([]float64, len(cfg.Decide.Classes))
	longestDeadline := time.Duration(0)
	for i, class := range cfg.Decide.Classes {
		classWorths[i] = class.Worth
		longestDeadline = max(longestDeadline, class.Deadline)
	}
	server := &protocol.Server{Handler: router, Classes: cfg.Names.Classes, Worth: classWorths, Longest: longestDeadline, Advice: retryAfter,
		Draining: drainCtx, Closing: closeCtx, Held: &s.drained, Figures: stats, Origins: s.origins, Log: s.log, Invariants: invariants}
	acceptDone := make(chan struct{})
	go func() {
		defer close(acceptDone)
		s.listener.Accept(server.Serve, func(err error) { s.log.Warn("accept_failed", "err", err) })
	}()
	var stopping atomic.Bool
	adminDone := make(chan struct{})
	adminHandler := &adminHandler{s: s, router: router, stopping: &stopping, stats: stats}
	s.startOrders(runCtx, adminHandler, maintenanceSet)
	stopRules := s.startRules()
	if s.adminListener != nil {
		adminListener := &operator.Listener{Log: s.log, Handler: adminHandler}
		go func() {
			defer close(adminDone)
			adminListener.Serve(s.adminListener)
		}()
	} else {
		close(adminDone)
	}

	signal := <-s.handleSignals(runCtx, signals, router)
	exitBy := time.Now().Add(exitTimeout(longestDeadline))
	stopping.Store(true)
	startDrain()
	s.log.Info("drain", "signal", signal.String()) // from here on every answer steers away
	s.listener.EndBy(exitBy.Add(finalWritePeriod))
	defer time.AfterFunc(time.Until(exitBy), router.End).Stop()
	time.Sleep(drainPeriod)
	s.listener.Stop(exitBy)
	select {
	case <-acceptDone:
	case <-time.After(min(acceptTimeout, time.Until(exitBy))):
	}
	startClose()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		<-acceptDone
		s.listener.Wait()
		if s.adminListener != nil {
			s.adminListener.Close()
		}
		<-adminDone
		stopRules()
		s.closeMember()
	}()
	select {
	case <-finished:
		s.log.Info("stop", "invariants_broken", invariants.Total())
	case <-time.After(time.Until(exitBy) + 2*finalWritePeriod):
		invariants.Broken(invariant.ExitInTime, "", "open", router.Open(), "reset", s.listener.ResetBusy())
		s.log.Error("stop_forced", "invariants_broken", invariants.Total())
	}
}

// handleSignals reloads at each SIGHUP until ctx is done, and passes on the first other signal.
func (s *Sidecar) handleSignals(ctx context.Context, signals <-chan os.Signal, router *routing.Router) <-chan os.Signal {
	stopSignal := make(chan os.Signal, 1)
	go func() {
		for {
			select {
			case signal := <-signals:
				if signal == syscall.SIGHUP {
					s.reload(router)
					continue
				}
				select {
				case stopSignal <- signal:
				default: // ending already
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return stopSignal
}

// reload takes in the file's new registry. A file with any fault changes nothing.
func (s *Sidecar) reload(router *routing.Router) {
	next, err := s.config.Reload()
	if err != nil {
		s.log.Error("reload_failed", "err", err)
		return
	}
	s.log.Info("reload", "registry", next.Registry, "needs_restart", strings.Join(s.config.ChangesNeedingRestart(next), ","))
	router.MoveRegistry(next.Registry)
}
