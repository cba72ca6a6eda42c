package program

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"burlpass/internal/enforcement"
	"burlpass/internal/fairness"
	"burlpass/internal/invariant"
	"burlpass/internal/limits"
	"burlpass/internal/maintenance"
	"burlpass/internal/membership"
	"burlpass/internal/memory"
	"burlpass/internal/operator"
	"burlpass/internal/protocol"
	"burlpass/internal/routing"
	"burlpass/internal/sharedids"
	"burlpass/internal/transport"
	"burlpass/internal/usage"
)

const (
	drainPeriod            = 700 * time.Millisecond // clients still connect and send for this long after the stop signal
	earlyRefusalRetryAfter = time.Second            // for calls refused before the decision module sees them
	idleTimeoutFraction    = 0.7                    // of the time after which workers close idle connections

	maxDeadlineWait  = 3 * time.Second        // part of the longest deadline that the platform waits after drainPeriod
	exitMargin       = 200 * time.Millisecond // before the platform may kill the process, at most half of the deadline wait
	acceptTimeout    = time.Second            // to accept clients that connected within drainPeriod, before idle connections are closed
	finalWritePeriod = 50 * time.Millisecond  // to write responses after open calls have been ended
)

// exitTimeout is how long after the stop signal calls are still answered. The platform may kill the process once drainPeriod
// and the longest deadline have passed after the signal.
func exitTimeout(longestDeadline time.Duration) time.Duration {
	deadlineWait := min(longestDeadline, maxDeadlineWait)
	return drainPeriod + deadlineWait - min(exitMargin, deadlineWait/2)
}

// Sidecar is a sidecar with open listeners; Run makes it serve.
type Sidecar struct {
	config        *Config
	network       transport.Network
	log           *slog.Logger
	listener      *transport.Listener
	pool          *transport.Pool
	router        atomic.Pointer[routing.Router] // set by Run
	drained       atomic.Bool                    // by an operator's DRAIN
	adminListener net.Listener                   // for operators; nil if not configured
	member        membership.Member              // nil without a cluster
	memory        *memory.Budget                 // of the peers' messages
	maxTransfers  int                            // long messages under way at a time
	reloads       int                            // that this process has followed; guarded by the mutex of sharedOrders once that is in use
	gate          routing.Gate                   // enforces the cluster's rules; nil without rules
	origins       *protocol.OriginConfig         // where calls carry the attributes that rules match
	enforcer      *enforcement.Enforcer          // nil without rules, as are the fields below
	limits        *limits.Limits
	versions      *enforcement.Versions // handles API versions that end, in front of the enforcer
	usage         *usage.Reporter       // reports which callers use these versions
}

// New opens the listeners, divides the sockets among clients and workers, and opens the cluster member, as configured.
func New(network transport.Network, cfg *Config, logger *slog.Logger) (*Sidecar, error) {
	footprint := measureFootprint()
	plan := cfg.planMemory(footprint)
	clients, reserved, workers := plan.splitDescriptors(cfg)
	listener, err := listenForClients(network, cfg, clients, reserved)
	if err != nil {
		return nil, err
	}
	logger.Info("start", "name", cfg.Name, "listen", listener.Addr().String(), "registry", cfg.Registry,
		"inherited", cfg.Inherit, "workers", len(cfg.Known.Instances), "client_sockets", clients, "worker_sockets", workers,
		"cores", cfg.Limits.Cores, "memory_mb", cfg.Limits.MemoryMB, "peer_memory_kb", plan.peers>>10)
	if least := cfg.leastMemoryMB(footprint); cfg.Limits.MemoryMB < least {
		logger.Warn("memory_short", "memory_mb", cfg.Limits.MemoryMB, "least_mb", least)
	}
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
	s := &Sidecar{
		config:        cfg,
		network:       network,
		log:           logger,
		listener:      listener,
		adminListener: adminListener,
		member:        joined,
		memory:        plan.budget(),
		maxTransfers:  max(int(transferShare*float64(min(clients, workers))), 1),
		pool: transport.NewPool(network, transport.NewBudget(workers), cfg.Decide.ConnectTime,
			time.Duration(idleTimeoutFraction*float64(cfg.Decide.IdleClose))),
	}
	s.initRules()
	return s, nil
}

// operatorSockets is the number of descriptors that the admin listener needs: the listener itself, its connections, and one
// more that was just accepted, before an older connection is closed to make room.
func operatorSockets(cfg *Config) int {
	if cfg.Operator == "" {
		return 0
	}
	return operator.MaxConns + 2
}

// listenForClients binds the clients' address, or takes over the platform's listening socket if configured.
func listenForClients(network transport.Network, cfg *Config, clients, reserved int) (*transport.Listener, error) {
	if !cfg.Inherit {
		listener, err := transport.Listen(network, cfg.Listen, clients, reserved)
		if err != nil {
			return nil, fmt.Errorf("EDGE_LISTEN: %w", err)
		}
		return listener, nil
	}
	inheriter, ok := network.(interface {
		Inherit(fd int) (net.Listener, error)
	})
	if !ok {
		return nil, errors.New("EDGE_ACCEPT_FD: this network cannot inherit a descriptor")
	}
	listener, err := inheriter.Inherit(cfg.AcceptFD)
	if err != nil {
		return nil, fmt.Errorf("EDGE_ACCEPT_FD: %w", err)
	}
	return transport.NewListener(listener, clients, reserved), nil
}

// AdminAddr is the address of the admin listener, or nil if there is none.
func (s *Sidecar) AdminAddr() net.Addr {
	if s.adminListener == nil {
		return nil
	}
	return s.adminListener.Addr()
}

