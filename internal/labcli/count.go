package labcli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"burlpass/internal/cli"
	"burlpass/internal/lab/count"
)

func (a *app) labCountCommand() *cobra.Command {
	var window float64
	var workers bool
	var jsonFile string
	command := &cobra.Command{
		Use:   "count FOLDER",
		Short: "Count across a fleet what its sidecars' traces say",
		Long: `Reads the *.log files of a folder, one a sidecar, that were written with --trace, and adds them up: by time what all
sidecars did together, how each version of the list spread, and with --workers what became of each worker.
Exit code 0: counted; 1: no trace was found.`,
		Example: `  burlpass-lab count logs
  burlpass-lab count logs --window 5 --workers --json count.json`,
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if window <= 0 {
				return errors.New("--window: more than 0 seconds is expected")
			}
			paths, err := filepath.Glob(filepath.Join(args[0], "*.log"))
			if err != nil {
				return err
			}
			counter := &count.Fleet{}
			for _, path := range paths {
				if err := addLog(counter, path); err != nil {
					return cli.Failure(err)
				}
			}
			counted := counter.Report(window)
			if counted.Records == 0 {
				return cli.Failure(fmt.Errorf("no trace in the %d logs of %s: sidecars write one with --trace", len(paths), args[0]))
			}
			printCounts(a.stdout, counted, workers)
			return cli.Failure(writeFile(jsonFile, func(w io.Writer) error { return json.NewEncoder(w).Encode(counted) }))
		},
	}
	flags := command.Flags()
	flags.Float64Var(&window, "window", 2, "length of a window in seconds")
	flags.BoolVar(&workers, "workers", false, "also print each worker")
	flags.StringVar(&jsonFile, "json", "", "write the count as JSON to this file")
	return command
}

func addLog(counter *count.Fleet, path string) error {
	log, err := os.Open(path)
	if err != nil {
		return err
	}
	defer log.Close()
	return counter.Read(strings.TrimSuffix(filepath.Base(path), ".log"), log)
}

func printCounts(w io.Writer, r *count.Report, workers bool) {
	fmt.Fprintf(w, "%d sidecars, %d records, %d that cannot be read\n\n", r.Sidecars, r.Records, r.Broken)
	totals := map[string]int{}
	for _, x := range r.Windows {
		for name, n := range x.Counts {
			totals[name] += n
		}
	}
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "from s\t")
	for _, x := range r.Windows {
		fmt.Fprintf(table, "%g\t", x.From)
	}
	fmt.Fprintln(table, "all\t")
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		fmt.Fprint(table, name, "\t")
		for _, x := range r.Windows {
			fmt.Fprint(table, x.Counts[name], "\t")
		}
		fmt.Fprintln(table, totals[name], "\t")
	}
	table.Flush()
	fmt.Fprintln(w, "\nlists: when the first sidecar had it, how long after it the median and the last")
	table = tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "version\tfirst s\tmedian\tlast\tsidecars\t")
	for _, n := range r.News {
		fmt.Fprintf(table, "%d\t%.2f\t%.2f\t%.2f\t%d\t\n", n.Version, n.First, n.Median, n.Last, n.Sidecars)
	}
	table.Flush()
	if !workers {
		return
	}
	fmt.Fprintln(w)
	table = tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "worker\tzone\tkind\tstarted\tsends\tmost/s\tsidecars\tok\tmedian ms\tfresh\tconnect\tfull\tlost\tejections\tprobes\t")
	for _, x := range r.Workers {
		fmt.Fprintf(table, "%s\t%d\t%d\t%.1f\t%d\t%d\t%d\t%d\t%.0f\t%d\t%d\t%d\t%d\t%d\t%d\t\n", x.Name, x.Zone, x.Kind, x.Started, x.Sends, x.MostASec,
			x.Sidecars, x.OK, x.MedianMs, x.Fresh, x.Connect, x.Full, x.Lost, x.Ejections, x.Probes)
	}
	table.Flush()
}
