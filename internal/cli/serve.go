package cli

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"burlpass/decide"
	"burlpass/internal/logging"
	"burlpass/internal/membership"
	"burlpass/internal/program"
	"burlpass/internal/trace"
	"burlpass/internal/transport"
)

// Server runs one sidecar as its flags and the environment say.
type Server struct {
	Getenv      func(string) string
	Stderr      io.Writer         // of the log
	OpenCluster membership.Opener // nil: the members of clusters are left to clusterProgram

	logFormat      string
	logLevel       string
	configPath     string // "" for the environment
	traceDecisions bool
}

// AddFlags adds the flags that concern the log.
func (s *Server) AddFlags(flags *pflag.FlagSet) {
	flags.StringVar(&s.logFormat, "log-format", "text", "form of the log on standard error: text (key=value) or json")
	flags.StringVar(&s.logLevel, "log-level", "info", "least level that is logged: debug, info, warn or error")
	flags.BoolVar(&s.traceDecisions, "trace", false, "also log what the decision module is told and chooses, for burlpass-lab count")
}

func (s *Server) newLogger() (*slog.Logger, error) {
	options := logging.Options{Format: s.logFormat}
	if err := options.Level.UnmarshalText([]byte(s.logLevel)); err != nil {
		return nil, fmt.Errorf("--log-level %q: debug, info, warn or error is expected", s.logLevel)
	}
	log, err := logging.New(s.Stderr, options)
	if err != nil {
		return nil, fmt.Errorf("--log-format: %w", err)
	}
	return log, nil
}

func (s *Server) run(*cobra.Command, []string) error { return s.Serve(transport.System{}) }

// Serve runs one sidecar on network until a signal stops it.
func (s *Server) Serve(network transport.Network) error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	log, err := s.newLogger()
	if err != nil {
		return err
	}
	config, err := s.loadConfig()
	if err != nil {
		return Failure(err)
	}
	if config.OpenCluster = s.OpenCluster; config.Cluster != nil && s.OpenCluster == nil {
		return Failure(execClusterProgram())
	}
	if s.traceDecisions {
		s.trace(config)
	}
	config.ApplyLimits()
	sidecar, err := program.New(network, config, log)
	if err != nil {
		return Failure(err)
	}
	sidecar.Run(signals)
	return nil
}

// clusterProgram is the name of the program, in the same folder as this one, that also serves the members of clusters. Most
// sidecars are no members, and what a member needs would more than double the memory that they take.
const clusterProgram = "burlpass-cluster"

// execClusterProgram replaces this program with clusterProgram. It returns only if that fails.
func execClusterProgram() error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	path := filepath.Join(filepath.Dir(self), clusterProgram)
	if err := syscall.Exec(path, append([]string{path}, os.Args[1:]...), os.Environ()); err != nil {
		return fmt.Errorf("cluster: the program for its members could not be started: %s: %w", path, err)
	}
	return nil
}

// trace logs what the decision module is told and chooses.
func (s *Server) trace(config *program.Config) {
	writer := &trace.Writer{W: s.Stderr}
	config.Decide.Marks = true
	writer.Start(time.Now().UnixMicro(), &config.Decide)
	config.Trace = func(now time.Duration, e decide.Event, actions []decide.Action, name func(decide.ServerID) string) {
		writer.Event(now.Microseconds(), &e, actions, name)
	}
}

func (s *Server) loadConfig() (*program.Config, error) {
	if s.configPath != "" {
		return program.LoadFile(s.configPath)
	}
	return program.Load(s.Getenv)
}
