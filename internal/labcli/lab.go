// Package labcli implements the command line of the laboratory and of the simulation. The work of each command is done by other
// packages. A day is one run of a scenario.
package labcli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"burlpass/internal/cli"
	"burlpass/internal/config"
	"burlpass/internal/lab/reference"
	"burlpass/internal/lab/report"
	"burlpass/internal/lab/scenario"
	"burlpass/internal/lab/stage"
	"burlpass/internal/lab/world"
)

// app holds the output streams and options that all commands share.
type app struct {
	getenv         func(string) string
	stdout, stderr io.Writer
	server         *cli.Server // runs a sidecar within this program
}

// Main runs the command line and returns the exit code.
func Main(args []string, getenv func(string) string, stdout, stderr io.Writer) int {
	a := &app{getenv: getenv, stdout: stdout, stderr: stderr, server: &cli.Server{Getenv: getenv, Stderr: stderr}}
	return cli.Execute(a.rootCommand(), args, stdout, stderr)
}

func (a *app) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "burlpass-lab",
		Short: "Play days of trouble against sidecars and judge them",
		Long: `The laboratory plays a scenario: workers, a registry and clients on loopback sockets, sidecars as child
processes, and a script of faults. Its judge goes by what passed on the sockets. docs/laboratory.md has the whole.

Exit codes: 0 done; 1 something is wrong with what was run, checked or read; 2 wrong usage.`,
		Example: "  burlpass-lab run scenarios/small-day.toml --html report.html",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	a.server.AddFlags(root.PersistentFlags())
	root.AddCommand(a.labRunCommand(), a.labCompareCommand(), a.labListCommand(), a.labReportCommand(), a.labFleetCommand(), a.labCountCommand(),
		a.labSoakCommand(), a.labCrowdCommand(), a.labFailingCommand(), a.referenceCommand(), a.simCommand(), a.keysCommand())
	return root
}

// keysCommand prints a reference table that docs/configuration.md contains.
func (a *app) keysCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "keys",
		Short:   "Print every key of scenarios, with type, default and range",
		Example: "  burlpass-lab keys",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			fmt.Fprintf(a.stdout, "## A scenario of the laboratory\n\n%s", config.Reference(scenario.Keys()))
			return nil
		},
	}
}

// build is the program that runs as the sidecars of a day.
type build struct {
	name    string
	command []string
}

// ownBuild is the name of the sidecar that lies in this program's folder.
const ownBuild = "self"

// ownSidecar returns the path of the sidecar that lies in the folder of the program self.
func ownSidecar(self string) string { return filepath.Join(filepath.Dir(self), "burlpass") }

// parseBuild parses the value of --build or an argument of compare: ownBuild, "reference:POLICY", or a program's path
// and arguments.
func parseBuild(text string) (build, error) {
	self, err := os.Executable()
	if err != nil {
		return build{}, err
	}
	words := strings.Fields(text)
	if len(words) == 0 || words[0] == ownBuild {
		return build{ownBuild, []string{ownSidecar(self), "serve"}}, nil
	}
	if policy, ok := strings.CutPrefix(words[0], "reference:"); ok {
		if !slices.Contains(reference.Policies(), policy) {
			return build{}, fmt.Errorf("unknown reference %q; one of %s is expected", policy, strings.Join(reference.Policies(), ", "))
		}
		return build{words[0], []string{self, "reference", policy}}, nil
	}
	path, err := filepath.Abs(words[0])
	if err != nil {
		return build{}, err
	}
	if _, err := os.Stat(path); err != nil {
		return build{}, fmt.Errorf("build %q: %w", text, err)
	}
	return build{text, append([]string{path}, words[1:]...)}, nil
}

// interruptContext returns a context that is cancelled by SIGINT or SIGTERM. A second signal terminates the program.
func interruptContext() (context.Context, context.CancelFunc) {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, cancel)
	return ctx, cancel
}

