// Package cli implements the command line of burlpass: subcommands, flags, help and exit codes. The work of each command is
// done by other packages. A day is one run of a scenario.
package cli

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"burlpass/decide"
	"burlpass/internal/logging"
	"burlpass/internal/program"
	"burlpass/internal/trace"
	"burlpass/internal/transport"
)

// The exit codes of every sub-command.
const (
	ExitOK      = 0 // success
	ExitFailure = 1 // the command found a fault or could not continue
	ExitUsage   = 2 // the command line is invalid; nothing was run
)

// exitError is an error that ends the program with the given exit code.
type exitError struct {
	code int
	err  error
}

func (f *exitError) Error() string { return f.err.Error() }
func (f *exitError) Unwrap() error { return f.err }

func failure(err error) error {
	if err == nil {
		return nil
	}
	return &exitError{ExitFailure, err}
}

// app holds the output streams and options that all commands share.
type app struct {
	getenv         func(string) string
	stdout, stderr io.Writer
	logFormat      string
	logLevel       string
	configPath     string // --config of serve
	traceDecisions bool
}

// Main runs the command line and returns the exit code. Without arguments it runs serve.
func Main(args []string, getenv func(string) string, stdout, stderr io.Writer) int {
	a := &app{getenv: getenv, stdout: stdout, stderr: stderr}
	root := a.rootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "burlpass:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitUsage
}

func (a *app) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "burlpass",
		Short: "A client-side load-balancing sidecar, and the laboratory that it is proved in",
		Long: `burlpass takes the calls of one application and delegates each to one of many workers.
Without a sub-command it serves as the variables EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and
EDGE_CONFIG say.

Exit codes: 0 done; 1 something is wrong with what was run, checked or read; 2 wrong usage.`,
		Example: `  EDGE_NAME=n0 EDGE_LISTEN=127.0.0.1:3000 EDGE_DISCOVERY=127.0.0.1:8500 EDGE_CONFIG=config.json burlpass
  burlpass check config.json
  burlpass lab run scenarios/small-day.toml --html report.html`,
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE:          a.serve,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&a.logFormat, "log-format", "text", "form of the log on standard error: text (key=value) or json")
	flags.StringVar(&a.logLevel, "log-level", "info", "least level that is logged: debug, info, warn or error")
	flags.BoolVar(&a.traceDecisions, "trace", false, "also log what the decision module is told and chooses, for burlpass lab count")
	serve := &cobra.Command{
		Use:   "serve",
		Short: "Run one sidecar until SIGTERM",
		Long: `Runs one sidecar, told by EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_CONFIG. SIGTERM or SIGINT
ends it gracefully, SIGHUP reads the configuration again. With --config a file says all, and the variables
count for nothing.`,
		Example: `  burlpass serve --config docs/config.example.toml
  EDGE_NAME=n0 EDGE_LISTEN=127.0.0.1:3000 EDGE_DISCOVERY=127.0.0.1:8500 EDGE_CONFIG=config.json burlpass serve`,
		Args: cobra.NoArgs,
		RunE: a.serve,
	}
	serve.Flags().StringVar(&a.configPath, "config", "", "configuration file, TOML or the platform's JSON")
	root.AddCommand(serve, a.versionCommand(), a.checkCommand(), a.labCommand(), a.simCommand(), a.keysCommand())
	return root
}

func (a *app) newLogger() (*slog.Logger, error) {
	options := logging.Options{Format: a.logFormat}
	if err := options.Level.UnmarshalText([]byte(a.logLevel)); err != nil {
		return nil, fmt.Errorf("--log-level %q: debug, info, warn or error is expected", a.logLevel)
	}
	log, err := logging.New(a.stderr, options)
	if err != nil {
		return nil, fmt.Errorf("--log-format: %w", err)
	}
	return log, nil
}

func (a *app) serve(*cobra.Command, []string) error { return a.serveOn(transport.System{}) }

// serveOn runs one sidecar on network until a signal stops it.
func (a *app) serveOn(network transport.Network) error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	log, err := a.newLogger()
	if err != nil {
		return err
	}
	config, err := a.loadConfig()
	if err != nil {
		return failure(err)
	}
	if a.traceDecisions {
		writer := &trace.Writer{W: a.stderr}
		config.Decide.Marks = true
		writer.Start(time.Now().UnixMicro(), &config.Decide)
		config.Trace = func(now time.Duration, e decide.Event, actions []decide.Action, name func(decide.ServerID) string) {
			writer.Event(now.Microseconds(), &e, actions, name)
		}
	}
	config.Limits.Apply()
	sidecar, err := program.New(network, config, log)
	if err != nil {
		return failure(err)
	}
	sidecar.Run(signals)
	return nil
}

func (a *app) loadConfig() (*program.Config, error) {
	if a.configPath != "" {
		return program.LoadFile(a.configPath)
	}
	return program.Load(a.getenv)
}

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version, revision and tool chain that this program was built from",
		Example: "  burlpass version",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return failure(errors.New("this program holds no build information"))
			}
			buildSettings := map[string]string{}
			for _, setting := range info.Settings {
				buildSettings[setting.Key] = setting.Value
			}
			fmt.Fprintf(a.stdout, "burlpass %s\n", info.Main.Version)
			for _, line := range [][2]string{{"revision", buildSettings["vcs.revision"]}, {"time", buildSettings["vcs.time"]},
				{"modified", buildSettings["vcs.modified"]}, {"go", info.GoVersion}, {"platform", buildSettings["GOOS"] + "/" + buildSettings["GOARCH"]}} {
				if line[1] != "" {
					fmt.Fprintf(a.stdout, "%-9s %s\n", line[0], line[1])
				}
			}
			return nil
		},
	}
}
