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
	lab.AddCommand(a.labRun(), a.labCompare(), a.labList(), a.labReport(), a.labFleet(), a.labCount(), a.labSoak(), a.labFailing(), a.referenceCommand())
	return lab
}

// build is the sidecar that a day is played with.
type build struct {
	name    string
	command []string
}

// parseBuild reads what --build, and the arguments of compare, may say: "self", or a program's path and arguments.
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

// interruptible is done at Ctrl-C or SIGTERM; a second one ends the program as usual.
func interruptible() (context.Context, context.CancelFunc) {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, cancel)
	return ctx, cancel
}

func (a *app) labRun() *cobra.Command {
	var seed uint64
	var settings []string
	var program, logs, jsonFile, htmlFile string
	var quiet bool
	c := &cobra.Command{
		Use:   "run SCENARIO",
		Short: "Play one day and judge it",
		Long: `Plays one day of a scenario with this program (or --build) as the sidecars.
Exit code 0: the rules were kept; 1: a rule was broken, or the day is void because the laboratory ran late.`,
		Example: `  burlpass lab run scenarios/small-day.toml
  burlpass lab run scenarios/hall-loss.toml --seed 7 --html report.html --json report.json`,
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			b, err := parseBuild(program)
			if err != nil {
				return err
			}
			s, err := scenario.Load(args[0])
			if err != nil {
				return wrong(faults(a, err))
			}
			ctx, cancel := interruptible()
			defer cancel()
			day, err := a.play(ctx, s, seed, b, settings, logs, quiet)
			if err != nil {
				return wrong(err)
			}
			day.Text(a.stdout)
			if err := write(jsonFile, day.JSON); err != nil {
				return wrong(err)
			}
			if err := write(htmlFile, day.HTML); err != nil {
				return wrong(err)
			}
			return wrong(day.Verdict())
		},
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "what the day is drawn from")
	f.StringVar(&program, "build", "self", "sidecar to play: self, or a program with its arguments")
	f.StringArrayVar(&settings, "set", nil, "setting of the sidecars, as path=value; may be repeated")
	f.StringVar(&logs, "logs", "", "folder for the sidecars' configurations and logs; one that is deleted where empty")
	f.StringVar(&jsonFile, "json", "", "write the report as JSON to this file")
	f.StringVar(&htmlFile, "html", "", "write the report as one HTML page to this file")
	f.BoolVar(&quiet, "quiet", false, "no progress line")
	return c
}

// mostProcesses is how many sidecars lab run starts.
const mostProcesses = 200

// play plays one day, with a line of progress on standard error where that is a terminal.
func (a *app) play(ctx context.Context, s *scenario.Scenario, seed uint64, b build, settings []string, logs string, quiet bool) (*report.Day, error) {
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
	if s.Sidecars > mostProcesses {
		return nil, fmt.Errorf("%s: sidecars: %d processes are too many for one machine, %d at most; lab fleet plays more on virtual time", s.Name, s.Sidecars, mostProcesses)
	}
	plan := world.Draw(s, seed)
	system := &stage.System{Command: b.command, Dir: dir, Sockets: s.Limits.Sockets}
	block, release, err := system.Claim()
	if err != nil {
		return nil, err
	}
	defer release()
	o := stage.Options{Plan: plan, Block: block, Sockets: system, Sidecars: system, Settings: settings}
	if !quiet && terminal(a.stderr) {
		o.Progress = func(p stage.Progress) {
			fmt.Fprintf(a.stderr, "\r\x1b[K%s %4.1f/%.0f s  tries %d served %d refused %d broken %d  %s", s.Name, p.At.Seconds(),
				p.Length.Seconds(), p.Calls, p.Served, p.Refused, p.Broken, strings.Join(p.Running, ", "))
		}
		defer fmt.Fprint(a.stderr, "\r\x1b[K")
	}
	r, err := stage.Run(ctx, o)
	if err != nil {
		return nil, err
	}
	return report.NewDay(plan, b.name, r), nil
}

func terminal(w any) bool {
	f, ok := w.(*os.File)
	return ok && term.IsTerminal(int(f.Fd()))
}

func (a *app) labList() *cobra.Command {
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
				return wrong(fmt.Errorf("no scenario in %s", folder))
			}
			bad := 0
			for _, path := range paths {
				s, err := scenario.Load(path)
				if err != nil {
					bad++
					faults(a, err)
					continue
				}
				fmt.Fprintf(a.stdout, "%-20s %5v  %3d workers %3d sidecars  %s\n", strings.TrimSuffix(filepath.Base(path), ".toml"),
					s.Length, s.Workers, s.Sidecars, s.About)
			}
			if bad > 0 {
				return wrong(errors.New("a scenario has faults"))
			}
			return nil
		},
	}
}
