package report

import (
	"fmt"
	"html/template"
	"io"
	"math"

	"burlpass/internal/lab/judge"
)

// page is what the template is given.
type page struct {
	Title      string
	About      string
	Comparison *Comparison
	Days       []shownDay
	Plots      []plots
}

type shownDay struct {
	*Day
	Verdict string
	Grid    []gridRow
	Width   int
}

// plots are the curves of one day, or of two laid over each other.
type plots struct {
	Title  string
	Faults []Span
	SVG    []template.HTML
}

// gridRow is one worker's seconds, neighbours of one kind drawn as one.
type gridRow struct {
	Name  string
	Y     int
	Cells []gridCell
}

type gridCell struct {
	X, Width int
	Class    string
	Opacity  float64
	Tip      string
}

const (
	cellWidth  = 14
	cellHeight = 11
	gridLeft   = 90
)

// Right is where a grid's cells end.
func (s shownDay) Right() int { return s.Width }

// GridHeight is the height of a grid.
func (s shownDay) GridHeight() int { return len(s.Grid)*(cellHeight+2) + 18 }

func show(d *Day) shownDay {
	out := shownDay{Day: d, Verdict: "the rules were kept"}
	if err := d.Verdict(); err != nil {
		out.Verdict = err.Error()
	}
	most := 1
	for _, row := range d.Result.Report.Belief.Workers {
		for _, m := range row {
			most = max(most, m.Sends)
		}
	}
	for w, row := range d.Result.Report.Belief.Workers {
		name := fmt.Sprint(w)
		if w < len(d.Workers) {
			name = d.Workers[w]
		}
		g := gridRow{Name: name, Y: w * (cellHeight + 2)}
		for i, m := range row {
			c := gridCell{X: gridLeft + i*cellWidth, Width: cellWidth - 1, Class: "able", Opacity: 0.08 + 0.92*float64(m.Sends)/float64(most),
				Tip: fmt.Sprintf("%s, second %d: %d calls sent, %d out at its end", name, i, m.Sends, m.Open)}
			switch {
			case m.Able == 0 && m.Used > 0:
				c.Class, c.Opacity = "missed", 1
				c.Tip += fmt.Sprintf("; unable, used by %d sidecars", m.Used)
			case m.Able == 0:
				c.Class, c.Opacity = "unable", 1
				c.Tip += "; unable"
			case m.LeftOut > 0:
				c.Class, c.Opacity = "leftout", 1
				c.Tip += fmt.Sprintf("; able, left out by %d sidecars", m.LeftOut)
			}
			g.Cells = append(g.Cells, c)
		}
		out.Width = max(out.Width, gridLeft+len(row)*cellWidth)
		out.Grid = append(out.Grid, g)
	}
	return out
}

// overlay draws the curves of days on top of each other.
func overlay(title string, days ...*Day) (plots, error) {
	out := plots{Title: title, Faults: days[0].Faults}
	seconds := 0
	for _, d := range days {
		seconds = max(seconds, len(d.Result.Report.Seconds))
	}
	for _, kind := range []struct {
		title, unit string
		top         float64
		of          func(name string, colour int, d *Day) []line
	}{
		{"Worth served, of the worth asked for, by when calls came", "share", 1, func(name string, c int, d *Day) []line {
			return []line{{name, palette[c], false, series(d, func(i int) float64 {
				s := d.Result.Report.Seconds[i]
				if s.Asked == 0 {
					return 1
				}
				return s.Served / s.Asked
			})}}
		}},
		{"Time to the answer, over all tries", "ms", 0, func(name string, c int, d *Day) []line {
			return []line{{name + " p50", palette[c], false, series(d, func(i int) float64 { return d.Result.Report.Seconds[i].P50 })},
				{name + " p99", palette[c], true, series(d, func(i int) float64 { return d.Result.Report.Seconds[i].P99 })}}
		}},
		{"Tries refused and failed", "a second", 0, func(name string, c int, d *Day) []line {
			return []line{{name + " refused", palette[c], false, series(d, func(i int) float64 { return float64(d.Result.Report.Seconds[i].Refused) })},
				{name + " failed", palette[c], true, series(d, func(i int) float64 { return float64(d.Result.Report.Seconds[i].Failed) })}}
		}},
		{"Resident memory of the largest sidecar", "MiB", 0, func(name string, c int, d *Day) []line {
			return []line{{name, palette[c], false, most(d, func(s judge.Sample) float64 { return float64(s.Memory) / (1 << 20) })}}
		}},
		{"Descriptors of the sidecar with the most", "number", 0, func(name string, c int, d *Day) []line {
			return []line{{name, palette[c], false, most(d, func(s judge.Sample) float64 { return float64(s.Sockets) })}}
		}},
	} {
		var lines []line
		for i, d := range days {
			lines = append(lines, kind.of(d.Build, i, d)...)
		}
		svg, err := curves(kind.title, kind.unit, kind.top, seconds, out.Faults, lines)
		if err != nil {
			return out, err
		}
		out.SVG = append(out.SVG, svg)
	}
	return out, nil
}

