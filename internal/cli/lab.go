package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"burlpass/internal/lab/reference"
	"burlpass/internal/lab/report"
	"burlpass/internal/lab/scenario"
	"burlpass/internal/lab/stage"
	"burlpass/internal/lab/world"
)

func (a *app) labCommand() *cobra.Command {
	lab := &cobra.Command{
		Use:   "lab",
		Short: "Play days of trouble against real sidecars on loopback, and judge them",
		Long: `The laboratory plays a scenario: workers, a registry and clients on loopback sockets, sidecars as child
processes, and a script of faults. Its judge goes by what passed on the sockets. docs/laboratory.md has the whole.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	lab.AddCommand(a.labRunCommand(), a.labCompareCommand(), a.labListCommand(), a.labReportCommand(), a.labFleetCommand(), a.labCountCommand(), a.labSoakCommand(), a.labFailingCommand(), a.referenceCommand())
	return lab
}

// build is the program that runs as the sidecars of a day.
type build struct {
	name    string
	command []string
}

// parseBuild parses the value of --build or an argument of compare: "self", "reference:POLICY", or a program's path
// and arguments.
func parseBuild(text string) (build, error) {
	self, err := os.Executable()
	if err != nil {
		return build{}, err
	}
	words := strings.Fields(text)
	if len(words) == 0 || words[0] == "self" {
		return build{"self", []string{self, "serve"}}, nil
	}
	if policy, ok := strings.CutPrefix(words[0], "reference:"); ok {
		if !slices.Contains(reference.Policies(), policy) {
			return build{}, fmt.Errorf("unknown reference %q; one of %s is expected", policy, strings.Join(reference.Policies(), ", "))
		}
		return build{words[0], []string{self, "lab", "reference", policy}}, nil
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
		Example: `  burlpass lab run scenarios/small-day.toml
  burlpass lab run scenarios/hall-loss.toml --seed 7 --html report.html --json report.json`,
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			b, err := parseBuild(buildText)
			if err != nil {
				return err
			}
			s, err := scenario.Load(args[0])
			if err != nil {
				return failure(printLeadingFaults(a, err))
			}
			ctx, cancel := interruptContext()
			defer cancel()
			day, err := a.playDay(ctx, s, seed, b, settings, logs, quiet)
			if err != nil {
				return failure(err)
			}
			day.Text(a.stdout)
			if err := writeFile(jsonFile, day.JSON); err != nil {
				return failure(err)
			}
			if err := writeFile(htmlFile, day.HTML); err != nil {
				return failure(err)
			}
			return failure(day.Verdict())
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&seed, "seed", 1, "what the day is drawn from")
	flags.StringVar(&buildText, "build", "self", "sidecar to play: self, or a program with its arguments")
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
		Example: "  burlpass lab list scenarios",
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
				return failure(fmt.Errorf("no scenario in %s", folder))
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
				return failure(errors.New("a scenario has faults"))
			}
			return nil
		},
	}
}
