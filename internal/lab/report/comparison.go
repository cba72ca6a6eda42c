package report

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"burlpass/internal/lab/experiment"
)

// Comparison is two sides played on the same seeds.
type Comparison struct {
	A           string                  `json:"a"`
	B           string                  `json:"b"`
	Differences []experiment.Difference `json:"differences"`
	Days        [][2]*Day               `json:"days"`
}

// JSON writes the comparison whole.
func (c *Comparison) JSON(w io.Writer) error { return json.NewEncoder(w).Encode(c) }

// Text writes the comparison for a terminal.
func (c *Comparison) Text(w io.Writer) {
	fmt.Fprintf(w, "A: %s\nB: %s\n", c.A, c.B)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "day\tseed\tA\tB\tB-A\tA worth\tB worth\tbroken A\tbroken B\t")
	for _, pair := range c.Days {
		a, b := pair[0].Result.Report, pair[1].Result.Report
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%.3f\t%+.3f\t%.3f\t%.3f\t%d\t%d\t\n", pair[0].Scenario, pair[0].Seed, a.G, b.G, b.G-a.G, a.Worth, b.Worth,
			len(a.Violations)+a.MoreBroken, len(b.Violations)+b.MoreBroken)
	}
	t.Flush()
	fmt.Fprintln(t, "figure\tA\tB\tB-A\t95% interval\tbetter\tworse\tverdict\t")
	for _, d := range c.Differences {
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%+.3f\t%+.3f to %+.3f\t%d\t%d\t%s\t\n", d.Figure, d.A, d.B, d.Mean, d.Low, d.High, d.Better, d.Worse, d.Verdict)
	}
	t.Flush()
	for _, pair := range c.Days {
		for i, d := range pair {
			for n, v := range d.Result.Report.Violations {
				if n == 3 {
					break
				}
				fmt.Fprintf(w, "  BROKEN %s seed %d, %c: %v\n", d.Scenario, d.Seed, 'A'+i, v)
			}
			if v := d.Result.Lateness.Void; v != "" {
				fmt.Fprintf(w, "  VOID %s seed %d, %c: %s\n", d.Scenario, d.Seed, 'A'+i, v)
			}
		}
	}
}