// most is the largest of the sidecars' samples in each second.
func most(d *Day, of func(judge.Sample) float64) []float64 {
	y := make([]float64, len(d.Result.Report.Seconds))
	for _, s := range d.Result.Report.Samples {
		if i := int(s.At.Seconds()); s.At >= 0 && i < len(y) {
			y[i] = math.Max(y[i], of(s))
		}
	}
	return y
}

func series(d *Day, of func(i int) float64) []float64 {
	out := make([]float64, len(d.Result.Report.Seconds))
	for i := range out {
		out[i] = of(i)
	}
	return out
}

// HTML writes the page of a day: one file that loads nothing from elsewhere.
func (d *Day) HTML(w io.Writer) error {
	p, err := overlay("Through the day", d)
	if err != nil {
		return err
	}
	return pageTemplate.Execute(w, page{Title: fmt.Sprintf("%s, seed %d, %s", d.Scenario, d.Seed, d.Build), About: d.About,
		Days: []shownDay{show(d)}, Plots: []plots{p}})
}

// maxPairs bounds how many pairs a comparison's page shows in full.
const maxPairs = 4

// HTML writes the page of a comparison: the differences, then its first pairs laid over each other.
func (c *Comparison) HTML(w io.Writer) error {
	out := page{Title: c.A + " and " + c.B, About: fmt.Sprintf("%d pairs of days on the same seeds; differences are %s less %s.", len(c.Days), c.B, c.A), Comparison: c}
	for i, pair := range c.Days {
		if i == maxPairs {
			break
		}
		p, err := overlay(fmt.Sprintf("%s, seed %d", pair[0].Scenario, pair[0].Seed), pair[0], pair[1])
		if err != nil {
			return err
		}
		out.Plots = append(out.Plots, p)
		out.Days = append(out.Days, show(pair[0]), show(pair[1]))
	}
	return pageTemplate.Execute(w, out)
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"f3":  func(x float64) string { return fmt.Sprintf("%.3f", x) },
	"f1":  func(x float64) string { return fmt.Sprintf("%.1f", x) },
	"pct": func(x float64) string { return fmt.Sprintf("%.0f%%", 100*x) },
	"add": func(a, b int) int { return a + b },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body{font:15px/1.45 sans-serif;color:#222;max-width:1180px;margin:1.5em auto;padding:0 1em}
h1{font-size:1.4em;margin:0} h2{font-size:1.15em;margin:1.8em 0 .4em;border-bottom:1px solid #ccc}
table{border-collapse:collapse;margin:.6em 0} td,th{padding:.15em .7em;text-align:right;border-bottom:1px solid #e4e4e4}
td:first-child,th:first-child{text-align:left} .sub{color:#666;margin:.2em 0 1em}
.good{color:#228833} .bad{color:#b3273b} svg{display:block;margin:.5em 0;max-width:100%} svg text{font-family:sans-serif!important}
.able{fill:#4477aa} .unable{fill:#999} .missed{fill:#b3273b} .leftout{fill:#e6a200}
.grid text{font-size:10px;fill:#333} .key span{display:inline-block;width:.9em;height:.9em;margin:0 .3em 0 1em;vertical-align:-1px}
.wide{overflow-x:auto} ul{padding-left:1.2em}
</style></head><body>
<h1>{{.Title}}</h1><p class="sub">{{.About}}</p>
{{with .Comparison}}<h2>Differences, {{.B}} less {{.A}}</h2>
<table><tr><th>figure</th><th>{{.A}}</th><th>{{.B}}</th><th>difference</th><th>95% interval</th><th>better</th><th>worse</th><th>verdict</th></tr>
{{range .Differences}}<tr><td>{{.Figure}}</td><td>{{f3 .A}}</td><td>{{f3 .B}}</td><td>{{f3 .Mean}}</td><td>{{f3 .Low}} to {{f3 .High}}</td><td>{{.Better}}</td><td>{{.Worse}}</td>
<td class="{{if eq .Verdict "better"}}good{{else if eq .Verdict "worse"}}bad{{end}}">{{.Verdict}}</td></tr>{{end}}</table>{{end}}
{{range .Plots}}<h2>{{.Title}}</h2>{{if .Faults}}<p class="sub">Shaded: {{range $i, $f := .Faults}}{{if $i}}, {{end}}{{$f.Name}} {{f1 $f.From}}{{if gt $f.To $f.From}} to {{f1 $f.To}}{{end}} s{{end}}.</p>{{end}}
{{range .SVG}}{{.}}{{end}}{{end}}
{{range .Days}}<h2>{{.Scenario}}, seed {{.Seed}}, {{.Build}}</h2>
<p class="{{if eq .Verdict "the rules were kept"}}good{{else}}bad{{end}}">{{.Verdict}}</p>{{with .Result}}
<p>Figure {{f3 .Report.G}}; worth {{f3 .Report.Worth}}, worst 10 s {{f3 .Report.Worst}} from second {{f1 .Report.WorstAt}}, worst class {{f3 .Report.WorstClass}}.
{{.Report.Calls}} calls in {{.Report.Tries}} tries and {{.Report.Attempts}} attempts, {{f3 .Report.Crossed}} crossings and {{f3 .Report.Probes}} probes a call, {{pct .Report.Waste}} of the work wasted, {{.Report.Refused}} tries refused.
Workers left out wrongly for {{f1 .Report.Belief.LeftOut}} worker-seconds and used while unable for {{f1 .Report.Belief.Missed}}, of {{f1 .Report.Belief.Judged}} that can be judged.
The laboratory used {{f3 .Lateness.OwnCPU}} cores, all cores were {{pct .Lateness.BusyCPU}} busy, its timers {{f1 .Lateness.TimerP99}} ms late (p99).</p>
<table><tr><th>class</th><th>calls</th><th>in time</th><th>late</th><th>not served</th><th>worth</th><th>p50 ms</th><th>p90</th><th>p99</th><th>max</th></tr>
{{range .Report.Classes}}<tr><td>{{.Name}}</td><td>{{.Calls}}</td><td>{{.InTime}}</td><td>{{.Late}}</td><td>{{.Lost}}</td><td>{{f3 .Share}}</td><td>{{f1 .P50}}</td><td>{{f1 .P90}}</td><td>{{f1 .P99}}</td><td>{{f1 .Max}}</td></tr>{{end}}</table>
{{if .Report.Violations}}<h3 class="bad">Rules broken</h3><ul>{{range .Report.Violations}}<li><code>{{.}}</code></li>{{end}}</ul>{{end}}{{end}}
<p class="key">Workers by second:<span class="able" style="background:#4477aa"></span>calls sent (darker: more)<span style="background:#999"></span>unable<span style="background:#b3273b"></span>unable, yet used<span style="background:#e6a200"></span>able, yet left out</p>
<div class="wide"><svg class="grid" width="{{.Right}}" height="{{.GridHeight}}" viewBox="0 0 {{.Right}} {{.GridHeight}}">
{{range .Grid}}<text x="0" y="{{add .Y 9}}">{{.Name}}</text>{{$y := .Y}}{{range .Cells}}<rect x="{{.X}}" y="{{$y}}" width="{{.Width}}" height="11" class="{{.Class}}" fill-opacity="{{.Opacity}}"><title>{{.Tip}}</title></rect>{{end}}
{{end}}</svg></div>{{end}}
</body></html>
`))
