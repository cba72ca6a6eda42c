package program

import (
	"context"
	"fmt"
	"log"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"burlpass/internal/protocol"
	"burlpass/internal/routing"
	"burlpass/internal/transport"
)

const (
	drainTime   = 700 * time.Millisecond // clients still come and send for that long after the signal
	memoryShare = 0.75                   // of the limit, left to the runtime; the rest is for what it does not count
	idleShare   = 0.7                    // of the time after which a worker closes an idle connection
)

// Run serves until a signal arrives and everything taken has been answered.
func Run(c *Config, signals <-chan os.Signal, logger *log.Logger) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	debug.SetMemoryLimit(int64(memoryShare * float64(c.Limits.MemoryMB) * (1 << 20)))

	clients, spare, toWorkers := transport.Split(c.Limits.Sockets)
	listener, err := transport.Listen(c.Listen, clients, spare)
	if err != nil {
		return fmt.Errorf("EDGE_LISTEN: %w", err)
	}
	pool := transport.NewPool(transport.NewBudget(toWorkers), c.Decide.ConnectTime,
		time.Duration(idleShare*float64(c.Decide.IdleClose)))
	working, stop := context.WithCancel(context.Background())
	defer stop()
	router := routing.New(working, routing.Config{
		Decide: c.Decide, Seed: c.Seed, Names: c.Names, Registry: c.Registry, Log: logger,
		Workers: &protocol.Workers{Pool: pool, Columns: c.Decide.Columns},
	}, c.Known)
	draining, drain := context.WithCancel(context.Background())
	closing, shut := context.WithCancel(context.Background())
	defer drain()
	defer shut()
	acceptor := &protocol.Acceptor{Handler: router, Classes: c.Names.Classes,
		Draining: draining, Closing: closing, Log: logger}

	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		listener.Accept(acceptor.Serve)
	}()
	logger.Printf("event=start name=%s listen=%s registry=%s workers=%d client_sockets=%d worker_sockets=%d",
		c.Name, listener.Addr(), c.Registry, len(c.Known.Instances), clients, toWorkers)

	s := <-signals
	logger.Printf("event=drain signal=%q", s)
	drain()
	time.Sleep(drainTime)
	listener.Close()
	shut()
	<-stopped
	listener.Wait()
	logger.Printf("event=stop")
	return nil
}
