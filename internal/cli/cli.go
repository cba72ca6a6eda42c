// Package cli is burlpass's command line: sub-commands, flags, help and exit codes. What the commands do is in the
// packages below.
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
	ExitOK    = 0 // done
	ExitWrong = 1 // the command ran and found something wrong, or could not go on
	ExitUsage = 2 // the command line itself is wrong; nothing was done
)

// failure is an error with the exit code that it ends the program with.
type failure struct {
	code int
	err  error
}

func (f *failure) Error() string { return f.err.Error() }
func (f *failure) Unwrap() error { return f.err }

func wrong(err error) error {
	if err == nil {
		return nil
	}
	return &failure{ExitWrong, err}
}

// app is what the commands share.
type app struct {
	getenv         func(string) string
	stdout, stderr io.Writer
	logFormat      string
	logLevel       string
	config         string // of serve
	trace          bool
}

// Main runs the command line and returns the exit code. With no arguments it serves.
func Main(args []string, getenv func(string) string, stdout, stderr io.Writer) int {
	a := &app{getenv: getenv, stdout: stdout, stderr: stderr}
	root := a.root()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "burlpass:", err)
	var f *failure
	if errors.As(err, &f) {
		return f.code
	}
	return ExitUsage
}

func (a *app) root() *cobra.Command {
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
	flags.BoolVar(&a.trace, "trace", false, "also log what the decision module is told and chooses, for burlpass lab count")
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
	serve.Flags().StringVar(&a.config, "config", "", "configuration file, TOML or the platform's JSON")
	root.AddCommand(serve, a.versionCommand(), a.checkCommand(), a.labCommand(), a.simCommand(), a.docsCommand())
	return root
}

func (a *app) logger() (*slog.Logger, error) {
	o := logging.Options{Format: a.logFormat}
	if err := o.Level.UnmarshalText([]byte(a.logLevel)); err != nil {
		return nil, fmt.Errorf("--log-level %q: debug, info, warn or error is expected", a.logLevel)
	}
	log, err := logging.New(a.stderr, o)
	if err != nil {
		return nil, fmt.Errorf("--log-format: %w", err)
	}
	return log, nil
}

func (a *app) serve(*cobra.Command, []string) error { return a.serveOn(transport.System{}) }

// serveOn runs one sidecar on a network until a signal ends it.
func (a *app) serveOn(network transport.Network) error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	log, err := a.logger()
	if err != nil {
		return err
	}
	config, err := a.load()
	if err != nil {
		return wrong(err)
	}
	if a.trace {
		w := &trace.Writer{W: a.stderr}
		config.Decide.Marks = true
		w.Start(time.Now().UnixMicro(), &config.Decide)
		config.Trace = func(now time.Duration, e decide.Event, actions []decide.Action, name func(decide.ServerID) string) {
			w.Event(now.Microseconds(), &e, actions, name)
		}
	}
	config.Limits.Apply()
	sidecar, err := program.New(network, config, log)
	if err != nil {
		return wrong(err)
	}
	sidecar.Run(signals)
	return nil
}

func (a *app) load() (*program.Config, error) {
	if a.config != "" {
		return program.LoadFile(a.config)
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
				return wrong(errors.New("this program holds no build information"))
			}
			of := map[string]string{}
			for _, s := range info.Settings {
				of[s.Key] = s.Value
			}
			fmt.Fprintf(a.stdout, "burlpass %s\n", info.Main.Version)
			for _, line := range [][2]string{{"revision", of["vcs.revision"]}, {"time", of["vcs.time"]},
				{"modified", of["vcs.modified"]}, {"go", info.GoVersion}, {"platform", of["GOOS"] + "/" + of["GOARCH"]}} {
				if line[1] != "" {
					fmt.Fprintf(a.stdout, "%-9s %s\n", line[0], line[1])
				}
			}
			return nil
		},
	}
}
