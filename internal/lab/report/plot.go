package report

import (
	"bytes"
	"html/template"
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Colours that people who see few colours can tell apart (Paul Tol's bright scheme).
var palette = []color.RGBA{{0x44, 0x77, 0xaa, 0xff}, {0xee, 0x66, 0x77, 0xff}, {0x22, 0x88, 0x33, 0xff}, {0xcc, 0xbb, 0x44, 0xff}}

// line is one curve over seconds.
type line struct {
	name   string
	colour color.RGBA
	dashed bool
	y      []float64
}

const (
	plotWidth  = 860
	plotHeight = 200
)

// curves draws lines over the seconds of a day, with its faults as shaded spans. top 0 leaves the scale to the data.
func curves(title, unit string, top float64, seconds int, faults []Span, lines []line) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	for _, s := range []*draw.TextStyle{&p.Title.TextStyle, &p.X.Label.TextStyle, &p.Y.Label.TextStyle, &p.X.Tick.Label, &p.Y.Tick.Label,
		&p.Legend.TextStyle} {
		s.Font.Variant = "Sans"
	}
	p.X.Min, p.X.Max, p.Y.Min = 0, float64(max(seconds, 1)), 0
	highest := top
	for _, l := range lines {
		for _, y := range l.y {
			highest = math.Max(highest, y)
		}
	}
	if highest <= 0 {
		highest = 1
	}
	p.Y.Max = highest * 1.3 // room for the legend
	for _, f := range faults {
		from, to := f.From, math.Min(math.Max(f.To, f.From+0.15), p.X.Max)
		if from >= p.X.Max {
			continue
		}
		span, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: p.Y.Max}, {X: from, Y: p.Y.Max}})
		if err != nil {
			return "", err
		}
		span.Color = color.NRGBA{0x80, 0x80, 0x80, 0x38}
		span.LineStyle.Width = 0
		p.Add(span)
	}
	for _, l := range lines {
		points := make(plotter.XYs, len(l.y))
		for i, y := range l.y {
			points[i].X, points[i].Y = float64(i)+0.5, y
		}
		if len(points) == 0 {
			continue
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		curve.Color, curve.Width = l.colour, vg.Points(1.5)
		if l.dashed {
			curve.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		}
		p.Add(curve)
		p.Legend.Add(l.name, curve)
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.X.Label.Text = "seconds"
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return "", err
	}
	svg := out.Bytes()
	return template.HTML(svg[max(0, bytes.Index(svg, []byte("<svg"))):]), nil
}