func (a *app) labRunCommand() *cobra.Command {
	var seed uint64
	var settings []string
	var buildText, logs, jsonFile, htmlFile string
	var quiet bool
	command := &cobra.Command{
		Use:   "run SCENARIO",
		Short: "Play one day and judge it",
		Long: `Plays one day of a scenario with this program (or --build) as the sidecars.
Exit code 0: the rules were kept; 1: a rule was broken, or the day is void because the laboratory ran late.`,
		Example: `  burlpass-lab run scenarios/small-day.toml
  burlpass-lab run scenarios/hall-loss.toml --seed 7 --html report.html --json report.json`,
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			b, err := parseBuild(buildText)
			if err != nil {
				return err
			}
			s, err := scenario.Load(args[0])
			if err != nil {
				return cli.Failure(printLeadingFaults(a, err))
			}
			ctx, cancel := interruptContext()
			defer cancel()
			day, err := a.playDay(ctx, s, seed, b, settings, logs, quiet)
			if err != nil {
				return cli.Failure(err)
			}
			day.Text(a.stdout)
			if err := writeFile(jsonFile, day.JSON); err != nil {
				return cli.Failure(err)
			}
			if err := writeFile(htmlFile, day.HTML); err != nil {
				return cli.Failure(err)
			}
			return cli.Failure(day.Verdict())
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&seed, "seed", 1, "what the day is drawn from")
	flags.StringVar(&buildText, "build", ownBuild, "sidecar to play: self, or a program with its arguments")
	flags.StringArrayVar(&settings, "set", nil, "setting of the sidecars, as path=value; may be repeated")
	flags.StringVar(&logs, "logs", "", "folder for the sidecars' configurations and logs; one that is deleted where empty")
	flags.StringVar(&jsonFile, "json", "", "write the report as JSON to this file")
	flags.StringVar(&htmlFile, "html", "", "write the report as one HTML page to this file")
	flags.BoolVar(&quiet, "quiet", false, "no progress line")
	return command
}

// maxSidecarProcesses is the largest number of sidecar processes that a day may start on one machine.
const maxSidecarProcesses = 200

// playDay plays one day. It shows a progress line on standard error if that is a terminal and quiet is not set.
func (a *app) playDay(ctx context.Context, s *scenario.Scenario, seed uint64, b build, settings []string, logs string, quiet bool) (*report.Day, error) {
	dir := logs
	if dir == "" {
		temp, err := os.MkdirTemp("", "burlpass-lab-")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(temp)
		dir = temp
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	if s.Sidecars > maxSidecarProcesses {
		return nil, fmt.Errorf("%s: sidecars: %d processes are too many for one machine, %d at most; lab fleet plays more on virtual time", s.Name, s.Sidecars, maxSidecarProcesses)
	}
	plan := world.Draw(s, seed)
	system := &stage.System{Command: b.command, Dir: dir, Sockets: s.Limits.Sockets}
	block, release, err := system.Claim()
	if err != nil {
		return nil, err
	}
	defer release()
	options := stage.Options{Plan: plan, Block: block, Sockets: system, Sidecars: system, Settings: settings}
	if !quiet && isTerminal(a.stderr) {
		options.Progress = func(p stage.Progress) {
			fmt.Fprintf(a.stderr, "\r\x1b[K%s %4.1f/%.0f s  tries %d served %d refused %d broken %d  %s", s.Name, p.At.Seconds(),
				p.Length.Seconds(), p.Calls, p.Served, p.Refused, p.Broken, strings.Join(p.Running, ", "))
		}
		defer fmt.Fprint(a.stderr, "\r\x1b[K")
	}
	r, err := stage.Run(ctx, options)
	if err != nil {
		return nil, err
	}
	return report.NewDay(plan, b.name, r), nil
}

func isTerminal(w any) bool {
	f, ok := w.(*os.File)
	return ok && term.IsTerminal(int(f.Fd()))
}

func (a *app) labListCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "list [FOLDER]",
		Short:   "List the scenarios of a folder, with what each is for",
		Example: "  burlpass-lab list scenarios",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			folder := "scenarios"
			if len(args) > 0 {
				folder = args[0]
			}
			paths, err := filepath.Glob(filepath.Join(folder, "*.toml"))
			if err != nil {
				return err
			}
			if len(paths) == 0 {
				return cli.Failure(fmt.Errorf("no scenario in %s", folder))
			}
			invalid := 0
			for _, path := range paths {
				s, err := scenario.Load(path)
				if err != nil {
					invalid++
					printLeadingFaults(a, err)
					continue
				}
				fmt.Fprintf(a.stdout, "%-20s %5v  %3d workers %3d sidecars  %s\n", strings.TrimSuffix(filepath.Base(path), ".toml"),
					s.Length, s.Workers, s.Sidecars, s.About)
			}
			if invalid > 0 {
				return cli.Failure(errors.New("a scenario has faults"))
			}
			return nil
		},
	}
}
