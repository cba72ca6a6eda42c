package labcli

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// classShare holds, for one request class of one day, the share of its worth that was served before prices are deducted, with
// this build and with round robin.
type classShare struct {
	name, effect       string
	seed               uint64
	calls              int
	served, roundRobin float64
}

// relativeShare returns this build's share divided by round robin's, or 1 if round robin served nothing.
func (c *classShare) relativeShare() float64 {
	if c.roundRobin == 0 {
		return 1
	}
	return c.served / c.roundRobin
}

// classShares returns the classes of a day, unsafe ones first, then keyed, then safe.
func classShares(d *fleetDay) (out []classShare) {
	for i, class := range d.scenario.Classes {
		own, roundRobin := &d.Result.Report.Classes[i], &d.roundRobin.Report.Classes[i]
		out = append(out, classShare{class.Name, class.Effect, d.Seed, own.Calls, own.Share, roundRobin.Share})
	}
	order := []string{"unsafe", "keyed", "safe"}
	slices.SortStableFunc(out, func(a, b classShare) int { return slices.Index(order, a.effect) - slices.Index(order, b.effect) })
	return out
}

// worstClass returns the class with the lowest share relative to round robin.
func worstClass(list []classShare) *classShare {
	worst := &list[0]
	for i := range list {
		if list[i].relativeShare() < worst.relativeShare() {
			worst = &list[i]
		}
	}
	return worst
}

// printClassTable prints the classes of each day, and for each group of days the mean and the worst of each class.
func printClassTable(w io.Writer, days []fleetDay) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scenario\tseed\tsidecars\tclass\teffect\tcalls\tserved\tround robin\tpart\t\t")
	row := func(d *fleetDay, seed string, c classShare, note string) {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%d\t%.3f\t%.3f\t%.2f\t%s\t\n", d.Scenario, seed, d.Sidecars, c.name, c.effect, c.calls,
			c.served, c.roundRobin, c.relativeShare(), note)
	}
	for _, group := range groupDays(days) {
		byClass := make([][]classShare, len(group[0].scenario.Classes))
		for i := range group {
			list := classShares(&group[i])
			worst := worstClass(list)
			for j := range list {
				note := ""
				if &list[j] == worst {
					note = "worst"
				}
				row(&group[i], fmt.Sprint(group[i].Seed), list[j], note)
				byClass[j] = append(byClass[j], list[j])
			}
		}
		for _, list := range byClass {
			mean, worst := list[0], worstClass(list)
			mean.served, mean.roundRobin, mean.calls = 0, 0, 0
			for _, c := range list {
				mean.served += c.served / float64(len(list))
				mean.roundRobin += c.roundRobin / float64(len(list))
				mean.calls += c.calls
			}
			row(&group[0], "mean", mean, fmt.Sprintf("least part %.2f: seed %d, %.3f", worst.relativeShare(), worst.seed, worst.served))
		}
	}
	t.Flush()
}