// Addr is the address that clients connect to.
func (s *Sidecar) Addr() net.Addr { return s.listener.Addr() }

// OpenCalls is the number of calls that have not been answered yet.
func (s *Sidecar) OpenCalls() int {
	if r := s.router.Load(); r != nil {
		return r.OpenCalls()
	}
	return 0
}

// Run serves until a stop signal arrives and every accepted call has been answered. Calls without an answer get one by the exit
// timeout; a response that is being passed on goes on for as long as both sides move. SIGHUP only reloads the configuration, also while the
// sidecar is stopping.
func (s *Sidecar) Run(signals <-chan os.Signal) {
	runCtx, cancelRun := context.WithCancel(context.Background())
	defer cancelRun()
	drainCtx, startDrain := context.WithCancel(context.Background())
	defer startDrain()
	closeCtx, startClose := context.WithCancel(context.Background())
	defer startClose()
	cfg := s.config
	stats := protocol.NewCounters(len(cfg.Names.Classes))
	sharedOrders := s.loadOrders()
	startOrders := sharedOrders.current()
	s.drained.Store(startOrders.Drained)
	s.reloads = startOrders.Reloads
	invariants := invariant.NewMonitor(s.log)
	router := routing.New(runCtx, routing.Config{
		Decide:     cfg.Decide,
		Seed:       cfg.Seed,
		Names:      cfg.Names,
		Network:    s.network,
		Registry:   s.initialRegistry(),
		Log:        s.log,
		Trace:      cfg.Trace,
		Workers:    &protocol.Workers{Pool: s.pool, Columns: cfg.Decide.Columns, Counters: stats, Memory: s.memory},
		Out:        startOrders.Disabled,
		Gate:       s.gate,
		Invariants: invariants,
	}, cfg.Known)
	s.router.Store(router)
	server := s.newServer(router, stats, invariants)
	server.Draining, server.Closing = drainCtx, closeCtx
	if s.member != nil {
		s.member.RegisterLoad(server.LoadReport)
	}
	acceptDone := make(chan struct{})
	go func() {
		defer close(acceptDone)
		s.listener.Accept(server.Serve, func(err error) { s.log.Warn("accept_failed", "err", err) })
	}()
	var stopping atomic.Bool
	adminDone := make(chan struct{})
	adminHandler := &adminHandler{s: s, router: router, stopping: &stopping, stats: stats, server: server, orders: sharedOrders}
	sharedOrders.apply = func(o maintenance.Orders) {
		s.applyDrained(o.Drained)
		s.applyReloads(router, o.Reloads)
		if s.member == nil { // else the cluster's record says which workers are disabled
			router.SetMaintenance(o.Disabled)
		}
	}
	s.startOrders(runCtx, adminHandler, startOrders.Disabled)
	follow := func() { go sharedOrders.follow(runCtx, followInterval(cfg.Decide.Safety.DrainGrace)) }
	if cfg.Inherit { // else no other process can serve before this one has stopped listening
		follow()
	}
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

	signal := <-handleSignals(runCtx, signals, adminHandler.reload)
	exitBy := time.Now().Add(exitTimeout(server.MaxDeadline))
	stopping.Store(true)
	if !cfg.Inherit {
		follow()
	}
	startDrain()
	s.log.Info("drain", "signal", signal.String()) // from now on every response asks the client to reconnect elsewhere
	s.listener.EndBy(exitBy.Add(finalWritePeriod))
	defer time.AfterFunc(time.Until(exitBy), router.EndCalls).Stop()
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
	s.awaitStop(finished, exitBy, router, invariants)
}

// newServer returns the server of clients' calls, without the contexts of its shutdown.
func (s *Sidecar) newServer(router *routing.Router, stats *protocol.Counters, invariants *invariant.Monitor) *protocol.Server {
	cfg := s.config
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
	return &protocol.Server{
		Handler:         router,
		Classes:         cfg.Names.Classes,
		Worth:           classWorths,
		MaxDeadline:     longestDeadline,
		Advice:          retryAfter,
		OperatorDrained: &s.drained,
		Counters:        stats,
		Memory:          s.memory,
		MaxTransfers:    s.maxTransfers,
		SharedIDs:       s.openSharedIDs(longestDeadline),
		OriginConfig:    s.origins,
		Log:             s.log,
		Invariants:      invariants,
		Fairness:        fairness.Scheduler{Processors: cfg.Limits.Cores},
	}
}

// openSharedIDs opens the request IDs that the processes of an upgrade share. Without them each process remembers its own.
func (s *Sidecar) openSharedIDs(longestDeadline time.Duration) *sharedids.Table {
	if !s.config.Inherit || s.config.StateDir == "" {
		return nil
	}
	path := filepath.Join(s.config.StateDir, "burlpass-"+s.config.Name+".ids")
	table, err := sharedids.Open(path, protocol.MaxIDLifetime(longestDeadline))
	if err != nil {
		s.log.Warn("shared_ids_failed", "path", path, "err", err)
		return nil
	}
	return table
}

// handleSignals calls reload on each SIGHUP until ctx is done, and returns a channel that gets the first other signal.
func handleSignals(ctx context.Context, signals <-chan os.Signal, reload func()) <-chan os.Signal {
	stopSignal := make(chan os.Signal, 1)
	go func() {
		for {
			select {
			case signal := <-signals:
				if signal == syscall.SIGHUP {
					reload()
					continue
				}
				select {
				case stopSignal <- signal:
				default: // already stopping
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return stopSignal
}
