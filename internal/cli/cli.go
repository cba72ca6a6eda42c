// Package cli implements the command line of the sidecar: subcommands, flags, help and exit codes. The work of each command
// is done by other packages.
package cli

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"

	"burlpass/internal/membership"
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

// Failure marks an error as one that ends the program with ExitFailure. It returns nil for nil.
func Failure(err error) error {
	if err == nil {
		return nil
	}
	return &exitError{ExitFailure, err}
}

// Execute runs a command line, prints its error, and returns the exit code.
func Execute(root *cobra.Command, args []string, stdout, stderr io.Writer) int {
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.SilenceErrors, root.SilenceUsage = true, true
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(stderr, "%s: %v\n", root.Name(), err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitUsage
}

// Main runs the sidecar's command line and returns the exit code. Without arguments it runs serve. openCluster is nil in a
// program that leaves the members of clusters to another one.
func Main(args []string, getenv func(string) string, openCluster membership.Opener, stdout, stderr io.Writer) int {
	server := &Server{Getenv: getenv, Stderr: stderr, OpenCluster: openCluster}
	return Execute(rootCommand(server, stdout), args, stdout, stderr)
}

func rootCommand(server *Server, stdout io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:   "burlpass",
		Short: "A client-side load-balancing sidecar",
		Long: `burlpass takes the calls of one application and delegates each to one of many workers.
Without a sub-command it serves as the variables EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and
EDGE_CONFIG say.

Exit codes: 0 done; 1 something is wrong with what was run, checked or read; 2 wrong usage.`,
		Example: `  EDGE_NAME=n0 EDGE_LISTEN=127.0.0.1:3000 EDGE_DISCOVERY=127.0.0.1:8500 EDGE_CONFIG=config.json burlpass
  burlpass check config.json`,
		Args: cobra.NoArgs,
		RunE: server.run,
	}
	server.AddFlags(root.PersistentFlags())
	serve := &cobra.Command{
		Use:   "serve",
		Short: "Run one sidecar until SIGTERM",
		Long: `Runs one sidecar, told by EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_CONFIG. SIGTERM or SIGINT
ends it gracefully, SIGHUP reads the configuration again. With --config a file says all, and the variables
count for nothing.`,
		Example: `  burlpass serve --config docs/config.example.toml
  EDGE_NAME=n0 EDGE_LISTEN=127.0.0.1:3000 EDGE_DISCOVERY=127.0.0.1:8500 EDGE_CONFIG=config.json burlpass serve`,
		Args: cobra.NoArgs,
		RunE: server.run,
	}
	serve.Flags().StringVar(&server.configPath, "config", "", "configuration file, TOML or the platform's JSON")
	root.AddCommand(serve, versionCommand(stdout), checkCommand(stdout), keysCommand(stdout))
	return root
}

func versionCommand(stdout io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version, revision and tool chain that this program was built from",
		Example: "  burlpass version",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return Failure(errors.New("this program holds no build information"))
			}
			buildSettings := map[string]string{}
			for _, setting := range info.Settings {
				buildSettings[setting.Key] = setting.Value
			}
			fmt.Fprintf(stdout, "burlpass %s\n", info.Main.Version)
			for _, line := range [][2]string{{"revision", buildSettings["vcs.revision"]}, {"time", buildSettings["vcs.time"]},
				{"modified", buildSettings["vcs.modified"]}, {"go", info.GoVersion}, {"platform", buildSettings["GOOS"] + "/" + buildSettings["GOARCH"]}} {
				if line[1] != "" {
					fmt.Fprintf(stdout, "%-9s %s\n", line[0], line[1])
				}
			}
			return nil
		},
	}
}
